//! Faults that a seed draws and that end again: cuts, stops, restarts, clocks, loss; and what staff propose meanwhile.

use crate::common::{SECOND, Site, freeze};
use crate::{COUNCIL, referee::Referee};
use calendar::{ChangeKind, Entry, Override, Proposal, Revoke, Scope, ScopeTarget};
use fleet::Micros;
use std::collections::BTreeSet;

/// From when on one whose fault is over is expected to be as the others: a lost ask or two and a round of the council.
const RECOVERY: Micros = 5 * SECOND;
const STOP: Micros = 20 * SECOND;
const CLOCKS_APART: i64 = 30 * SECOND as i64;

enum Cut {
    /// Nothing passes between these and the others.
    Sets(BTreeSet<usize>),
    /// It is not heard.
    Mute(usize),
    /// It hears nothing.
    Deaf(usize),
    Pairs(Vec<(usize, usize)>),
}

pub(crate) struct Faults {
    random: fastrand::Rng,
    cuts: Vec<(Micros, Cut)>,
    stops: Vec<(Micros, usize)>,
    dead: Vec<(Micros, usize)>,
    /// When a fault of its own ended, or will.
    own: Vec<Micros>,
    proposed: u32,
    pub(crate) told: Vec<String>,
}

impl Faults {
    pub(crate) fn new(site: &mut Site) -> Self {
        let mut random = fastrand::Rng::with_seed(site.seed ^ 0x5eed);
        let count = site.members.len();
        for n in 0..count {
            site.clocks[n] = random.i64(-CLOCKS_APART / 2..=CLOCKS_APART / 2);
            site.rates[n] = random.i64(-490..=490);
        }
        let own = vec![0; count];
        Self { random, cuts: vec![], stops: vec![], dead: vec![], own, proposed: 0, told: vec![] }
    }

    /// Whether one is alive, not cut off, and was not for a while.
    pub(crate) fn faultless(&self, site: &Site, n: usize) -> bool {
        site.members[n].is_some() && self.own[n] + RECOVERY <= site.now
    }

    fn tell(&mut self, site: &Site, what: String) {
        self.told.push(format!("{} ms: {what}", site.now / 1_000));
    }

    /// A second's faults; those that are over end.
    pub(crate) fn turn(&mut self, site: &mut Site, referee: &mut Referee) {
        self.end(site, referee, site.now);
        let count = site.members.len();
        if self.random.u32(0..10) == 0 {
            site.loss = *self.random.choice(&[0.0, 0.05, 0.1, 0.2]).unwrap_or(&0.0);
            self.tell(site, format!("loss {}", site.loss));
        }
        match self.random.u32(0..100) {
            0..8 => self.cut_some(site),
            8..14 => self.stop(site, 1, false),
            14..18 => self.stop(site, 1, true),
            18..21 => {
                let many = 1 + self.random.usize(0..count / 10);
                self.stop(site, many, false);
            }
            21..29 => self.kill(site),
            29..34 => {
                let n = self.random.usize(0..count);
                site.clocks[n] = self.random.i64(-CLOCKS_APART / 2..=CLOCKS_APART / 2);
                self.tell(site, format!("clock of {n} is set to {} us", site.clocks[n]));
            }
            34..50 => self.propose(site, referee),
            _ => {}
        }
        self.renew(site);
    }

    fn until(&mut self, site: &Site) -> Micros {
        site.now + self.random.u64(5..25) * SECOND
    }

    fn cut_some(&mut self, site: &mut Site) {
        if self.cuts.len() >= 2 {
            return;
        }
        let (until, count) = (self.until(site), site.members.len());
        let cut = match self.random.u32(0..4) {
            0 | 1 => {
                let many = 1 + self.random.usize(0..count / 2);
                let mut some: BTreeSet<usize> =
                    (0..many).map(|_| self.random.usize(COUNCIL..count)).collect();
                // A minority of the council, of which the leader may be one; the others are not cut off.
                let leader = site.leader().filter(|_| self.random.bool());
                some.extend(leader);
                some.extend((0..2 - some.range(..COUNCIL).count()).map(|_| self.random.usize(0..COUNCIL)));
                Cut::Sets(some)
            }
            2 if self.random.bool() => Cut::Mute(self.random.usize(0..count)),
            2 => Cut::Deaf(self.random.usize(0..count)),
            _ => {
                let pair = |random: &mut fastrand::Rng| (random.usize(0..count), random.usize(0..count));
                Cut::Pairs((0..count).map(|_| pair(&mut self.random)).collect())
            }
        };
        let (told, some) = match &cut {
            Cut::Sets(some) => {
                (format!("cut off {:?} and {} in all", some.range(..COUNCIL), some.len()), some.clone())
            }
            Cut::Mute(n) => (format!("mute {n}"), [*n].into()),
            Cut::Deaf(n) => (format!("deaf {n}"), [*n].into()),
            Cut::Pairs(_) => ("one-way links".into(), BTreeSet::new()),
        };
        some.iter().for_each(|n| self.own[*n] = self.own[*n].max(until));
        self.tell(site, told);
        self.cuts.push((until, cut));
        self.lay(site);
    }

    fn lay(&self, site: &mut Site) {
        site.cut.clear();
        let count = site.members.len();
        for (_, cut) in &self.cuts {
            match cut {
                Cut::Sets(some) => site.isolate(some.iter().copied()),
                Cut::Mute(n) => site.cut.extend((0..count).map(|to| (*n, to))),
                Cut::Deaf(n) => site.cut.extend((0..count).map(|from| (from, *n))),
                Cut::Pairs(pairs) => site.cut.extend(pairs),
            }
        }
    }

