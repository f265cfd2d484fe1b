//! The book: the state that results from the log, which is the same on every balancer.

mod allocation;
mod expiry;
mod placement;
mod reduction;
mod snapshot;

use crate::booking::{BookingId, BookingRequest, Tenant};
use crate::capacity::{Capacity, Freeze, FreezePolicy};
use crate::limits::{
    HORIZON_US, MAX_BOOKINGS, MAX_BOOKINGS_PER_TENANT, MAX_EVENTS, MAX_HOLDERS, MAX_OUTCOMES,
    MAX_OUTCOMES_PER_TENANT, NO_SHOW_US, SECOND,
};
use crate::outcome::{BookingEvent, Outcome, RejectReason};
use crate::proposal::Proposal;
use crate::rate::{PerKind, Rate};
use crate::rate_timeline::RateTimeline;
use crate::slice::UnconfirmedSlice;
use crate::span::{Micros, Revision, Span};
use crate::state::{Booking, RecordedOutcome, State, Window};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long an outcome stays recorded after the end of the last window, in microseconds. The windows of a later
/// duplicate have all ended, so it gets no outcome.
const OUTCOME_RETENTION_US: Micros = 86_400 * SECOND;

/// A planned change, which can be checked before it is proposed.
#[derive(Clone, Debug)]
pub enum PlannedChange {
    /// An additional freeze.
    Freeze(Freeze),
    /// A capacity that takes effect at a later time, such as after the planned removal of a node.
    Capacity(Capacity),
}

/// Bookings, capacity, freezes and slices at a revision of the log.
#[derive(Clone, Debug, Default)]
pub struct ReservationBook {
    pub(crate) state: State,
    /// The sum of all granted rates, before reductions, so that a new booking never gets capacity that a reduced
    /// booking waits for.
    granted: RateTimeline,
    /// Slices whose holder may still use the previous parts.
    pub(crate) unconfirmed: BTreeSet<UnconfirmedSlice>,
    events: VecDeque<BookingEvent>,
}

impl ReservationBook {
    /// Applies an entry of the log with its timestamp. Entries must be applied in order, one proposal each. A booking
    /// request of a revision that is already applied gets its recorded outcome.
    pub fn apply(&mut self, revision: Revision, timestamp: Micros, proposal: &Proposal) -> Outcome {
        if revision <= self.state.revision {
            return match proposal {
                Proposal::Book(request) => self.outcome(request.id).cloned().unwrap_or(Outcome::NotRecorded),
                _ => Outcome::NotRecorded,
            };
        }
        self.state.revision = revision;
        self.state.time = self.state.time.max(timestamp);
        self.discard_past();
        if !proposal.is_valid() {
            return Outcome::Invalid;
        }
        match proposal {
            Proposal::Book(request) => self.apply_booking(request),
            Proposal::Cancel(id) => self.release(*id, |_| true),
            Proposal::SetCapacity(capacity) => self.set_capacity(capacity),
            Proposal::SetFreezes(freezes) => {
                self.state.capacity.freezes.clone_from(freezes);
                Outcome::Accepted
            }
            Proposal::SetFleetSize(balancers) => {
                self.state.fleet_size = (*balancers).min(MAX_HOLDERS);
                Outcome::Accepted
            }
            Proposal::AllocateSlices(allocation) => self.allocate(allocation),
            Proposal::NoShow { booking, from } => self.release_unused(*booking, *from),
        }
    }

    fn set_capacity(&mut self, capacity: &Capacity) -> Outcome {
        if !self.state.capacity.insert(self.state.time, capacity) {
            return Outcome::Invalid;
        }
        self.update_reductions();
        Outcome::Accepted
    }

    /// Returns the recorded outcome of a booking request, or decides the request and records its outcome.
    fn apply_booking(&mut self, request: &BookingRequest) -> Outcome {
        if let Some(outcome) = self.outcome(request.id) {
            return outcome.clone();
        }
        let now = self.state.time;
        let horizon = now.saturating_add(HORIZON_US);
        if !request.is_valid() || request.windows.iter().any(|window| window.to > horizon) {
            return Outcome::Invalid;
        }
        let open = request.windows.iter().filter(|window| window.to > now);
        let windows: Vec<Span> =
            open.map(|window| Span { from: window.from.max(now), to: window.to }).collect();
        let Some(last) = windows.last().filter(|_| !self.is_full_for(request.tenant)) else {
            return Outcome::NotRecorded;
        };
        let outcome = self.decide_booking(request, &windows);
        let mut last_end = last.to;
        if let Outcome::Granted { windows, .. } = &outcome {
            last_end = windows.last().map_or(last_end, |last| last_end.max(last.to));
            self.insert_booking(request, windows);
        }
        self.record_outcome(request, &outcome, last_end);
        outcome
    }

    fn record_outcome(&mut self, request: &BookingRequest, outcome: &Outcome, last_end: Micros) {
        let until = last_end.saturating_add(OUTCOME_RETENTION_US);
        let recorded = RecordedOutcome { outcome: outcome.clone(), tenant: request.tenant, until };
        self.state.next_expiry = self.state.next_expiry.min(until);
        self.state.outcomes.insert(request.id, recorded);
    }

