//! The values that are agreed: rates, spans, bookings, capacity, freezes, proposals and their answers.

use serde::{Deserialize, Serialize};

use crate::{MAX_FREEZES, MAX_RATE, MAX_WINDOW_US, MAX_WINDOWS, Micros, PARTS, Revision};

/// What a request uses: a read at the cache hosts or a fetch at the archive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A read over the cache hosts.
    Read,
    /// A fetch at the archive.
    Fetch,
}

/// One value for reads and one for fetches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Two<T> {
    /// For reads.
    pub reads: T,
    /// For fetches.
    pub fetches: T,
}

/// Thousandths of a request a second.
pub type Rate = Two<u64>;
/// Parts of a booking, of [`PARTS`].
pub type Parts = Two<u32>;

impl<T: Copy> Two<T> {
    /// The same for both.
    pub fn both(value: T) -> Self {
        Self { reads: value, fetches: value }
    }

    /// The one of `kind`.
    pub fn of(self, kind: Kind) -> T {
        match kind {
            Kind::Read => self.reads,
            Kind::Fetch => self.fetches,
        }
    }

    /// Both with `other`'s, through `join`.
    pub fn with<U: Copy, V>(self, other: Two<U>, join: impl Fn(T, U) -> V) -> Two<V> {
        Two { reads: join(self.reads, other.reads), fetches: join(self.fetches, other.fetches) }
    }
}

impl Rate {
    /// Whether neither is above that of `most`.
    pub fn fits(self, most: Rate) -> bool {
        self.reads <= most.reads && self.fetches <= most.fetches
    }

    /// `parts` of it, rounded down: sums of parts never exceed the whole.
    pub fn part(self, parts: Parts) -> Rate {
        self.with(parts, |rate, parts| rate.min(MAX_RATE) * u64::from(parts) / u64::from(PARTS))
    }

    pub(crate) fn bounded(self) -> bool {
        self.fits(Two::both(MAX_RATE))
    }
}

impl Parts {
    pub(crate) fn is_none(self) -> bool {
        self == Parts::default()
    }
}

/// From a point in fleet time up to, and without, another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span {
    /// Its first microsecond.
    pub from: Micros,
    /// The first microsecond behind it.
    pub to: Micros,
}

impl Span {
    /// Whether `time` lies in it.
    pub fn holds(self, time: Micros) -> bool {
        self.from <= time && time < self.to
    }

    /// Whether it has a microsecond in common with `other`.
    pub fn crosses(self, other: Span) -> bool {
        self.from < other.to && other.from < self.to
    }

    /// The same span, later by `shift`.
    pub fn later(self, shift: Micros) -> Span {
        Span { from: self.from.saturating_add(shift), to: self.to.saturating_add(shift) }
    }
}

/// A booking's name, given by the team that asks and never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BookingId(pub u64);

/// A municipio.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tenant(pub u32);

/// Classes of requests, a bit each; class 32 and above is in none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Classes(pub u32);

impl Classes {
    /// Whether `class` is among them.
    pub fn hold(self, class: u8) -> bool {
        class < 32 && self.0 >> class & 1 == 1
    }
}

/// A balancer's number and its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Its place in the fleet file.
    pub number: u16,
    /// Drawn at its start.
    pub incarnation: u64,
}

/// What a team asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its name.
    pub id: BookingId,
    /// For whom.
    pub tenant: Tenant,
    /// For which requests.
    pub classes: Classes,
    /// How much, in each window.
    pub rate: Rate,
    /// When: in order and apart, expanded by the caller.
    pub windows: Vec<Span>,
}

impl Request {
    pub(crate) fn well_formed(&self) -> bool {
        let windows = &self.windows;
        !windows.is_empty()
            && windows.len() <= MAX_WINDOWS
            && windows.iter().all(|window| window.from < window.to)
            && windows.windows(2).all(|pair| pair[0].to <= pair[1].from)
            && windows
                .iter()
                .try_fold(0_u64, |sum, w| sum.checked_add(w.to - w.from))
                .is_some_and(|s| s <= MAX_WINDOW_US)
            && self.classes.0 != 0
            && self.rate != Rate::default()
            && self.rate.bounded()
    }
}

