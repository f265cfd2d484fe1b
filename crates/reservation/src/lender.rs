//! The leader's part: hears what holders want, and proposes who holds what; it takes before it gives.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::book::Booking;
use crate::{
    Ask, Book, BookingId, Cut, Holder, LEASE_US, LENDABLE, MAX_CUTS, MAX_HOLDERS, MAX_WANTS, Micros,
    NO_SHOW_US, PARTS, PATIENCE_US, Parts, Proposal, RATE_ERROR, Rate, Renewal, Revision, Slices, TURN_US,
    Two,
};

/// A slice is left as it is while it is this near to what it should be, against entries without an end: an eighth while there is
/// enough for all, and a sixty-fourth where one's surplus is what another lacks.
const CLOSE: u32 = 8;
const CLOSE_WHERE_SCARCE: u32 = 64;

#[derive(Clone, Debug)]
struct Known {
    ask: Ask,
    heard: Micros,
    fresh: bool,
}

/// Up to which revision all was applied by when.
#[derive(Clone, Copy, Debug)]
struct Applied {
    revision: Revision,
    since: Micros,
    by: Micros,
}

/// What a leader knows beside the book: it may forget all of it, and a new one begins without.
#[derive(Clone, Debug)]
pub struct Lender {
    me: Holder,
    count: u64,
    asks: BTreeMap<u16, Known>,
    gone: BTreeSet<Holder>,
    applied: VecDeque<Applied>,
    lapsed: Revision,
    next: Micros,
    pending: Option<Micros>,
}

impl Lender {
    /// Begins at `now` on its own clock, with a book that is at `revision`.
    pub fn new(me: Holder, now: Micros, revision: Revision) -> Self {
        let applied = VecDeque::from([Applied { revision, since: now, by: now }]);
        Self {
            me,
            count: 0,
            asks: BTreeMap::new(),
            gone: BTreeSet::new(),
            applied,
            lapsed: 0,
            next: now,
            pending: None,
        }
    }

    /// An ask has come in.
    pub fn hear(&mut self, now: Micros, mut ask: Ask) {
        if ask.holder.number >= MAX_HOLDERS {
            return;
        }
        ask.wants.truncate(MAX_WANTS);
        let older = |known: &Known| {
            known.ask.holder.incarnation == ask.holder.incarnation && known.ask.asked >= ask.asked
        };
        if !self.asks.get(&ask.holder.number).is_some_and(older) {
            self.asks.insert(ask.holder.number, Known { ask, heard: now, fresh: true });
        }
    }

    /// A balancer said that it takes no requests any more, and never will in this life.
    pub fn gone(&mut self, holder: Holder) {
        if holder.number < MAX_HOLDERS && self.gone.len() < usize::from(MAX_HOLDERS) {
            self.gone.insert(holder);
        }
    }

    /// The own book has applied all up to `book.revision()`. After each entry.
    pub fn applied(&mut self, now: Micros, book: &Book) {
        if book.state.turn == (self.me.incarnation, self.count) {
            self.pending = None;
        }
        let revision = book.revision();
        match self.applied.back_mut() {
            Some(last) if now < last.since.saturating_add(TURN_US) => {
                (last.revision, last.by) = (revision, now);
            }
            _ => self.applied.push_back(Applied { revision, since: now, by: now }),
        }
    }

    /// What to propose, when it is time; `time` is the stamp that it would get.
    pub fn poll(&mut self, now: Micros, time: Micros, book: &Book) -> Option<Proposal> {
        let waits = self.pending.is_some_and(|since| now < since.saturating_add(PATIENCE_US));
        if now < self.next || waits {
            return None;
        }
        self.next = now.saturating_add(TURN_US);
        while let Some(first) = self.applied.front()
            && first.by.saturating_add(LEASE_US + LEASE_US / RATE_ERROR + 1) <= now
        {
            self.lapsed = first.revision;
            self.applied.pop_front();
        }
        self.asks.retain(|_, known| now < known.heard.saturating_add(LEASE_US));
        if let Some(no_show) = no_show(time, book) {
            return Some(no_show);
        }
        let (cuts, shown) = self.cuts(time, book);
        let lapsed = if self.lapsed > book.state.lapsed { self.lapsed } else { 0 };
        let gone: Vec<_> =
            std::mem::take(&mut self.gone).into_iter().filter(|h| book.seat(*h).is_some()).collect();
        let renewals = self.renewals();
        if cuts.is_empty()
            && shown.is_empty()
            && renewals.is_empty()
            && gone.is_empty()
            && lapsed <= idle(book)
        {
            return None;
        }
        self.count += 1;
        self.pending = Some(now);
        Some(Proposal::Slices(Slices {
            turn: (self.me.incarnation, self.count),
            lapsed,
            gone,
            renewals,
            cuts,
            shown,
        }))
    }

    fn renewals(&mut self) -> Vec<Renewal> {
        let fresh =
            self.asks.values_mut().filter_map(|known| std::mem::take(&mut known.fresh).then_some(&known.ask));
        fresh.map(|ask| Renewal { holder: ask.holder, asked: ask.asked, applied: ask.applied }).collect()
    }