    fn stop(&mut self, site: &mut Site, many: usize, leader: bool) {
        let until = site.now + STOP;
        for _ in 0..many {
            let drawn = self.random.usize(0..site.members.len());
            let n = if leader { site.leader().unwrap_or(drawn) } else { drawn };
            if site.members[n].is_some() && site.stopped.insert(n) {
                self.tell(site, format!("stop {n}"));
                self.stops.push((until, n));
                self.own[n] = self.own[n].max(until);
            }
        }
    }

    fn kill(&mut self, site: &mut Site) {
        let count = site.members.len();
        for _ in 0..1 + self.random.usize(0..count / 20 + 1) {
            // A quarter of them of the council, however large the fleet.
            let n = if self.random.u32(0..4) == 0 {
                self.random.usize(0..COUNCIL)
            } else {
                self.random.usize(0..count)
            };
            if site.members[n].is_some() && !site.stopped.contains(&n) {
                let until = self.random.u64(1..10) * SECOND + site.now;
                self.tell(site, format!("kill {n}"));
                site.kill(n);
                self.dead.push((until, n));
                self.own[n] = self.own[n].max(until);
            }
        }
    }

    /// Ends what is over by `by`, and looks at each that wakes before it hears of anything.
    fn end(&mut self, site: &mut Site, referee: &mut Referee, by: Micros) {
        let before = self.cuts.len();
        self.cuts.retain(|cut| cut.0 > by);
        if self.cuts.len() != before {
            self.tell(site, "a cut ends".into());
            self.lay(site);
        }
        let (over, stops) = std::mem::take(&mut self.stops).into_iter().partition(|stop| stop.0 <= by);
        self.stops = stops;
        let over: Vec<(Micros, usize)> = over;
        for (_, n) in over {
            site.stopped.remove(&n);
            self.own[n] = self.own[n].max(site.now);
            self.tell(site, format!("wake {n}"));
            referee.look(site, n);
        }
        let (over, dead) = std::mem::take(&mut self.dead).into_iter().partition(|dead| dead.0 <= by);
        self.dead = dead;
        let over: Vec<(Micros, usize)> = over;
        for (_, n) in over {
            // One memory of the council may be lost at a time: of more, a majority may have forgotten what it agreed.
            let all_vote = (0..COUNCIL)
                .filter(|it| *it != n)
                .all(|it| site.members[it].as_ref().is_some_and(|it| it.is_voting()));
            let forgets = n >= COUNCIL || (all_vote && self.random.bool());
            self.tell(site, format!("start {n}, without memory: {forgets}"));
            if forgets {
                site.start_empty(n)
            } else {
                site.start(n)
            }
            self.own[n] = self.own[n].max(site.now);
        }
    }

    /// All faults end.
    pub(crate) fn end_all(&mut self, site: &mut Site, referee: &mut Referee) {
        self.tell(site, "all faults end".into());
        self.end(site, referee, Micros::MAX);
        site.loss = 0.0;
    }

    /// Staff have a member of the council that lost its memory taken in anew.
    pub(crate) fn renew(&mut self, site: &mut Site) {
        for n in site.blocked_voters.clone() {
            if site.members[n].as_ref().is_none_or(|it| it.is_voting()) {
                site.blocked_voters.remove(&n);
            } else if let Some(by) = self.somebody(site) {
                let now = site.local(by);
                if let Some(member) = &mut site.members[by] {
                    _ = member.change_voters(now, None, Some(n as u16));
                }
                self.tell(site, format!("{n} is to be taken in anew, by {by}"));
            }
        }
    }

    fn somebody(&mut self, site: &Site) -> Option<usize> {
        let alive: Vec<usize> = (0..site.members.len())
            .filter(|n| site.members[*n].is_some() && !site.stopped.contains(n))
            .collect();
        self.random.choice(alive)
    }

    fn propose(&mut self, site: &mut Site, referee: &Referee) {
        let Some(by) = self.somebody(site) else { return };
        self.proposed += 1;
        let id = self.proposed;
        let open = referee.open();
        let proposal = match self.random.u32(0..10) {
            0..4 => freeze(&format!("freeze-{id}")),
            4 => leave(&format!("leave-{id}")),
            _ => match self.random.choice(open) {
                Some(id) => revoke(&id),
                None => freeze(&format!("freeze-{id}")),
            },
        };
        self.tell(site, format!("{by} proposes {proposal:?}").chars().take(90).collect());
        let now = site.local(by);
        if let Some(member) = &mut site.members[by] {
            _ = member.propose(now, proposal.into());
        }
    }
}

fn leave(id: &str) -> Proposal {
    Proposal::Add(Entry::Override(Override {
        id: id.into(),
        person: "r.ortiz".into(),
        reason: "replacement".into(),
        end: "2026-01-31T00:00".parse().unwrap(),
        zone: "America/Mexico_City".into(),
        scope: Scope { kinds: ChangeKind::PLANNED.to_vec(), place: ScopeTarget::Fleet },
    }))
}

fn revoke(id: &str) -> Proposal {
    Proposal::Revoke(Revoke { id: id.into(), asked_by: "valle-alto".into(), reason: "moved".into() })
}
