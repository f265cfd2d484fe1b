//! The endpoints that discovery lists.

use crate::setup::Names;
use decide::api::{CellId, EndpointEntry, EndpointId, ListKind, Presence, ZoneId};
use fnv::FnvHasher;
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;

/// A cache node or the origin, as last listed.
#[derive(Debug)]
pub struct Endpoint {
    /// Its id in the decision module.
    pub id: EndpointId,
    /// Its name in discovery.
    pub name: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it is the origin, which speaks HTTP.
    pub is_origin: bool,
    up_since_ms: u64,
    presence: Cell<Presence>,
}

impl Endpoint {
    /// Whether new requests may be sent to it.
    pub fn ready(&self) -> bool {
        self.presence.get() == Presence::Ready
    }

    /// Marks an endpoint that is not listed any more, for attempts that still connect to it.
    fn mark_gone(&self) {
        self.presence.set(Presence::Gone);
    }
}

/// A stable hash of discovery's name, so that all balancers assign keys alike. Addresses and order vary, and are not used.
#[must_use]
pub fn endpoint_id(name: &str) -> EndpointId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    EndpointId(hasher.finish())
}

/// How many changes of one list are logged one by one; of more, the count is logged. A line for each of thousands would delay the
/// application of the list.
const MAX_LOGGED_CHANGES: usize = 32;

/// The listed endpoints.
#[derive(Debug)]
pub struct EndpointSet {
    names: Names,
    origin_kind: Option<u16>,
    endpoints: FxHashMap<EndpointId, Rc<Endpoint>>,
}

/// Whether the presence of an endpoint has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PresenceChange {
    Changed,
    Unchanged,
}

/// The presence as log lines name it.
fn presence_name(presence: Presence) -> &'static str {
    match presence {
        Presence::Ready => "Ready",
        Presence::Draining => "Draining",
        Presence::Gone => "Gone",
    }
}

/// The number of a name, or `unknown` if it has none.
fn name_index<T: TryFrom<usize>>(names: &[String], name: &str, unknown: T) -> T {
    names.iter().position(|n| n == name).and_then(|at| T::try_from(at).ok()).unwrap_or(unknown)
}

fn log_changes(changes: &[(&String, Presence)]) {
    for (id, presence) in changes.iter().take(MAX_LOGGED_CHANGES) {
        log::info!("discovery: {id} is {}", presence_name(*presence));
    }
    if changes.len() > MAX_LOGGED_CHANGES {
        let now = |presence| changes.iter().filter(|(_, it)| *it == presence).count();
        let [ready, draining, gone] = [Presence::Ready, Presence::Draining, Presence::Gone].map(now);
        log::info!(
            "discovery: of {} changes, {ready} to Ready, {draining} to Draining, {gone} to Gone",
            changes.len()
        );
    }
}

impl EndpointSet {
    /// An empty set.
    #[must_use]
    pub fn new(names: Names, origin_kind: Option<u16>) -> Self {
        Self { names, origin_kind, endpoints: FxHashMap::default() }
    }

    /// Names of the numbers in the settings.
    #[must_use]
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// How many endpoints are listed.
    #[must_use]
    pub fn size(&self) -> usize {
        self.endpoints.len()
    }

    /// A listed endpoint.
    #[must_use]
    pub fn endpoint(&self, id: EndpointId) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(&id)
    }

    /// Applies a list. Returns its kind and its entries in the decision module's form, and the endpoints whose idle connections are
    /// to be closed.
    pub fn apply(
        &mut self, list: &EndpointList, cached: bool,
    ) -> (ListKind, Vec<EndpointEntry>, Vec<EndpointId>) {
        let entries: Vec<_> = list.members.iter().map(|member| self.entry(member)).collect();
        let mut stale = Vec::new();
        if list.complete {
            self.remove_unlisted(&entries, &mut stale);
        }
        let mut changes = Vec::new();
        for (member, entry) in list.members.iter().zip(&entries) {
            if self.apply_entry(member, entry, &mut stale) == PresenceChange::Changed {
                changes.push((&member.id, entry.presence));
            }
        }
        log_changes(&changes);
        let kind = match (cached, list.complete) {
            (true, _) => ListKind::Cached,
            (false, true) => ListKind::Full,
            (false, false) => ListKind::Delta,
        };
        (kind, entries, stale)
    }

    /// Removes the endpoints that a complete list does not contain.
    fn remove_unlisted(&mut self, entries: &[EndpointEntry], stale: &mut Vec<EndpointId>) {
        let listed: FxHashSet<_> = entries.iter().map(|entry| entry.id).collect();
        self.endpoints.retain(|id, endpoint| {
            let keep = listed.contains(id);
            if !keep {
                endpoint.mark_gone();
                stale.push(*id);
            }
            keep
        });
    }

    fn apply_entry(
        &mut self, member: &EndpointRecord, entry: &EndpointEntry, stale: &mut Vec<EndpointId>,
    ) -> PresenceChange {
        if entry.presence == Presence::Gone {
            return self.remove(entry.id, stale);
        }
        let Some(known) = self.endpoints.get(&entry.id) else {
            self.insert(member, entry);
            return PresenceChange::Changed;
        };
        let change = match known.presence.replace(entry.presence) == entry.presence {
            true => PresenceChange::Unchanged,
            false => PresenceChange::Changed,
        };
        let is_same_process = known.addr == member.host_port && known.up_since_ms == member.up_since_ms;
        if !is_same_process || !known.ready() {
            stale.push(entry.id);
        }
        if !is_same_process {
            self.insert(member, entry);
        }
        change
    }

    /// Removes an endpoint. Guards memory when endpoints are replaced by new ones all day.
    fn remove(&mut self, id: EndpointId, stale: &mut Vec<EndpointId>) -> PresenceChange {
        let Some(endpoint) = self.endpoints.remove(&id) else { return PresenceChange::Unchanged };
        endpoint.mark_gone();
        stale.push(id);
        PresenceChange::Changed
    }

    fn insert(&mut self, member: &EndpointRecord, entry: &EndpointEntry) {
        let endpoint = Endpoint {
            id: entry.id,
            name: member.id.clone(),
            addr: member.host_port,
            is_origin: self.origin_kind == Some(entry.kind),
            up_since_ms: member.up_since_ms,
            presence: Cell::new(entry.presence),
        };
        if let Some(replaced) = self.endpoints.insert(entry.id, Rc::new(endpoint)) {
            replaced.mark_gone();
        }
    }

    fn entry(&self, member: &EndpointRecord) -> EndpointEntry {
        EndpointEntry {
            id: endpoint_id(&member.id),
            presence: match member.phase {
                Phase::Ready => Presence::Ready,
                Phase::Draining => Presence::Draining,
                Phase::Gone => Presence::Gone,
            },
            kind: name_index(&self.names.kinds, &member.flavor, u16::MAX),
            weight: if member.size.is_finite() && member.size > 0.0 { member.size } else { 1.0 },
            cell: CellId(member.cell),
            zone: ZoneId(name_index(&self.names.zones, &member.locality, u8::MAX)),
            online_since: member.up_since_ms.saturating_mul(1_000),
        }
    }
}
