//! Counters of a member's datagrams and suspicions.

/// The reason why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// The datagram is longer than [`MAX_DATAGRAM`](crate::MAX_DATAGRAM).
    TooLong,
    /// The datagram cannot be decoded.
    Malformed,
    /// The sender, or a member that the header names, is not on the roster.
    UnknownMember,
    /// The sender's incarnation has been replaced by a later one.
    StaleIncarnation,
    /// The datagram is for another member, or for another incarnation of this member.
    NotForUs,
    /// The sender has this member's own number.
    OwnNumber,
}

/// Counters since the member was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received, including dropped ones.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams dropped as [`DatagramError::TooLong`].
    pub too_long: u64,
    /// Datagrams dropped as [`DatagramError::Malformed`].
    pub malformed: u64,
    /// Datagrams dropped as [`DatagramError::UnknownMember`].
    pub unknown_member: u64,
    /// Updates that were ignored because their number is not on the roster.
    pub unknown_updates: u64,
    /// Datagrams dropped as [`DatagramError::StaleIncarnation`].
    pub stale_incarnation: u64,
    /// Datagrams dropped as [`DatagramError::NotForUs`].
    pub not_for_us: u64,
    /// Datagrams dropped as [`DatagramError::OwnNumber`].
    pub own_number: u64,
    /// Suspicions that this member raised.
    pub suspicions: u64,
    /// Suspicions of this member that it refuted.
    pub refutations: u64,
    /// Number of times that this member was declared down and continued under a new incarnation.
    pub renewals: u64,
    /// Probe timers that fired late enough to worsen this member's health score.
    pub late_timers: u64,
    /// Stalls of the process, reported by the owner or detected by a timer.
    pub stalls: u64,
    /// Datagrams not sent because too many actions were waiting for the owner.
    pub unsent: u64,
}

impl Counters {
    pub(crate) fn record_dropped(&mut self, error: DatagramError) {
        let counter = match error {
            DatagramError::TooLong => &mut self.too_long,
            DatagramError::Malformed => &mut self.malformed,
            DatagramError::UnknownMember => &mut self.unknown_member,
            DatagramError::StaleIncarnation => &mut self.stale_incarnation,
            DatagramError::NotForUs => &mut self.not_for_us,
            DatagramError::OwnNumber => &mut self.own_number,
        };
        *counter += 1;
    }
}
