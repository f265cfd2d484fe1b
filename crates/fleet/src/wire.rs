//! The datagrams that balancers exchange: a version byte, then an [`Envelope`] in postcard.

use crate::entry::Entry;
use agreement::{Message, NodeId};
use audit::lease;
use audit::ledger;
use serde::{Deserialize, Serialize};

/// The length of the longest datagram, in bytes.
pub const MAX_BYTES: usize = 1_200;
/// The version of the format, the first byte of a datagram.
pub const VERSION: u8 = 1;

/// The message of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A datagram of the membership protocol.
    Membership(Vec<u8>),
    /// A message of the replicated log.
    Agreement(Box<Message<Entry>>),
    /// A request for a lease, to the voters.
    LeaseRequest(lease::LeaseRequest),
    /// The sender is up. Carries the fleet time of the sender's last grant that the sender has applied.
    Heartbeat(Option<u64>),
    /// The sender's activity under each version.
    ActivityReport(ledger::ActivityReport),
}

/// A datagram without its version byte.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The hash of the fleet's name.
    pub fleet: u32,
    /// The sender.
    pub from: NodeId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The message.
    pub body: Body,
}

/// The reason why a datagram cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is of another version of the format.
    #[error("datagram of another version than {VERSION}")]
    OtherVersion,
    /// The datagram is malformed, or longer than [`MAX_BYTES`].
    #[error("malformed datagram, or longer than {MAX_BYTES} bytes")]
    Malformed,
}

impl Envelope {
    /// Encodes the datagram. Returns `None` if it is longer than [`MAX_BYTES`].
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let encoded = postcard::to_extend(self, vec![VERSION]).ok();
        encoded.filter(|datagram| datagram.len() <= MAX_BYTES)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns an error if the datagram has another version or is malformed.
    pub fn decode(datagram: &[u8]) -> Result<Self, DecodeError> {
        match datagram {
            _ if datagram.len() > MAX_BYTES => Err(DecodeError::Malformed),
            [VERSION, rest @ ..] => postcard::from_bytes(rest).map_err(|_| DecodeError::Malformed),
            [_, ..] => Err(DecodeError::OtherVersion),
            [] => Err(DecodeError::Malformed),
        }
    }
}
