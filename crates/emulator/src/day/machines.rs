//! Cache nodes and the archive in a day: what is sent to them, and what they make of it.

use super::{DIAL, Day, EndpointId, Fact, Happening, Offered, Outcome, Presence, Rng, Tag, archive, node};

impl Day<'_> {
    pub(super) fn at_node(&mut self, n: usize, job: node::Job<Tag>) {
        let offered = self.nodes[n].offer(self.now, job);
        let back = |outcome| Happening::Comes(job.tag, outcome, job.tag.request, 0.0);
        match offered {
            Offered::Ends(after) => {
                let life = self.nodes[n].life;
                self.at(self.now + after, Happening::NodeEnds(n, life, job));
            }
            Offered::Waits => {}
            Offered::Silence => self.at(self.now + DIAL, back(Outcome::ConnectFailed)),
            Offered::TurnedAway | Offered::Refused | Offered::FellOver => {
                let fell = offered == Offered::FellOver;
                if fell {
                    self.referee.see(self.now, Fact::FellOver { server: EndpointId(n as u64 + 1) });
                    self.announce(n, Presence::Gone);
                }
                let outcome =
                    if offered == Offered::TurnedAway { Outcome::Rejected } else { Outcome::ConnectFailed };
                let at = self.now + self.hop();
                self.at(at, back(outcome));
            }
        }
    }

    pub(super) fn node_ends(&mut self, n: usize, life: u32, job: &node::Job<Tag>) {
        if self.nodes[n].life != life {
            return; // it has died since; its connections are reset
        }
        let (found, next) = self.nodes[n].ended(self.now, job.key);
        if let Some((next, after)) = next {
            self.at(self.now + after, Happening::NodeEnds(n, life, next));
        }
        let spoilt = self.spoilt > 0.0 && self.rng.random_bool(self.spoilt);
        let outcome = match (found, spoilt) {
            (_, true) => Outcome::Error,
            (true, _) => Outcome::Ok,
            (false, _) => Outcome::Miss,
        };
        self.misses += u64::from(!found);
        let at = self.now + self.hop();
        self.at(at, Happening::Comes(job.tag, outcome, job.tag.request, job.work_us));
    }

    pub(super) fn at_archive(&mut self, job: archive::Job<Tag>) {
        match self.archive.offer(job, &mut self.rng) {
            Ok(Some((job, after))) => self.at(self.now + after, Happening::ArchiveEnds(job)),
            Ok(None) => {}
            Err(archive::Declined) => {
                let at = self.now + self.hop();
                self.at(at, Happening::Comes(job.tag, Outcome::Rejected, job.request, 0.0));
            }
        }
    }

    pub(super) fn archive_ends(&mut self, job: &archive::Job<Tag>) {
        let (ended, runs, next) = self.archive.ended(self.now, job, &mut self.rng);
        if let Some((next, after)) = next {
            self.at(self.now + after, Happening::ArchiveEnds(next));
        }
        if job.write {
            self.referee.see(self.now, Fact::Ran { request: job.request, times: runs });
            self.nodes.iter_mut().for_each(|node| node.void(job.key));
        }
        let outcome = if ended == archive::Ended::Served { Outcome::Ok } else { Outcome::Error };
        let at = self.now + self.hop();
        self.at(at, Happening::Comes(job.tag, outcome, job.request, 0.0));
    }
}
