//! Which members are suspected, so that no probe is spent on a member whose suspicion timeout runs.

use std::collections::BTreeMap;

use foca::Incarnation;

use crate::Micros;
use crate::identity::MemberId;

/// A suspicion that this member met while probing.
#[derive(Clone, Copy, Debug)]
struct Observed {
    swim_incarnation: Incarnation,
    since: Micros,
}

/// The suspicions that this member met while probing, and those that it raised: at most one of each for every number of the
/// roster.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    observed: BTreeMap<u16, Observed>,
    /// Raised by this member, with the timer of foca that ends in a verdict, if there is one.
    raised: BTreeMap<u16, Option<foca::Timer<MemberId>>>,
}

impl Suspicions {
    /// Whether a probe should skip a member that is suspected at this incarnation. Only for the duration of a suspicion: if
    /// the member that raised it has crashed, nobody declares the suspect down.
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

    /// Raises a suspicion, which ends with foca's `verdict` if there is one. Returns false if it is raised already.
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

    /// Drops the suspicion that this member raised.
    pub(crate) fn withdraw(&mut self, number: u16) {
        self.raised.remove(&number);
    }

    /// Drops everything about a number.
    pub(crate) fn remove(&mut self, number: u16) {
        self.observed.remove(&number);
        self.raised.remove(&number);
    }
}
