//! What operators have ordered: cache hosts out by hand, and the drain of the balancer.
//!
//! The crate does no I/O and reads no clock: its owner tells it what discovery says and what is ordered and when, keeps
//! its [`OperatorOverrides`] where the next process finds them, and hands on the lists it yields. A host that is out by hand reads
//! there as draining, and one that was called back as started then, so that nobody needs to know of orders.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod keeping;
mod orders;

pub use keeping::{CommandOutcome, OverrideChange, OverrideStore, StoreAction, WriteError};
pub use orders::{OperatorOverrides, OverrideCommand, OverrideError, UnreadableOverrides};

use hashlink::LruCache;
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::fmt;

/// Unix time in milliseconds, as discovery's list tells of starts.
pub type Millis = u64;

/// Ids remembered of hosts that were listed once: those that may be taken out while they are away. Bounds memory on days
/// on which new hosts take the place of old ones all the time.
const KNOWN: usize = 4_096;

/// The list as discovery last told it, and the orders laid over it.
pub struct OverriddenList {
    /// The kind of member that is the origin, which no order touches.
    origin_flavor: Option<String>,
    listed: FxHashMap<String, EndpointRecord>,
    known: LruCache<String, (), FxBuildHasher>,
    orders: OperatorOverrides,
}

impl OverriddenList {
    /// No list as yet, and the orders of the process before.
    #[must_use]
    pub fn new(origin_flavor: Option<String>, orders: OperatorOverrides) -> Self {
        let known = LruCache::with_hasher(KNOWN, FxBuildHasher);
        Self { origin_flavor, listed: FxHashMap::default(), known, orders }
    }

    /// The orders in force.
    #[must_use]
    pub fn overrides(&self) -> &OperatorOverrides {
        &self.orders
    }

    /// Takes in a list of discovery, and yields it with the orders laid over.
    #[must_use]
    pub fn apply_list(&mut self, list: &EndpointList) -> EndpointList {
        if list.complete {
            self.listed.clear();
        }
        for member in &list.members {
            if self.origin_flavor.as_ref() == Some(&member.flavor) {
                continue;
            }
            self.known.insert(member.id.clone(), ());
            match member.phase {
                Phase::Gone => self.listed.remove(&member.id),
                Phase::Ready | Phase::Draining => self.listed.insert(member.id.clone(), member.clone()),
            };
            self.orders.heard_of_start(&member.id, member.up_since_ms);
        }
        let members = list.members.iter().map(|member| self.laid_over(member)).collect();
        EndpointList { members, ..*list }
    }

    /// Carries out an order, and yields the hosts about which there is something new to tell, as [`OverriddenList::current_entries`]
    /// takes them. One that is in force already changes nothing.
    ///
    /// # Errors
    /// When no cache host has the id.
    pub fn apply_command(
        &mut self, now: Millis, order: &OverrideCommand,
    ) -> Result<Vec<String>, OverrideError> {
        if let OverrideCommand::Disable(id) | OverrideCommand::Enable(id) = order
            && !self.known.contains_key(id)
            && !self.orders.is_out(id)
        {
            return Err(OverrideError::Unknown(id.clone()));
        }
        let changed = self.orders.carry_out(now, order);
        for member in changed.iter().filter_map(|id| self.listed.get(id)) {
            self.orders.heard_of_start(&member.id, member.up_since_ms);
        }
        Ok(changed.into_iter().collect())
    }

    /// Puts other orders in the place of those in force, and yields the hosts about which there is something new to tell.
    pub fn replace_overrides(&mut self, orders: OperatorOverrides) -> Vec<String> {
        let old = std::mem::replace(&mut self.orders, orders);
        old.differences(&self.orders)
    }

    /// The hosts about which there is something new to tell where these orders were in force before.
    #[must_use]
    pub fn changed_since(&self, orders: &OperatorOverrides) -> Vec<String> {
        orders.differences(&self.orders)
    }

    /// The change of the list that brings its reader up to date about these hosts; those not listed now are left out.
    #[must_use]
    pub fn current_entries(&self, hosts: &[String]) -> EndpointList {
        let listed = hosts.iter().filter_map(|id| self.listed.get(id));
        EndpointList {
            revision: 0,
            complete: false,
            members: listed.map(|member| self.laid_over(member)).collect(),
        }
    }

    fn laid_over(&self, member: &EndpointRecord) -> EndpointRecord {
        let mut laid = member.clone();
        if self.orders.is_out(&member.id) && member.phase == Phase::Ready {
            laid.phase = Phase::Draining;
        }
        if let Some(back) = self.orders.back_since(&member.id) {
            // Discovery tells of starts seconds late: until it does, the host is taken to be as cold as it can be.
            laid.up_since_ms = laid.up_since_ms.max(back);
        }
        laid
    }
}

impl fmt::Debug for OverriddenList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} hosts listed, {:?}", self.listed.len(), self.orders)
    }
}
