//! The assignment of keys to endpoints, and the choice of the endpoint that serves a read.

use super::context::Context;
use super::endpoints::{Endpoints, ReadTraffic};
use super::windows::READS_WINDOW_US;
use crate::api::{Key, Settings};
use crate::endpoint::Endpoint;
use crate::endpoint_table::{EndpointTable, Slot};
use crate::in_flight::Attempt;
use crate::key_table::{KeyAssignment, KeyTable, MAX_RANKS};
use std::mem;

const READS_PER_REPLICA: f64 = 0.6; // of an average endpoint's reads, per endpoint that a key is spread over
const TOTAL_HOT_READS: f64 = 36.0; // reads at all balancers together that make a key hot
const MIN_HOT_READS: f64 = 2.0; // lowest number of reads at one balancer that makes a key hot
const MAX_HOT_READS: f64 = 6.0; // number of reads at one balancer that always makes a key hot
const FAULTY_SHARE: f64 = 0.2; // smoothed fault share from which retries avoid an endpoint
const MIN_CROSS_ZONE_PRICE: f64 = 0.05; // from this price on, endpoints of the balancer's own zone rank first
const REMOTE_PENALTY: f64 = 1_000.0; // factor by which endpoints of other zones then rank worse

/// Assigns keys to endpoints by weighted rendezvous hashing, on which balancers agree without communication.
#[derive(Debug, Default)]
pub(super) struct KeyPlacement {
    table: KeyTable,
}

impl KeyPlacement {
    /// Returns the endpoints assigned to a key, and ranks them again if the weights have changed.
    pub(super) fn assignment(
        &mut self, key: Key, endpoints: &EndpointTable, settings: &Settings,
    ) -> KeyAssignment {
        let assignment = self.remove_current(key, endpoints, settings);
        self.table.insert(key, assignment);
        assignment
    }

    /// Counts a read of a key that has just arrived, and returns the endpoints assigned to the key.
    pub(super) fn assignment_for_read(
        &mut self, key: Key, endpoints: &EndpointTable, context: &Context,
    ) -> KeyAssignment {
        let mut assignment = self.remove_current(key, endpoints, &context.settings);
        assignment.reads.increment(context.now, READS_WINDOW_US);
        self.table.insert(key, assignment);
        assignment
    }

    /// Removes the assignment of a key from the table and returns it, ranked again if it is out of date.
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

/// Ranks the ready cache endpoints that `is_allowed` accepts for a key, best first.
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
        // -ln(u) is never below 1 - u, so in a large fleet most endpoints are skipped without a logarithm.
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

/// Hashes a key and an endpoint to a number that is uniformly distributed from 0 to 1.
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

/// Returns the number of endpoints that the reads of a key are spread over: more than one for a hot key.
fn replica_count(assignment: &KeyAssignment, reads: &ReadTraffic, ready: u32, context: &Context) -> usize {
    let key_reads = assignment.reads.value(context.now, READS_WINDOW_US);
    let extra = key_reads / reads.recent(context.now) * f64::from(ready) / READS_PER_REPLICA;
    let hot_reads =
        (TOTAL_HOT_READS / f64::from(context.settings.balancers)).clamp(MIN_HOT_READS, MAX_HOT_READS);
    let wanted = if key_reads >= hot_reads { 1 + extra as usize } else { 1 };
    assignment.slots().len().min(wanted)
}

/// Chooses the endpoint for a read: the best-ranked usable one within its bounds, or else the least loaded.
pub(super) fn choose_endpoint(
    key: Key, assignment: &KeyAssignment, tried: &[Attempt], endpoints: &mut Endpoints, context: &mut Context,
) -> Option<Slot> {
    let now = context.now;
    let mut candidates = assignment.slots().to_vec();
    let replicas = replica_count(assignment, &endpoints.reads, endpoints.table.ready(), context);
    candidates[..replicas].rotate_left(context.rng.usize(..replicas.max(1)));
    let was_tried = |slot: Slot| tried.iter().any(|attempt| attempt.slot == slot && !attempt.stale);
    candidates.retain(|&slot| endpoints.table.is_usable(slot, now) && !was_tried(slot));
    // A retry has few attempts left, so it tries endpoints that fail intermittently last.
    let is_faulty = |slot: Slot| endpoints.table[slot].health.fault_share > FAULTY_SHARE;
    candidates.sort_by_key(|&slot| !tried.is_empty() && is_faulty(slot));
    for &slot in &candidates {
        if endpoints.is_within_bounds(slot, now) && endpoints.has_slow_start_permit(slot, context) {
            return Some(slot);
        }
    }
    // All are out of bounds: choose the endpoint with the lowest load, on a tie the one that ranks better.
    candidates.retain(|&slot| endpoints.has_slow_start_permit(slot, context));
    let least_loaded =
        candidates.into_iter().min_by(|&a, &b| endpoints.load(a).total_cmp(&endpoints.load(b)));
    if least_loaded.is_some() {
        return least_loaded;
    }
    // No endpoint of the key can take the read: choose the best-ranked one of all warm endpoints.
    let is_allowed = |slot: Slot, endpoint: &Endpoint| {
        endpoint.is_warm() && endpoints.table.is_usable(slot, now) && !was_tried(slot)
    };
    rank(key, &endpoints.table, &context.settings, is_allowed).home()
}
