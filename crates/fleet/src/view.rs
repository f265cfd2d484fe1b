//! The fleet as this balancer sees it, for staff: worded as JSON for the door.

use crate::{Fleet, Micros};
use agreement::Store;
use audit::lease::LeaseState;
use serde_json::{Value, json};

/// Versions behind, and time without news, from which a balancer is listed as a straggler.
const BEHIND: (u64, Micros) = (64, 10_000_000);

pub(crate) fn of<S: Store>(fleet: &Fleet<S>, now: Micros) -> Value {
    let (standing, _) = fleet.lease.state(now);
    let standing = match standing {
        LeaseState::Held => "held",
        LeaseState::Fenced => "fenced",
        LeaseState::Orphaned => "orphaned",
    };
    let name = |number: u16| fleet.file.balancers.get(usize::from(number)).map(|it| it.name.as_str());
    let holding: Vec<_> = fleet.state.holders.current(now).filter_map(|(number, _)| name(number)).collect();
    let council: Vec<_> = fleet.agreement.voters().iter().filter_map(|it| name(it.node_id)).collect();
    let members: Vec<_> = fleet.membership.members().filter_map(|it| name(it.number)).collect();
    let time = fleet.lease.fleet_time(now);
    let stragglers = time.map(|span| fleet.ledger.lagging_nodes(span.latest, BEHIND.0, BEHIND.1));
    let acts = fleet.ledger.current_activity();
    // Under the version that each was last known to act on; what it did under others is in the ledger.
    let did = |it: &audit::ledger::CurrentActivity| {
        let all = fleet.ledger.activity_under(&it.version, 0, u64::MAX);
        all.into_iter().find(|did| did.number == it.number && did.incarnation == it.incarnation)
    };
    let did: Vec<_> = acts.iter().filter_map(did).collect();
    json!({
        "me": name(fleet.me),
        "standing": standing,
        "fleet_time_us": time.map(|span| [span.earliest, span.latest]),
        "revision": fleet.agreement.applied(),
        "behind": fleet.agreement.lag(),
        "council": council,
        "leader": fleet.agreement.leader().and_then(name),
        "votes": fleet.agreement.is_voting(),
        "members": members,
        "holding": holding,
        "calendar": {"revision": fleet.state.calendar.revision(), "entries": fleet.state.calendar.entries().collect::<Vec<_>>()},
        "acts": acts,
        "did": did,
        "stragglers": stragglers,
        "datagrams": fleet.counts,
    })
}
