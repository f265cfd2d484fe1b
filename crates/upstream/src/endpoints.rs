//! The set of endpoints listed by discovery.

use crate::setup::Names;
use decide::api::{CellId, EndpointEntry, EndpointId, EndpointState, ListKind, ZoneId};
use fnv::FnvHasher;
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::cmp::Ordering;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;

/// A cache node or the origin, as of the last endpoint list.
#[derive(Debug)]
pub struct Endpoint {
    /// The id of the endpoint in the decision module.
    pub id: EndpointId,
    /// The name of the endpoint in discovery.
    pub name: String,
    /// The address of the endpoint.
    pub addr: SocketAddr,
    /// Whether the endpoint is the origin, which speaks HTTP. Cache nodes speak RESP.
    pub is_origin: bool,
    up_since_ms: u64,
    state: Cell<EndpointState>,
}

impl Endpoint {
    /// Returns whether new requests may be sent to the endpoint.
    pub fn is_ready(&self) -> bool {
        self.state.get() == EndpointState::Ready
    }

    /// Marks the endpoint as removed from the list, so that attempts that are still connecting to it stop.
    fn mark_gone(&self) {
        self.state.set(EndpointState::Gone);
    }
}

/// Returns a stable hash of an endpoint's name in discovery, so that all balancers assign the same keys to it. The
/// address and the position in the list are not hashed, because they vary.
#[must_use]
pub fn endpoint_id(name: &str) -> EndpointId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    EndpointId(hasher.finish())
}

/// At most this many changes of one list are logged individually, followed by their counts if there are more. Thousands
/// of log lines would delay the application of the list.
const MAX_LOGGED_CHANGES: usize = 32;

/// The listed endpoints.
#[derive(Debug)]
pub struct EndpointSet {
    names: Names,
    origin_kind: Option<u16>,
    endpoints: FxHashMap<EndpointId, Rc<Endpoint>>,
}

/// Whether the state of an endpoint has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PresenceChange {
    Changed,
    Unchanged,
}

/// Returns the entry of an endpoint that is gone.
fn gone_entry(id: EndpointId) -> EndpointEntry {
    EndpointEntry {
        id,
        state: EndpointState::Gone,
        kind: u16::MAX,
        weight: 1.0,
        cell: CellId(0),
        zone: ZoneId(0),
        started_at: 0,
    }
}

/// Returns the name of a state in log lines.
fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "Ready",
        EndpointState::Draining => "Draining",
        EndpointState::Gone => "Gone",
    }
}

/// Returns the index of a name, or `unknown` if the name is not configured.
fn name_index<T: TryFrom<usize>>(names: &[String], name: &str, unknown: T) -> T {
    names.iter().position(|known| known == name).and_then(|index| T::try_from(index).ok()).unwrap_or(unknown)
}

fn log_changes(changes: &[(&String, EndpointState)]) {
    for (id, state) in changes.iter().take(MAX_LOGGED_CHANGES) {
        log::info!("discovery: {id} is {}", state_name(*state));
    }
    if changes.len() > MAX_LOGGED_CHANGES {
        let count = |state| changes.iter().filter(|(_, changed_to)| *changed_to == state).count();
        let [ready, draining, gone] =
            [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone].map(count);
        log::info!(
            "discovery: of {} changes, {ready} to Ready, {draining} to Draining, {gone} to Gone",
            changes.len()
        );
    }
}

impl EndpointSet {
    /// Creates an empty set. Endpoints of `origin_kind` are the origin.
    #[must_use]
    pub fn new(names: Names, origin_kind: Option<u16>) -> Self {
        Self { names, origin_kind, endpoints: FxHashMap::default() }
    }

    /// Returns the names from the configuration.
    #[must_use]
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Returns the number of listed endpoints.
    #[must_use]
    pub fn size(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the endpoint with this id, if it is listed.
    #[must_use]
    pub fn endpoint(&self, id: EndpointId) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(&id)
    }

    /// Applies a list. Returns its kind and its entries in the types of the decision module, and the endpoints whose
    /// idle connections must be closed.
    pub fn apply(
        &mut self, list: &EndpointList, cached: bool,
    ) -> (ListKind, Vec<EndpointEntry>, Vec<EndpointId>) {
        let mut entries: Vec<_> = list.members.iter().map(|member| self.to_entry(member)).collect();
        let mut idle_to_close = Vec::new();
        let replaced = self.resolve_addresses(list, &mut entries);
        if list.complete {
            self.remove_unlisted(&entries, &mut idle_to_close);
        }
        let mut changes = Vec::new();
        for (id, name) in &replaced {
            if self.remove(*id, &mut idle_to_close) == PresenceChange::Changed {
                changes.push((name, EndpointState::Gone));
            }
        }
        for (member, entry) in list.members.iter().zip(&entries) {
            if self.apply_entry(member, entry, &mut idle_to_close) == PresenceChange::Changed {
                changes.push((&member.id, entry.state));
            }
        }
        log_changes(&changes);
        if list.complete {
            entries.retain(|entry| entry.state != EndpointState::Gone);
        } else {
            entries.extend(replaced.iter().map(|(id, _)| gone_entry(*id)));
        }
        let kind = match (cached, list.complete) {
            (true, _) => ListKind::Cached,
            (false, true) => ListKind::Full,
            (false, false) => ListKind::Delta,
        };
        (kind, entries, idle_to_close)
    }

