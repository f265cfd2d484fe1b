//! What is set up for everything that faces a network: names, and limits and times of connections.

use std::time::Duration;

/// Names, each at the place that is its number in the module.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
}

/// Limits and times of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Client connections held at a time.
    pub clients: usize,
    /// Connections to peers and the origin held at a time, idle ones included.
    pub peers: usize,
    /// Bytes of values held at a time: of requests, and of large answers that must be whole before they are passed on.
    pub held_bytes: usize,
    /// Requests taken at a time whose answers have not been written.
    pub open: usize,
    /// Bytes that the answers to these may come to, at the size that answers have had of late.
    pub answer_bytes: usize,
    /// How long a dial may take.
    pub dial: Duration,
    /// How long a connection to a peer is kept idle.
    pub idle: Duration,
    /// The longest time that any client waits.
    pub longest: Duration,
    /// The shortest time that a class of requests gives.
    pub shortest: Duration,
}
