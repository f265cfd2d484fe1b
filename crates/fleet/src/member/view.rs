//! The JSON answer of `GET /fleet`: the state of the fleet as this balancer knows it.

use super::FleetMember;
use agreement::{Micros, Store};
use audit::lease::LeaseState;
use audit::ledger::{CurrentActivity, PastActivity};
use serde_json::{Value, json};

/// The lag, in revisions, from which a balancer is listed as lagging.
const LAGGING_REVISIONS: u64 = 64;
/// The time without a report from which a balancer is listed as lagging.
const LAGGING_TIME: Micros = 10_000_000;

impl<S: Store> FleetMember<S> {
    /// Returns the state of the fleet for operators, as JSON.
    #[must_use]
    pub fn view(&self, now: Micros) -> Value {
        let name = |number: u16| self.balancer_name(number);
        let holders: Vec<_> =
            self.state.holders.current(now).filter_map(|(number, _)| name(number)).collect();
        let voters: Vec<_> = self.voters().into_iter().filter_map(name).collect();
        let members: Vec<_> = self.membership.members().filter_map(|member| name(member.number)).collect();
        let fleet_time = self.lease.fleet_time(now);
        let lagging =
            fleet_time.map(|time| self.ledger.lagging_nodes(time.latest, LAGGING_REVISIONS, LAGGING_TIME));
        let current = self.ledger.current_activity();
        let past: Vec<_> = current.iter().filter_map(|activity| self.past_activity(activity)).collect();
        let calendar = &self.state.calendar;
        json!({
            "me": name(self.node_id),
            "standing": lease_state_word(self.lease.state(now).0),
            "fleet_time_us": fleet_time.map(|time| [time.earliest, time.latest]),
            "revision": self.agreement.commit_index(),
            "behind": self.agreement.newer_commit_index(),
            "council": voters,
            "leader": self.agreement.leader().and_then(name),
            "votes": self.agreement.is_voting(),
            "members": members,
            "holding": holders,
            "calendar": {
                "revision": calendar.revision(),
                "entries": calendar.entries().collect::<Vec<_>>(),
            },
            "acts": current,
            "did": past,
            "stragglers": lagging,
            "datagrams": self.counters,
        })
    }

    fn balancer_name(&self, number: u16) -> Option<&str> {
        self.file.balancers.get(usize::from(number)).map(|balancer| balancer.name.as_str())
    }

    /// Returns a balancer's past activity under the version of its `current` activity. The ledger also has its
    /// activity under other versions.
    fn past_activity(&self, current: &CurrentActivity) -> Option<PastActivity> {
        let past = self.ledger.activity_under(&current.version, 0, u64::MAX);
        past.into_iter().find(|past| past.number == current.number && past.incarnation == current.incarnation)
    }
}

/// Returns the word for the state of a lease in `GET /fleet`.
fn lease_state_word(state: LeaseState) -> &'static str {
    match state {
        LeaseState::Held => "held",
        LeaseState::Fenced => "fenced",
        LeaseState::Orphaned => "orphaned",
    }
}