/// What the fleet can do from a time on, up to the next such entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Since when; one that is past counts from its agreement.
    pub from: Micros,
    /// All of it, as stated or learned.
    pub whole: Rate,
    /// Everyday traffic by hour of the week, 168 or none. Hour 0 is that of the Unix epoch, Thursday 0:00 UTC; the owner turns its
    /// own week to it.
    pub everyday: Vec<Rate>,
}

impl Capacity {
    pub(crate) fn well_formed(&self) -> bool {
        self.whole.bounded() && (self.everyday.is_empty() || self.everyday.len() == 168)
    }
}

/// What a freeze does to a booking that crosses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Terms {
    /// Nothing.
    Grant,
    /// It is refused.
    Refuse,
    /// Its windows are moved together to the next time at which they cross nothing and fit.
    Move,
}

/// A frozen span.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frozen {
    /// The owner's name for the freeze.
    pub freeze: u32,
    /// When.
    pub span: Span,
    /// What it does to bookings.
    pub terms: Terms,
}

/// One holder's lease in an entry of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Whose.
    pub holder: Holder,
    /// When it asked, on its own clock.
    pub asked: Micros,
    /// What it had applied when it asked.
    pub applied: Revision,
}

/// New parts of a booking for a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// Of which booking.
    pub booking: BookingId,
    /// For whom.
    pub holder: Holder,
    /// How many, beside the standing ones.
    pub parts: Parts,
}

/// What the leader lends, in one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slices {
    /// Who proposed, and its count: by this it knows its own entry again.
    pub turn: (u64, u64),
    /// All up to this revision was applied by the leader a lease and the error of rates ago.
    pub lapsed: Revision,
    /// Holders that said they have ended.
    pub gone: Vec<Holder>,
    /// Leases.
    pub renewals: Vec<Renewal>,
    /// Slices that change; each is taken only if the booking's sum allows it.
    pub cuts: Vec<Cut>,
    /// Bookings of which use was seen in the window that runs.
    pub shown: Vec<BookingId>,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// A team asks.
    Book(Request),
    /// A team gives up what is left of a booking.
    Cancel(BookingId),
    /// Capacity is other than it was.
    Capacity(Capacity),
    /// All frozen spans there are.
    Freezes(Vec<Frozen>),
    /// The size of the fleet: standing slices of later bookings are for numbers under it.
    Fleet(u16),
    /// The leader lends.
    Slices(Slices),
    /// Nobody has used the booking in the window that runs and began at `from`.
    NoShow {
        /// Which.
        booking: BookingId,
        /// Its window's beginning.
        from: Micros,
    },
}

impl Proposal {
    pub(crate) fn well_formed(&self) -> bool {
        match self {
            Proposal::Capacity(capacity) => capacity.well_formed(),
            Proposal::Freezes(all) => all.len() <= MAX_FREEZES && all.iter().all(|f| f.span.from < f.span.to),
            _ => true,
        }
    }
}

/// Why a booking was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// It does not fit.
    Capacity,
    /// This freeze refuses it, or found nowhere to move it to.
    Freeze(u32),
}

/// The answer to a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Booked, in these windows.
    Granted {
        /// As granted: parts that are past are cut off.
        windows: Vec<Span>,
        /// The freeze by whose terms they were moved.
        moved: Option<u32>,
    },
    /// Not booked.
    Refused {
        /// Why.
        why: Why,
        /// The largest rate that would fit in the windows asked for.
        largest: Rate,
        /// The first window of the nearest later place where all of them fit, if one was found within the bounds.
        next: Option<Span>,
    },
    /// No answer was given, and none is kept: the book is full (for this tenant), all windows are over, or the revision was applied.
    Unheard,
    /// Taken.
    Done,
    /// Not taken: malformed, unknown, or not so (a no-show that showed).
    NotTaken,
    /// Slices taken, and how many cuts were not, since the sum would have been above the booking.
    Sliced {
        /// Cuts left out.
        left_out: u32,
    },
}

/// What an owner of a booking is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// Less than was granted.
    Shrunk {
        /// Which.
        booking: BookingId,
        /// To how much.
        to: Rate,
        /// From when, in fleet time.
        from: Micros,
        /// Until when, in fleet time.
        until: Micros,
    },
    /// All that was granted again, up to `until`.
    Grown {
        /// Which.
        booking: BookingId,
        /// Up to when it had been less.
        until: Micros,
    },
}