    /// Finds the endpoints whose address a process that started later has taken: an address has one process at a time, so
    /// the former process is gone, whether or not its end has been told. Marks such entries of the list as gone, and
    /// returns the ids and names of such endpoints that are known.
    fn resolve_addresses(
        &self, list: &EndpointList, entries: &mut [EndpointEntry],
    ) -> Vec<(EndpointId, String)> {
        let mut latest: FxHashMap<SocketAddr, (EndpointId, u64)> = FxHashMap::default();
        let listed =
            list.members.iter().zip(&*entries).filter(|(_, entry)| entry.state != EndpointState::Gone);
        for (member, entry) in listed {
            let claim = latest.entry(member.host_port).or_insert((entry.id, member.up_since_ms));
            if member.up_since_ms > claim.1 {
                *claim = (entry.id, member.up_since_ms);
            }
        }
        let mut replaced = Vec::new();
        let restated: FxHashSet<_> = entries.iter().map(|entry| entry.id).collect();
        // An endpoint that a complete list does not contain is removed anyway.
        let kept = self.endpoints.values().filter(|it| !list.complete && !restated.contains(&it.id));
        for endpoint in kept {
            let Some(claim) = latest.get_mut(&endpoint.addr) else { continue };
            match endpoint.up_since_ms.cmp(&claim.1) {
                Ordering::Less => replaced.push((endpoint.id, endpoint.name.clone())),
                Ordering::Greater => *claim = (endpoint.id, endpoint.up_since_ms),
                Ordering::Equal => {}
            }
        }
        for (member, entry) in list.members.iter().zip(entries) {
            if latest.get(&member.host_port).is_some_and(|claim| claim.1 > member.up_since_ms) {
                entry.state = EndpointState::Gone;
            }
        }
        replaced
    }

    /// Removes the endpoints that a complete list does not contain.
    fn remove_unlisted(&mut self, entries: &[EndpointEntry], idle_to_close: &mut Vec<EndpointId>) {
        let listed: FxHashSet<_> = entries.iter().map(|entry| entry.id).collect();
        self.endpoints.retain(|id, endpoint| {
            let keep = listed.contains(id);
            if !keep {
                endpoint.mark_gone();
                idle_to_close.push(*id);
            }
            keep
        });
    }

    fn apply_entry(
        &mut self, member: &EndpointRecord, entry: &EndpointEntry, idle_to_close: &mut Vec<EndpointId>,
    ) -> PresenceChange {
        if entry.state == EndpointState::Gone {
            return self.remove(entry.id, idle_to_close);
        }
        let Some(known) = self.endpoints.get(&entry.id) else {
            self.insert(member, entry);
            return PresenceChange::Changed;
        };
        let change = match known.state.replace(entry.state) == entry.state {
            true => PresenceChange::Unchanged,
            false => PresenceChange::Changed,
        };
        let is_same_process = known.addr == member.host_port && known.up_since_ms == member.up_since_ms;
        if !is_same_process || !known.is_ready() {
            idle_to_close.push(entry.id);
        }
        if !is_same_process {
            self.insert(member, entry);
        }
        change
    }

    /// Removes an endpoint, so that endpoints that are replaced by new ones all day do not accumulate.
    fn remove(&mut self, id: EndpointId, idle_to_close: &mut Vec<EndpointId>) -> PresenceChange {
        let Some(endpoint) = self.endpoints.remove(&id) else { return PresenceChange::Unchanged };
        endpoint.mark_gone();
        idle_to_close.push(id);
        PresenceChange::Changed
    }

    fn insert(&mut self, member: &EndpointRecord, entry: &EndpointEntry) {
        let endpoint = Endpoint {
            id: entry.id,
            name: member.id.clone(),
            addr: member.host_port,
            is_origin: self.origin_kind == Some(entry.kind),
            up_since_ms: member.up_since_ms,
            state: Cell::new(entry.state),
        };
        if let Some(replaced) = self.endpoints.insert(entry.id, Rc::new(endpoint)) {
            replaced.mark_gone();
        }
    }

    fn to_entry(&self, member: &EndpointRecord) -> EndpointEntry {
        EndpointEntry {
            id: endpoint_id(&member.id),
            state: match member.phase {
                Phase::Ready => EndpointState::Ready,
                Phase::Draining => EndpointState::Draining,
                Phase::Gone => EndpointState::Gone,
            },
            kind: name_index(&self.names.kinds, &member.flavor, u16::MAX),
            weight: if member.size.is_finite() && member.size > 0.0 { member.size } else { 1.0 },
            cell: CellId(member.cell),
            zone: ZoneId(name_index(&self.names.zones, &member.locality, u8::MAX)),
            started_at: member.up_since_ms.saturating_mul(1_000),
        }
    }
}
