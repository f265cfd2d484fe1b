//! Lease requests, lease grants in the log, and bounds on fleet time.

use crate::FleetMicros;
use serde::{Deserialize, Serialize};

/// A balancer's request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The requesting balancer: its index in the fleet file.
    pub number: u16,
    /// The balancer's incarnation.
    pub incarnation: u64,
    /// Number of the request within the incarnation.
    pub serial: u64,
}

/// A lease granted for one request. It takes effect when the log entry that contains it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The balancer that holds the lease.
    pub number: u16,
    /// The holder's incarnation. A restarted balancer does not inherit the lease.
    pub incarnation: u64,
    /// Number of the granted request.
    pub serial: u64,
}

/// Bounds on a point of fleet time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TimeInterval {
    /// Lower bound, inclusive.
    pub earliest: FleetMicros,
    /// Upper bound, inclusive.
    pub latest: FleetMicros,
}
