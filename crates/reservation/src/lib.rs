//! Booked capacity that a fleet of balancers agrees on, and the slices of it that each balancer holds.
//!
//! [`ReservationBook`] is the state that every balancer builds from the replicated log: bookings, capacity,
//! freezes and slices. The same entries give the same outcomes everywhere, and a booking gets one outcome.
//! [`SliceAllocator`] runs on the leader: it collects the demand of all balancers and proposes the slices of
//! each. [`Admission`] runs on each balancer: it has a token bucket for each of its slices, and requests
//! slices from the leader.
//!
//! A slice is a *part* of a booking, not a rate. The parts of all holders never sum up to more than the
//! booking, so neither do the rates. A part is valid for its holder until its own lease ends, counted from
//! its request. In the book it stays reserved until the holder has confirmed that it applied a smaller part,
//! or until a lease has passed since the leader applied the smaller part. Neither condition reads the clock of
//! another machine.
//!
//! The crate does no I/O, reads no clock and draws no randomness. Its owner provides the log, the datagrams
//! that carry a [`SliceRequest`] to the leader, the calendar (windows and freezes are already expanded) and the
//! meaning of a [`Priority`].
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

mod admission;
mod allocator;
mod book;
mod booking;
mod capacity;
mod capacity_schedule;
mod limits;
mod outcome;
mod proposal;
mod rate;
mod rate_timeline;
mod slice;
mod slice_request;
mod span;
mod state;
mod state_validation;
mod token_bucket;

pub use admission::{Admission, AdmissionDecision, Priority, TimeInterval};
pub use allocator::SliceAllocator;
pub use book::{PlannedChange, ReservationBook};
pub use booking::{BookingId, BookingRequest, RequestClasses, Tenant};
pub use capacity::{Capacity, Freeze, FreezePolicy};
pub use limits::{
    ALLOCATION_INTERVAL_US, BURST_US, DYNAMIC_PARTS, HORIZON_US, LEASE_US, MAX_BOOKINGS,
    MAX_BOOKINGS_PER_TENANT, MAX_CAPACITIES, MAX_CHANGES, MAX_DEMANDS, MAX_EVENTS, MAX_FREEZES, MAX_HOLDERS,
    MAX_OUTCOMES, MAX_OUTCOMES_PER_TENANT, MAX_RATE, MAX_SEARCH_STEPS, MAX_SNAPSHOT_BYTES, MAX_WINDOW_US,
    MAX_WINDOWS, MEASURE_US, NO_SHOW_US, PROPOSAL_TIMEOUT_US, RATE_ERROR, REQUEST_INTERVAL_US, STATIC_PARTS,
    TOTAL_PARTS, URGENT_REQUEST_INTERVAL_US,
};
pub use outcome::{BookingEvent, Outcome, RejectReason};
pub use proposal::Proposal;
pub use rate::{Parts, PerKind, Rate, RequestKind};
pub use slice::{AllocationId, Holder, LeaseRenewal, SliceAllocation, SliceChange};
pub use slice_request::{Demand, SliceRequest};
pub use span::{Micros, Revision, Span};
pub use state_validation::RestoreError;
