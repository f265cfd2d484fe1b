//! Configuration of everything that faces a network: names, and limits and timeouts of connections.

use std::time::Duration;

/// Names, each at the index that is its number in the decision module.
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

/// Limits and timeouts of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// How many client connections may be open.
    pub clients: usize,
    /// How many connections to cache nodes and the origin may be open, idle ones included.
    pub peers: usize,
    /// The memory budget in bytes for values of requests, and of large answers that must be complete before they are forwarded.
    pub held_bytes: usize,
    /// How many accepted requests may have no written answer.
    pub open: usize,
    /// How many bytes their answers may need, at the size of recent answers.
    pub answer_bytes: usize,
    /// Timeout for connecting to an endpoint.
    pub dial: Duration,
    /// How long a connection to an endpoint may be idle.
    pub idle: Duration,
    /// The longest time that any client waits.
    pub longest: Duration,
    /// The shortest time that a class of requests gives.
    pub shortest: Duration,
}
