//! Counters of the datagrams that balancers exchange.

use serde::Serialize;
use std::fmt;

/// Counters of datagrams since the start. The JSON keys are those of `GET /fleet`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct DatagramCounters {
    /// Datagrams sent.
    #[serde(rename = "sent")]
    pub sent: u64,
    /// Bytes sent.
    #[serde(rename = "sent_bytes")]
    pub sent_bytes: u64,
    /// Datagrams received and handled.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Datagrams dropped because they have another version of the wire format.
    #[serde(rename = "other_version")]
    pub other_version: u64,
    /// Datagrams dropped because they cannot be decoded.
    #[serde(rename = "unreadable")]
    pub malformed: u64,
    /// Datagrams dropped because they are of another fleet, name this balancer as their sender, or come from another
    /// address than the fleet file gives for their sender.
    #[serde(rename = "strangers")]
    pub unknown_sender: u64,
    /// Messages not sent because they do not fit a datagram.
    #[serde(rename = "too_long")]
    pub too_long: u64,
}

impl fmt::Display for DatagramCounters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { sent, sent_bytes, received, other_version, malformed, unknown_sender, too_long } = self;
        write!(
            formatter,
            "sent={sent} sent_bytes={sent_bytes} received={received} other_version={other_version} \
             malformed={malformed} unknown_sender={unknown_sender} too_long={too_long}"
        )
    }
}
