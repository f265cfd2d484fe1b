//! Time spans, and the units of time and of the log.

use serde::{Deserialize, Serialize};

/// Microseconds: a duration, or a point in fleet time (Unix time) or on a balancer's own clock. Each use documents
/// which.
pub type Micros = u64;
/// An index of the replicated log.
pub type Revision = u64;

/// A half-open interval of fleet time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span {
    /// The start, inclusive.
    pub from: Micros,
    /// The end, exclusive.
    pub to: Micros,
}

impl Span {
    /// Whether `time` lies in the span.
    pub fn contains(self, time: Micros) -> bool {
        self.from <= time && time < self.to
    }

    /// Whether the spans have at least a microsecond in common.
    pub fn overlaps(self, other: Span) -> bool {
        self.from < other.to && other.from < self.to
    }

    /// Returns the span shifted to a later time by `shift`.
    pub fn shifted(self, shift: Micros) -> Span {
        Span { from: self.from.saturating_add(shift), to: self.to.saturating_add(shift) }
    }
}
