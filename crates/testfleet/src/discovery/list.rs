//! Members of the endpoint list and the JSON form of lists.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// The lifecycle phase of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Ready,
    /// Completes requests in flight and accepts no new ones.
    Draining,
    /// Is removed from the list.
    Gone,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// A cache node or the origin, as listed to one balancer.
#[derive(Debug, Clone)]
pub struct Member {
    /// The name of the member in discovery.
    pub name: String,
    /// The address of the member as listed to that balancer, usually of a relay.
    pub addr: SocketAddr,
    /// The zone of the member.
    pub zone: String,
    /// The kind of the endpoint: `m` for a cache node, `origin` for the origin.
    pub kind: String,
    /// The lifecycle phase.
    pub phase: Phase,
    /// The listed weight.
    pub weight: f64,
    /// The number of endpoint ids under which the member is listed. All of them change together.
    pub ids: usize,
}

impl Member {
    /// Returns the entry of each endpoint id of the member.
    fn entries(&self) -> impl Iterator<Item = Value> {
        (0..self.ids).map(|number| {
            let id = if self.ids == 1 { self.name.clone() } else { format!("{}-{number}", self.name) };
            json!({"id": id, "host_port": self.addr.to_string(), "locality": self.zone, "flavor": self.kind,
                   "cell": 0, "phase": self.phase.name(), "size": self.weight, "up_since_ms": 0})
        })
    }
}

/// Encodes a complete list, or a change of the list, as JSON of the discovery protocol.
pub(super) fn encode_list(revision: usize, complete: bool, members: &[Member]) -> Value {
    let members: Vec<_> = members.iter().flat_map(Member::entries).collect();
    json!({"revision": revision, "complete": complete, "members": members})
}

/// How an agent writes lists on its watches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ListEncoding {
    /// Whether the JSON is written over several lines.
    pub indented: bool,
    /// Whether a watch writes the complete list for each change, instead of the changed members.
    pub whole: bool,
    /// The maximum number of bytes per write; `None` writes an event at once.
    pub piece: Option<usize>,
}

impl ListEncoding {
    pub(super) fn encode(self, list: &Value) -> String {
        if self.indented { format!("{list:#}") } else { list.to_string() }
    }
}
