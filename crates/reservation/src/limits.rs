//! Limits on sizes, counts and times, and the intervals of the protocol.

use crate::span::Micros;

pub(crate) const SECOND: Micros = 1_000_000;
const DAY: Micros = 86_400 * SECOND;

/// Number of parts of a booking. With this many, a three-hundredth of [`STATIC_PARTS`] is accurate to 2%.
pub const TOTAL_PARTS: u32 = 1 << 20;
/// Number of parts that are divided among all balancers in advance, so that the first requests find tokens at any
/// balancer. They are only a sixty-fourth, because most of them are unused if few balancers have all the traffic.
pub const STATIC_PARTS: u32 = TOTAL_PARTS / 64;
/// Number of parts that are allocated by demand.
pub const DYNAMIC_PARTS: u32 = TOTAL_PARTS - STATIC_PARTS;
/// Duration of the lease on a holder's slices, in microseconds. The slices of a crashed holder are free after it.
pub const LEASE_US: Micros = 2 * SECOND;
/// The rates of two monotonic clocks differ by at most one part in `RATE_ERROR`.
pub const RATE_ERROR: u64 = 1_000;
/// Interval between a holder's requests, in microseconds. Four requests are sent within a lease.
pub const REQUEST_INTERVAL_US: Micros = 500_000;
/// Interval between a holder's requests while its demand or slices change, in microseconds.
pub const URGENT_REQUEST_INTERVAL_US: Micros = 100_000;
/// Interval between the leader's allocations, in microseconds, which limits them to ten entries a second.
pub const ALLOCATION_INTERVAL_US: Micros = 100_000;
/// How long the leader waits for its own entry before it proposes again, in microseconds. Without this limit, a lost
/// entry would stop the allocation.
pub const PROPOSAL_TIMEOUT_US: Micros = 500_000;
/// Capacity of a token bucket, in microseconds of its rate. It holds at least one request.
pub const BURST_US: Micros = 250_000;
/// Interval over which use and demand are measured, in microseconds. Unused rate is available to all traffic within
/// two intervals.
pub const MEASURE_US: Micros = 250_000;
/// Time without use after which a window is released, in microseconds.
pub const NO_SHOW_US: Micros = 600 * SECOND;
/// Maximum rate, in thousandths of a request a second. Ten million requests a second are more than any fleet serves.
pub const MAX_RATE: u64 = 10_000_000_000;
/// Maximum number of bookings with windows that have not ended.
pub const MAX_BOOKINGS: usize = 4_096;
/// Maximum number of bookings of one tenant, so that no tenant fills the book and a lookup stays short.
pub const MAX_BOOKINGS_PER_TENANT: usize = 64;
/// Maximum number of recorded outcomes, including those of rejected bookings.
pub const MAX_OUTCOMES: usize = 16_384;
/// Maximum number of recorded outcomes of one tenant.
pub const MAX_OUTCOMES_PER_TENANT: usize = 512;
/// Maximum number of windows of a booking: one a week for more than a year.
pub const MAX_WINDOWS: usize = 64;
/// Maximum total length of the windows of a booking, in microseconds. It bounds the cost of a lookup.
pub const MAX_WINDOW_US: Micros = 31 * DAY;
/// How far ahead of fleet time windows may end, in microseconds.
pub const HORIZON_US: Micros = 400 * DAY;
/// Maximum number of steps in a search for the next possible window, to bound its cost.
pub const MAX_SEARCH_STEPS: usize = 65_536;
/// Maximum number of capacities in force or in the future.
pub const MAX_CAPACITIES: usize = 64;
/// Maximum number of freezes.
pub const MAX_FREEZES: usize = 256;
/// Maximum number of balancers.
pub const MAX_HOLDERS: u16 = 1_024;
/// Maximum number of slice changes in one entry. Further changes go into the next entry.
pub const MAX_CHANGES: usize = 4_096;
/// Maximum number of demands in one slice request. The largest demands are sent.
pub const MAX_DEMANDS: usize = 64;
/// Maximum number of events kept until they are polled. Above it the oldest are dropped.
pub const MAX_EVENTS: usize = 16_384;
/// Maximum size of a snapshot, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
