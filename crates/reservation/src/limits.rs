//! Sizes, counts and times that bound what the crate does.

use crate::span::Micros;

pub(crate) const SECOND: Micros = 1_000_000;
const DAY: Micros = 86_400 * SECOND;

/// Parts of a booking. Fine enough that a three-hundredth of [`STATIC_PARTS`] is accurate to 2%.
pub const TOTAL_PARTS: u32 = 1 << 20;
/// Parts that are divided among all balancers in advance, so that the first requests find tokens anywhere.
/// Only a sixty-fourth, because few balancers with all the traffic cannot use most of them.
pub const STATIC_PARTS: u32 = TOTAL_PARTS / 64;
/// Parts that are allocated by demand.
pub const DYNAMIC_PARTS: u32 = TOTAL_PARTS - STATIC_PARTS;
/// Lease of a holder's slices, in microseconds: a crash frees them this much later.
pub const LEASE_US: Micros = 2 * SECOND;
/// The rates of two monotonic clocks differ by at most one in this many.
pub const RATE_ERROR: u64 = 1_000;
/// Interval of a holder's requests, in microseconds: four within a lease.
pub const REQUEST_INTERVAL_US: Micros = 500_000;
/// Interval of a holder's requests while demand changes, in microseconds.
pub const URGENT_REQUEST_INTERVAL_US: Micros = 100_000;
/// Interval of the leader's allocations, in microseconds: at most ten entries a second.
pub const ALLOCATION_INTERVAL_US: Micros = 100_000;
/// How long the leader waits for its own entry before it proposes again, in microseconds. A lost entry must
/// not end the allocation.
pub const PROPOSAL_TIMEOUT_US: Micros = 500_000;
/// Capacity of a token bucket, in microseconds of its rate (and one request at least).
pub const BURST_US: Micros = 250_000;
/// Interval over which use and demand are measured, in microseconds. Unused rate is available to all traffic
/// within two of them.
pub const MEASURE_US: Micros = 250_000;
/// Time without use after which a window is released, in microseconds.
pub const NO_SHOW_US: Micros = 600 * SECOND;
/// Highest rate, in thousandths of a request a second: ten million a second exceed every fleet.
pub const MAX_RATE: u64 = 10_000_000_000;
/// Bookings with future windows.
pub const MAX_BOOKINGS: usize = 4_096;
/// Bookings of one tenant: one tenant cannot fill the book, and a lookup stays short.
pub const MAX_BOOKINGS_PER_TENANT: usize = 64;
/// Recorded outcomes, also of rejected bookings.
pub const MAX_OUTCOMES: usize = 16_384;
/// Recorded outcomes of one tenant.
pub const MAX_OUTCOMES_PER_TENANT: usize = 512;
/// Windows of a booking: one a week for more than a year.
pub const MAX_WINDOWS: usize = 64;
/// All windows of a booking together, in microseconds: 31 days, to bound the cost of a lookup.
pub const MAX_WINDOW_US: Micros = 31 * DAY;
/// How far ahead of fleet time windows may lie, in microseconds: 400 days.
pub const HORIZON_US: Micros = 400 * DAY;
/// Steps of one search for the next possible window, to bound its cost.
pub const MAX_SEARCH_STEPS: usize = 65_536;
/// Capacity entries in force or in the future.
pub const MAX_CAPACITIES: usize = 64;
/// Freezes.
pub const MAX_FREEZES: usize = 256;
/// Balancers.
pub const MAX_HOLDERS: u16 = 1_024;
/// Slice changes in one entry; the next one has the rest.
pub const MAX_CHANGES: usize = 4_096;
/// Demands in one slice request; the largest are sent.
pub const MAX_DEMANDS: usize = 64;
/// Events retained until they are polled; beyond them the oldest are dropped.
pub const MAX_EVENTS: usize = 16_384;
/// Bytes of a snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
