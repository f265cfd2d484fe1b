//! What a member did and heard, in numbers that only grow.

/// Why a datagram was dropped unread, or a part of one passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// Longer than a datagram may be.
    TooLong,
    /// Not a datagram of this family.
    Garbled,
    /// From, or about, a number that is not on the roster.
    Unknown,
    /// From a life that a later one of the same number has replaced.
    OldLife,
    /// For another member, or for another life of ours.
    NotForUs,
    /// It bears our own number as its sender's.
    OurOwn,
}

/// What a member did and heard since it was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in them.
    pub sent_bytes: u64,
    /// Datagrams heard, dropped ones among them.
    pub heard: u64,
    /// Bytes in them.
    pub heard_bytes: u64,
    /// Dropped: longer than a datagram may be.
    pub too_long: u64,
    /// Dropped: not a datagram of this family.
    pub garbled: u64,
    /// Dropped: from a number that is not on the roster.
    pub unknown: u64,
    /// Passed over within datagrams: what was said of numbers that are not on the roster.
    pub unknown_told: u64,
    /// Dropped: from a life that a later one has replaced.
    pub stale_incarnation: u64,
    /// Dropped: for another member, or for another life of ours.
    pub not_for_us: u64,
    /// Dropped: with our own number as its sender's.
    pub our_own: u64,
    /// Members that did not answer this one's probe and were accused by it.
    pub suspicions: u64,
    /// Times this one found itself suspected and said that it lives.
    pub refutations: u64,
    /// Times this one found itself declared down and came back under a new life.
    pub renewals: u64,
    /// Timers that came so late that this one holds itself for slow.
    pub late_timers: u64,
    /// Stalls, told by the owner or seen from a timer.
    pub stalls: u64,
    /// Datagrams not sent since the owner left too many waiting.
    pub unsent: u64,
}

impl Counters {
    pub(crate) fn bad(&mut self, why: DatagramError) {
        *match why {
            DatagramError::TooLong => &mut self.too_long,
            DatagramError::Garbled => &mut self.garbled,
            DatagramError::Unknown => &mut self.unknown,
            DatagramError::OldLife => &mut self.stale_incarnation,
            DatagramError::NotForUs => &mut self.not_for_us,
            DatagramError::OurOwn => &mut self.our_own,
        } += 1;
    }
}
