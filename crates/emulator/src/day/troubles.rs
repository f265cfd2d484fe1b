//! Troubles in a day, and how gateways are told of the nodes that they change.

use std::time::Duration;

use super::{
    DRAINS_FOR, Day, EndpointEntry, Event, Fact, Happening, ListKind, Node, Outcome, Presence, Rng,
    SliceRandom, State, Tag, What, micros,
};

impl Day<'_> {
    pub(super) fn told(&mut self, gateway: usize, n: usize, version: u32, entry: EndpointEntry) {
        if version <= self.gateways[gateway].versions[n] {
            return; // newer news overtook it
        }
        self.gateways[gateway].versions[n] = version;
        self.referee.see(self.now, Fact::Told { gateway, server: entry.id, presence: entry.presence });
        self.tell(gateway, Event::EndpointList(ListKind::Delta, vec![entry]));
    }

    /// The inventory tells each gateway of a change, seconds late.
    pub(super) fn announce(&mut self, n: usize, presence: Presence) {
        self.versions[n] += 1;
        let (version, entry) = (self.versions[n], self.entry(n, presence));
        let longest = micros(self.scenario.gateways.told_within);
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.rng.random_range(longest / 5..=longest);
            self.at(at, Happening::Told(gateway, n, version, entry));
        }
    }

    fn some_up(&mut self, count: usize) -> Vec<usize> {
        let mut up: Vec<usize> =
            (0..self.nodes.len()).filter(|&n| self.nodes[n].state == State::Up).collect();
        up.shuffle(&mut self.rng);
        up.truncate(count);
        up
    }

    pub(super) fn trouble_falls(&mut self, number: usize) {
        let what = self.scenario.troubles[number].what.clone();
        let text = match &what {
            What::Crash { part, back_after } => self.stop_nodes(*part, *back_after, State::Down),
            What::Vanish { part, back_after } => self.stop_nodes(*part, *back_after, State::Silent),
            What::Drain { nodes, back_after } => self.drain_nodes(*nodes, *back_after),
            What::HotKeys { keys, part, lasts } => {
                self.callers.hot = Some((*keys, *part));
                self.at(self.now + micros(*lasts), Happening::Passes(number));
                format!("{keys} keys draw {:.0}% of reads", 100.0 * part)
            }
            What::ArchiveSlow { times, lasts } => {
                self.archive.slow = *times;
                self.at(self.now + micros(*lasts), Happening::Passes(number));
                format!("the archive is {times} times slower")
            }
            What::Flush { part } => {
                let rng = &mut self.rng;
                self.nodes.iter_mut().for_each(|node| node.flush(|| rng.random_bool(*part)));
                format!("{:.0}% of copies go void", 100.0 * part)
            }
            What::SpoiltAnswers { part, lasts } => {
                self.spoilt = *part;
                self.at(self.now + micros(*lasts), Happening::Passes(number));
                format!("{:.0}% of answers are spoilt", 100.0 * part)
            }
            What::Surge { times, lasts } => {
                self.callers.surge = *times;
                self.at(self.now + micros(*lasts), Happening::Passes(number));
                format!("callers come at {times} times their rate")
            }
            What::Grow { nodes } => self.add_nodes(*nodes),
        };
        self.troubles.push((self.now, text));
    }

    /// Stops a part of the nodes that are up; they return later, cold.
    fn stop_nodes(&mut self, part: f64, back_after: Duration, state: State) -> String {
        let silent = state == State::Silent;
        let stopped = self.some_up((part * self.nodes.len() as f64).round() as usize);
        for &n in &stopped {
            self.nodes[n].stop(state);
            self.reset(n, silent);
            self.announce(n, Presence::Gone);
            let life = self.nodes[n].life;
            self.at(self.now + micros(back_after), Happening::Returns(n, life));
        }
        format!("{} nodes {}", stopped.len(), if silent { "fall silent" } else { "die" })
    }

    /// Drains some nodes, which then stop and return later.
    fn drain_nodes(&mut self, count: usize, back_after: Duration) -> String {
        let drained = self.some_up(count);
        for &n in &drained {
            self.nodes[n].state = State::Draining;
            self.announce(n, Presence::Draining);
            let life = self.nodes[n].life + 1;
            self.at(self.now + DRAINS_FOR, Happening::Goes(n));
            self.at(self.now + DRAINS_FOR + micros(back_after), Happening::Returns(n, life));
        }
        format!("{} nodes drain", drained.len())
    }

    /// Switches on further nodes, cold and empty.
    fn add_nodes(&mut self, count: usize) -> String {
        for _ in 0..count {
            let n = self.nodes.len();
            let mut node = Node::new(n, &self.scenario.fleet);
            node.start(self.now);
            self.nodes.push(node);
            self.versions.push(0);
            self.gateways.iter_mut().for_each(|gateway| gateway.versions.push(0));
            self.announce(n, Presence::Ready);
        }
        format!("{count} more nodes are switched on")
    }

    pub(super) fn trouble_passes(&mut self, number: usize) {
        let text = match self.scenario.troubles[number].what {
            What::HotKeys { .. } => {
                self.callers.hot = None;
                "no hot keys any more"
            }
            What::ArchiveSlow { .. } => {
                self.archive.slow = 1.0;
                "the archive is itself again"
            }
            What::SpoiltAnswers { .. } => {
                self.spoilt = 0.0;
                "answers are sound again"
            }
            What::Surge { .. } => {
                self.callers.surge = 1.0;
                "callers come as usual"
            }
            _ => return,
        };
        self.troubles.push((self.now, text.to_owned()));
    }

    /// A process that dies resets what is out at it; a machine that falls silent does not.
    fn reset(&mut self, n: usize, silent: bool) {
        if silent {
            return;
        }
        let mut tags = Vec::new();
        for (gateway, it) in self.gateways.iter().enumerate() {
            for (request, context) in &it.open {
                let out = (0..).zip(&context.out).filter(|(_, at)| at.is_some_and(|(at, _)| at == n));
                tags.extend(out.map(|(attempt, _)| Tag { gateway, request: *request, attempt }));
            }
        }
        tags.sort_unstable_by_key(|tag| (tag.request, tag.attempt));
        for tag in tags {
            let at = self.now + self.hop();
            self.at(at, Happening::Comes(tag, Outcome::Reset, tag.request, 0.0));
        }
    }
}
