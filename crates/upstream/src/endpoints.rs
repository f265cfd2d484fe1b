//! The upstream group: the peers that discovery lists.

use crate::setup::Names;
use decide::api::{CellId, EndpointEntry, EndpointId, ListKind, Presence, ZoneId};
use fnv::FnvHasher;
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;

/// A peer or the origin, as last listed.
#[derive(Debug)]
pub struct Endpoint {
    /// Its number in the module.
    pub id: EndpointId,
    /// Its name in discovery.
    pub name: String,
    /// Where to reach it.
    pub addr: SocketAddr,
    /// Whether it is the origin, which speaks HTTP.
    pub origin: bool,
    since: u64,
    presence: Cell<Presence>,
}

impl Endpoint {
    /// Whether something new may be sent to it.
    pub fn ready(&self) -> bool {
        self.presence.get() == Presence::Ready
    }
}

/// A stable hash of discovery's id, so that all balancers rank keys alike. Never of address or order: both vary.
#[must_use]
pub fn endpoint_id(name: &str) -> EndpointId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    EndpointId(hasher.finish())
}

/// Changes of one list that are logged one by one; of more, how many there are. A line for each of some thousand would hold
/// up what the list says.
const LOGGED_ONE_BY_ONE: usize = 32;

/// The peers listed.
#[derive(Debug)]
pub struct EndpointSet {
    names: Names,
    origin_kind: Option<u16>,
    peers: FxHashMap<EndpointId, Rc<Endpoint>>,
}

fn place<T: TryFrom<usize>>(names: &[String], name: &str, unknown: T) -> T {
    names.iter().position(|n| n == name).and_then(|at| T::try_from(at).ok()).unwrap_or(unknown)
}

fn log_changes(changes: &[(&String, Presence)]) {
    for (id, presence) in changes.iter().take(LOGGED_ONE_BY_ONE) {
        log::info!("discovery: {id} is {presence:?}");
    }
    if changes.len() > LOGGED_ONE_BY_ONE {
        let now = |presence| changes.iter().filter(|(_, it)| *it == presence).count();
        let [ready, draining, gone] = [Presence::Ready, Presence::Draining, Presence::Gone].map(now);
        log::info!(
            "discovery: of {} changes, {ready} to Ready, {draining} to Draining, {gone} to Gone",
            changes.len()
        );
    }
}

impl EndpointSet {
    /// An empty group.
    #[must_use]
    pub fn new(names: Names, origin_kind: Option<u16>) -> Self {
        Self { names, origin_kind, peers: FxHashMap::default() }
    }

    /// The names that the settings give to numbers.
    #[must_use]
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// How many peers are listed.
    #[must_use]
    pub fn size(&self) -> usize {
        self.peers.len()
    }

    /// A peer that the list has named.
    #[must_use]
    pub fn endpoint(&self, id: EndpointId) -> Option<&Rc<Endpoint>> {
        self.peers.get(&id)
    }

    /// Takes in a list; returns it in the module's form, and the peers to which idle connections are void.
    pub fn apply(
        &mut self, list: &EndpointList, cached: bool,
    ) -> (ListKind, Vec<EndpointEntry>, Vec<EndpointId>) {
        let entries: Vec<_> = list.members.iter().map(|m| self.entry(m)).collect();
        let (mut stale, mut changes) = (Vec::new(), Vec::new());
        if list.complete {
            let named: FxHashSet<_> = entries.iter().map(|e| e.id).collect();
            self.peers.retain(|id, peer| {
                let keep = named.contains(id);
                if !keep {
                    peer.presence.set(Presence::Gone); // tries that are dialling still look at it
                    stale.push(*id);
                }
                keep
            });
        }
        for (member, entry) in list.members.iter().zip(&entries) {
            let known = self.peers.get(&entry.id);
            if entry.presence == Presence::Gone {
                // Guards memory on days on which new peers take the place of old ones all the time.
                if let Some(peer) = self.peers.remove(&entry.id) {
                    changes.push((&member.id, entry.presence));
                    peer.presence.set(Presence::Gone); // tries that are dialling still look at it
                    stale.push(entry.id);
                }
                continue;
            }
            if known.is_none_or(|peer| peer.presence.get() != entry.presence) {
                changes.push((&member.id, entry.presence));
            }
            if let Some(peer) = known {
                peer.presence.set(entry.presence);
                let same = peer.addr == member.host_port && peer.since == member.up_since_ms;
                if !same || !peer.ready() {
                    stale.push(entry.id);
                }
                if same {
                    continue;
                }
            }
            let peer = Endpoint {
                id: entry.id,
                name: member.id.clone(),
                addr: member.host_port,
                origin: self.origin_kind == Some(entry.kind),
                since: member.up_since_ms,
                presence: Cell::new(entry.presence),
            };
            if let Some(old) = self.peers.insert(entry.id, Rc::new(peer)) {
                old.presence.set(Presence::Gone); // what it was: its address or its process has changed
            }
        }
        log_changes(&changes);
        let kind = match (cached, list.complete) {
            (true, _) => ListKind::Cached,
            (_, true) => ListKind::Full,
            _ => ListKind::Delta,
        };
        (kind, entries, stale)
    }

    fn entry(&self, member: &EndpointRecord) -> EndpointEntry {
        EndpointEntry {
            id: endpoint_id(&member.id),
            presence: match member.phase {
                Phase::Ready => Presence::Ready,
                Phase::Draining => Presence::Draining,
                Phase::Gone => Presence::Gone,
            },
            kind: place(&self.names.kinds, &member.flavor, u16::MAX),
            weight: if member.size.is_finite() && member.size > 0.0 { member.size } else { 1.0 },
            cell: CellId(member.cell),
            zone: ZoneId(place(&self.names.zones, &member.locality, u8::MAX)),
            online_since: member.up_since_ms.saturating_mul(1_000),
        }
    }
}
