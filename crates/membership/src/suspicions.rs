//! Keeps track of suspected members, so that no probe is spent on a member whose suspicion timeout is running.

use std::collections::BTreeMap;

use foca::Incarnation;

use crate::Micros;
use crate::identity::MemberId;

/// A suspicion that this member found while probing.
#[derive(Clone, Copy, Debug)]
struct Observed {
    swim_incarnation: Incarnation,
    since: Micros,
}

/// The suspicions that this member found while probing, and those that it raised. There is at most one of
/// each for every number of the roster.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    observed: BTreeMap<u16, Observed>,
    /// The suspicions that this member raised, each with the timer of foca that declares the suspect down, if
    /// there is one.
    raised: BTreeMap<u16, Option<foca::Timer<MemberId>>>,
}

impl Suspicions {
    /// Returns whether to skip a probe of a member that is suspected at this incarnation. Probes are skipped only until
    /// `timeout` has passed: if the member that raised the suspicion has crashed, nobody declares the suspect down.
    pub(crate) fn skips_probe(
        &mut self, now: Micros, number: u16, swim_incarnation: Incarnation, timeout: Micros,
    ) -> bool {
        let new = Observed { swim_incarnation, since: now };
        let observed = self.observed.entry(number).or_insert(new);
        if observed.swim_incarnation != swim_incarnation {
            *observed = new;
        }
        now < observed.since.saturating_add(timeout)
    }

    /// Records a suspicion that this member raises. It ends with foca's timer `verdict`, if there is one.
    /// Returns false if the suspicion is already recorded.
    pub(crate) fn raise(&mut self, number: u16, verdict: Option<&foca::Timer<MemberId>>) -> bool {
        match (self.raised.get(&number), verdict) {
            (Some(_), None) => false,
            (Some(known), verdict) if known.as_ref() == verdict => false,
            _ => {
                self.raised.insert(number, verdict.cloned());
                true
            }
        }
    }

    /// Removes the suspicion of this number that this member raised.
    pub(crate) fn withdraw(&mut self, number: u16) {
        self.raised.remove(&number);
    }

    /// Removes all suspicions of this number.
    pub(crate) fn remove(&mut self, number: u16) {
        self.observed.remove(&number);
        self.raised.remove(&number);
    }
}
