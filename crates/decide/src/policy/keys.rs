//! Which endpoints a key is assigned to, and which of them serves a read.

use super::context::Context;
use super::endpoints::{Endpoints, ReadTraffic};
use super::windows::READS_WINDOW_US;
use crate::api::{Key, Settings};
use crate::endpoint::Endpoint;
use crate::endpoint_table::{EndpointTable, Slot};
use crate::in_flight::Attempt;
use crate::key_table::{KeyAssignment, KeyTable, MAX_RANKS};
use std::mem;

const READS_PER_REPLICA: f64 = 0.6; // of a mean endpoint's reads, per endpoint that a key is spread over
const MIN_HOT_READS: f64 = 2.0; // reads that make a key hot: at least ...
const HOT_READS_OF_ALL: f64 = 36.0; // ... this many of all balancers together ...
const MAX_HOT_READS: f64 = 6.0; // ... but this many of one are enough
const FAULTY_SHARE: f64 = 0.2; // smoothed fault share from which retries avoid an endpoint
const MIN_CROSS_ZONE_PRICE: f64 = 0.05; // from this price on a key's home is in the balancer's zone
const REMOTE_PENALTY: f64 = 1_000.0; // how much less endpoints of other zones weigh then

/// Assigns keys to endpoints by weighted rendezvous hashing: balancers that share nothing agree.
#[derive(Debug, Default)]
pub(super) struct KeyPlacement {
    table: KeyTable,
}

impl KeyPlacement {
    /// The endpoints of a key, ranked again when the weights have changed.
    pub(super) fn assignment(
        &mut self, key: Key, endpoints: &EndpointTable, settings: &Settings,
    ) -> KeyAssignment {
        let assignment = self.remove_current(key, endpoints, settings);
        self.table.insert(key, assignment);
        assignment
    }

    /// The same for a read that has just arrived, which is counted.
    pub(super) fn assignment_for_read(
        &mut self, key: Key, endpoints: &EndpointTable, context: &Context,
    ) -> KeyAssignment {
        let mut assignment = self.remove_current(key, endpoints, &context.settings);
        assignment.reads.increment(context.now, READS_WINDOW_US);
        self.table.insert(key, assignment);
        assignment
    }

    fn remove_current(&mut self, key: Key, endpoints: &EndpointTable, settings: &Settings) -> KeyAssignment {
        let Some(stored) = self.table.remove(key) else { return rank(key, endpoints, settings, |_, _| true) };
        if stored.generation == endpoints.generation() {
            return stored;
        }
        let mut assignment = rank(key, endpoints, settings, |_, _| true);
        assignment.reads = stored.reads;
        assignment
    }
}

/// Ranks the ready cache endpoints for a key, best first, those among them that `is_allowed` accepts.
fn rank(
    key: Key, endpoints: &EndpointTable, settings: &Settings, is_allowed: impl Fn(Slot, &Endpoint) -> bool,
) -> KeyAssignment {
    let prefers_zone = settings.zones > 1 && settings.cross_zone_price >= MIN_CROSS_ZONE_PRICE;
    let mut best = [(f64::MAX, Slot::default()); MAX_RANKS];
    let mut len = 0;
    for (slot, endpoint) in endpoints.iter() {
        if !endpoint.is_ready_cache() || !is_allowed(slot, endpoint) {
            continue;
        }
        len = (len + 1).min(MAX_RANKS);
        let uniform = uniform_hash(key, endpoint);
        let weight = endpoint.ramped_weight() * endpoint.weight_factor;
        // -ln(u) is never below 1 - u: in a large fleet most endpoints are passed over without a logarithm.
        if 1.0 - uniform >= best[MAX_RANKS - 1].0 * weight {
            continue;
        }
        let mut candidate = (-uniform.max(1e-18).ln() / weight, slot);
        if prefers_zone && endpoint.entry.zone != settings.zone {
            candidate.0 *= REMOTE_PENALTY;
        }
        for ranked in &mut best {
            if candidate.0 < ranked.0 {
                mem::swap(&mut candidate, ranked);
            }
        }
    }
    KeyAssignment::new(best.map(|(_, slot)| slot), len, endpoints.generation())
}

/// Hashes a key and an endpoint to a number from 0 to 1.
fn uniform_hash(key: Key, endpoint: &Endpoint) -> f64 {
    let hash = splitmix64(key.0 ^ splitmix64(endpoint.entry.id.0));
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// The finalizer of splitmix64: spreads every bit of its input over the output.
fn splitmix64(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Over how many of its endpoints the reads of a key are spread: a hot one exceeds the part of one endpoint.
fn replicas(assignment: &KeyAssignment, reads: &ReadTraffic, ready: u32, context: &Context) -> usize {
    let of_key = assignment.reads.value(context.now, READS_WINDOW_US);
    let extra = of_key / reads.recent(context.now) * f64::from(ready) / READS_PER_REPLICA;
    let hot_reads =
        (HOT_READS_OF_ALL / f64::from(context.settings.balancers)).clamp(MIN_HOT_READS, MAX_HOT_READS);
    let wanted = if of_key >= hot_reads { 1 + extra as usize } else { 1 };
    assignment.slots().len().min(wanted)
}

/// Chooses the endpoint for a read: the first of the key's ranks that is usable and within its bounds.
pub(super) fn choose_endpoint(
    key: Key, assignment: &KeyAssignment, tried: &[Attempt], endpoints: &mut Endpoints, context: &mut Context,
) -> Option<Slot> {
    let now = context.now;
    let mut candidates = assignment.slots().to_vec();
    let replicas = replicas(assignment, &endpoints.reads, endpoints.table.ready(), context);
    candidates[..replicas].rotate_left(context.rng.usize(..replicas.max(1)));
    let was_tried = |slot: Slot| tried.iter().any(|attempt| attempt.slot == slot && !attempt.stale);
    candidates.retain(|&slot| endpoints.table.is_usable(slot, now) && !was_tried(slot));
    // Few attempts are left after the first: those endpoints go first that do not fail intermittently.
    let is_faulty = |slot: Slot| endpoints.table[slot].health.fault_share > FAULTY_SHARE;
    candidates.sort_by_key(|&slot| !tried.is_empty() && is_faulty(slot));
    for &slot in &candidates {
        if endpoints.is_within_bounds(slot, now) && endpoints.has_slow_start_permit(slot, context) {
            return Some(slot);
        }
    }
    // All are out of bounds: the one with the fewest in flight, ties going to the better rank.
    candidates.retain(|&slot| endpoints.has_slow_start_permit(slot, context));
    let least_loaded =
        candidates.into_iter().min_by(|&a, &b| endpoints.load(a).total_cmp(&endpoints.load(b)));
    if least_loaded.is_some() {
        return least_loaded;
    }
    let is_allowed = |slot: Slot, endpoint: &Endpoint| {
        endpoint.is_warm() && endpoints.table.is_usable(slot, now) && !was_tried(slot)
    };
    rank(key, &endpoints.table, &context.settings, is_allowed).home()
}
