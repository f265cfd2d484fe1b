//! The entries of the replicated log.

use audit::lease::LeaseGrant;
use calendar::Proposal;
use serde::{Deserialize, Serialize};

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The leases that the leader granted within half a second.
    Leases(Vec<LeaseGrant>),
    /// A change of the calendar.
    Calendar(Box<Proposal>),
}