    /// Decides a booking request whose windows have not ended.
    fn decide_booking(&self, request: &BookingRequest, windows: &[Span]) -> Outcome {
        let overlaps = |freeze: &&Freeze| windows.iter().any(|window| window.overlaps(freeze.span));
        let first_with = |policy: FreezePolicy| {
            let mut freezes = self.state.capacity.freezes.iter().filter(overlaps);
            freezes.find(|freeze| freeze.policy == policy).map(|freeze| freeze.id)
        };
        if let Some(freeze) = first_with(FreezePolicy::Reject) {
            return self.reject(request, windows, RejectReason::Freeze(freeze), Rate::default());
        }
        if let Some(freeze) = first_with(FreezePolicy::Move) {
            return match self.find_shift(windows, request.rate) {
                Some(shift) => Outcome::Granted {
                    windows: windows.iter().map(|window| window.shifted(shift)).collect(),
                    moved_by: Some(freeze),
                },
                None => self.reject(request, windows, RejectReason::Freeze(freeze), Rate::default()),
            };
        }
        let largest = self.largest_rate(windows);
        if request.rate.fits(largest) {
            Outcome::Granted { windows: windows.to_vec(), moved_by: None }
        } else {
            self.reject(request, windows, RejectReason::Capacity, largest)
        }
    }

    fn reject(
        &self, request: &BookingRequest, windows: &[Span], reason: RejectReason, largest: Rate,
    ) -> Outcome {
        let next = self.find_shift(windows, request.rate).map(|shift| windows[0].shifted(shift));
        Outcome::Rejected { reason, largest, next }
    }

    fn insert_booking(&mut self, request: &BookingRequest, windows: &[Span]) {
        for window in windows {
            self.granted.add(*window, request.rate);
            self.state.next_expiry = self.state.next_expiry.min(window.to);
        }
        let booking = Booking {
            request: request.clone(),
            granted_at: self.state.revision,
            static_shares: self.state.fleet_size.max(1),
            windows: windows.iter().map(|&span| Window { span, used: false, released_at: None }).collect(),
            reductions: Vec::new(),
            slices: BTreeMap::new(),
            allocated: PerKind::uniform(0),
        };
        self.state.bookings.insert(request.id, booking);
    }

    /// Whether the book has reached a limit, overall or for `tenant`.
    fn is_full_for(&self, tenant: Tenant) -> bool {
        let State { bookings, outcomes, .. } = &self.state;
        let bookings_of_tenant = bookings.values().filter(|booking| booking.request.tenant == tenant).count();
        let outcomes_of_tenant = outcomes.values().filter(|recorded| recorded.tenant == tenant).count();
        bookings.len() >= MAX_BOOKINGS
            || outcomes.len() >= MAX_OUTCOMES
            || bookings_of_tenant >= MAX_BOOKINGS_PER_TENANT
            || outcomes_of_tenant >= MAX_OUTCOMES_PER_TENANT
    }

    /// Releases the selected windows of a booking.
    fn release(&mut self, id: BookingId, is_selected: impl Fn(&Window) -> bool) -> Outcome {
        let revision = self.state.revision;
        let Some(booking) = self.state.bookings.get_mut(&id) else { return Outcome::Invalid };
        let mut has_released = false;
        for window in &mut booking.windows {
            if window.released_at.is_none() && is_selected(window) {
                window.released_at = Some(revision);
                has_released = true;
            }
        }
        if !has_released {
            return Outcome::Invalid;
        }
        self.state.released.insert((revision, id));
        Outcome::Accepted
    }

    /// Releases the current window of a booking if it started at `from` and has not been used since.
    fn release_unused(&mut self, id: BookingId, from: Micros) -> Outcome {
        let now = self.state.time;
        let window = self.state.bookings.get(&id).and_then(|booking| booking.window_at(now));
        let is_no_show = window.is_some_and(|window| {
            window.span.from == from && !window.used && now >= from.saturating_add(NO_SHOW_US)
        });
        if is_no_show { self.release(id, |window| window.span.from == from) } else { Outcome::Invalid }
    }

    fn push_event(&mut self, event: BookingEvent) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the next event for the owner of a booking.
    pub fn poll_event(&mut self) -> Option<BookingEvent> {
        self.events.pop_front()
    }

    /// The recorded outcome of a booking request.
    pub fn outcome(&self, id: BookingId) -> Option<&Outcome> {
        self.state.outcomes.get(&id).map(|recorded| &recorded.outcome)
    }

    /// The rate of a booking at a time, after reductions; `None` outside of its windows.
    pub fn rate_at(&self, id: BookingId, time: Micros) -> Option<Rate> {
        self.state.bookings.get(&id)?.rate_at(time).map(|current| current.rate)
    }

    /// The sum of all granted rates at a time, before reductions.
    pub fn granted_at(&self, time: Micros) -> Rate {
        self.granted.rate_at(time)
    }

    /// The sum of the rates of all bookings at a time, after reductions.
    pub fn booked_at(&self, time: Micros) -> Rate {
        let rates = self.state.bookings.values().filter_map(|booking| booking.rate_at(time));
        rates.fold(Rate::default(), |sum, current| sum.zip_with(current.rate, u64::saturating_add))
    }

    /// The rate that is bookable at a time: the upper bound on the sum of all bookings.
    pub fn bookable_at(&self, time: Micros) -> Rate {
        self.state.capacity.bookable_at(time).rate
    }

    /// The bookings with windows that have not ended.
    pub fn bookings(&self) -> impl Iterator<Item = BookingId> + '_ {
        self.state.bookings.keys().copied()
    }

    /// The last applied revision.
    pub fn revision(&self) -> Revision {
        self.state.revision
    }
}
