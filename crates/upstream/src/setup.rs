//! Configuration of connections: names of classes, tenants, zones and kinds, and limits and timeouts.

use std::time::Duration;

/// Names from the configuration. The index of a name is its number in the decision module.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Names {
    /// The names of request classes.
    pub classes: Vec<String>,
    /// The names of tenants.
    pub tenants: Vec<String>,
    /// The names of zones.
    pub zones: Vec<String>,
    /// The names of endpoint kinds, which discovery sends as flavors.
    pub kinds: Vec<String>,
}

/// Limits and timeouts of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum number of open client connections.
    pub clients: usize,
    /// The maximum number of open connections to cache nodes and the origin, including idle ones.
    pub peers: usize,
    /// The memory budget in bytes for commands that are read or forwarded, with their values.
    pub held_bytes: usize,
    /// The maximum number of accepted requests whose answers are not written yet.
    pub open: usize,
    /// The memory budget in bytes for open requests and their answers. No request is accepted either when the open ones
    /// would need more by the size of recent answers.
    pub answer_bytes: usize,
    /// The timeout for connecting to an endpoint.
    pub dial: Duration,
    /// The time after which an idle connection to an endpoint is closed.
    pub idle: Duration,
    /// The maximum time limit of a request.
    pub longest: Duration,
    /// The shortest deadline of any class of requests.
    pub shortest: Duration,
}