    fn cuts(&self, time: Micros, book: &Book) -> (Vec<Cut>, Vec<BookingId>) {
        let mut wants: BTreeMap<BookingId, Vec<(Holder, Rate)>> = BTreeMap::new();
        for known in self.asks.values().filter(|known| book.seat(known.ask.holder).is_some()) {
            for want in &known.ask.wants {
                wants.entry(want.booking).or_default().push((known.ask.holder, want.rate));
            }
        }
        let (mut cuts, mut shown) = (Vec::new(), Vec::new());
        for (id, booking) in &book.state.bookings {
            let wanted = wants.get(id).map_or(&[][..], Vec::as_slice);
            if wanted.is_empty() && booking.slices.is_empty() {
                continue;
            }
            let window = booking.windows.iter().find(|window| window.span.holds(time));
            if !wanted.is_empty() && window.is_some_and(|window| !window.shown && window.over.is_none()) {
                shown.push(*id);
            }
            self.cuts_of(time, book, booking, wanted, &mut cuts);
        }
        cuts.truncate(MAX_CUTS);
        (cuts, shown)
    }

    fn cuts_of(
        &self, time: Micros, book: &Book, booking: &Booking, wanted: &[(Holder, Rate)], cuts: &mut Vec<Cut>,
    ) {
        let targets = targets(time, booking, wanted);
        let free = booking.lent.with(booking.lent, |lent, _| LENDABLE.saturating_sub(lent));
        let mut need = Two::both(0_u64);
        let mut changes = Vec::new();
        for number in targets.keys().chain(booking.slices.keys()).copied().collect::<BTreeSet<_>>() {
            let Some(seat) = book.state.seats.get(&number) else { continue };
            let holder = Holder { number, incarnation: seat.incarnation };
            let target = match self.asks.get(&number) {
                Some(known) if known.ask.holder == holder => {
                    targets.get(&number).copied().unwrap_or_default()
                }
                _ => Two::both(0),
            };
            let slice = booking.slices.get(&number).copied().unwrap_or_default();
            let grows = target.with(slice.counted(), u32::saturating_sub);
            need = need.with(grows, |sum, grow| sum + u64::from(grow));
            changes.push((holder, slice, target, grows));
        }
        let scarce = need.reads > u64::from(free.reads) || need.fetches > u64::from(free.fetches);
        let close = if scarce { CLOSE_WHERE_SCARCE } else { CLOSE };
        for (holder, slice, target, grows) in changes {
            let given =
                grows.with(need.with(free, |need, free| (need, free)), |grow, (need, free)| match need {
                    0 => 0,
                    need => (u64::from(grow) * u64::from(free).min(need) / need) as u32,
                });
            let parts = target.with(slice.counted().with(given, |have, more| have + more), u32::min);
            if differs(slice.now.reads, parts.reads, close)
                || differs(slice.now.fetches, parts.fetches, close)
            {
                cuts.push(Cut { booking: booking.request.id, holder, parts });
            }
        }
    }
}

fn differs(now: u32, then: u32, close: u32) -> bool {
    now != then && (then == 0 || now.abs_diff(then) > now / close)
}

/// The revision up to which a lapse would change nothing in the book: no entry is made for it alone.
fn idle(book: &Book) -> Revision {
    let seats = book.state.seats.values().map(|seat| seat.lease);
    let unsettled = book.unsettled.iter().map(|(_, changed, _)| *changed);
    let ending = book.state.ending.iter().map(|(revision, _)| *revision);
    seats.chain(unsettled).chain(ending).min().map_or(Revision::MAX, |first| first.saturating_sub(1))
}

/// What each should hold: what it wants and a quarter on top, or its part of all where that is too much.
fn targets(time: Micros, booking: &Booking, wanted: &[(Holder, Rate)]) -> BTreeMap<u16, Parts> {
    let Some((rate, _)) = booking.rate_at(time) else { return BTreeMap::new() };
    let wants: Vec<(u16, Two<u64>)> =
        wanted.iter().map(|(holder, want)| (holder.number, want.with(rate, parts_of))).collect();
    let sum = wants.iter().fold(Two::both(0), |sum, (_, want)| sum.with(*want, u64::saturating_add));
    let scaled = |want: u64, sum: u64| match sum > u64::from(LENDABLE) {
        true => (want * u64::from(LENDABLE) / sum) as u32,
        false => want as u32,
    };
    wants.into_iter().map(|(number, want)| (number, want.with(sum, scaled))).collect()
}

fn parts_of(want: u64, rate: u64) -> u64 {
    if rate == 0 {
        return 0;
    }
    let parts = u128::from(want) * u128::from(PARTS) * 5 / 4 / u128::from(rate);
    parts.min(u128::from(LENDABLE)) as u64
}

fn no_show(time: Micros, book: &Book) -> Option<Proposal> {
    book.state.bookings.iter().find_map(|(id, booking)| {
        let window = booking.windows.iter().find(|window| window.span.holds(time))?;
        let is =
            !window.shown && window.over.is_none() && time >= window.span.from.saturating_add(NO_SHOW_US);
        is.then_some(Proposal::NoShow { booking: *id, from: window.span.from })
    })
}
