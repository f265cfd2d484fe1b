//! The second family of datagrams between balancers: a version, the fleet, who speaks in which life, and what is said.

use crate::Entry;
use agreement::Message;
use audit::lease::LeaseRequest;
use audit::ledger::ActivityReport;
use serde::{Deserialize, Serialize};

/// Longest datagram.
pub const MAX_BYTES: usize = 1_200;
/// The version of this family, its first byte.
pub const VERSION: u8 = 1;

/// What is said.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Of who is in.
    Membership(Vec<u8>),
    /// Of the log.
    Agreement(Box<Message<Entry>>),
    /// An ask for a lease, to the council.
    Ask(LeaseRequest),
    /// That the sender is there, and fleet time of the last grant to it that it has applied.
    Word(Option<u64>),
    /// What it decided on which version.
    Report(ActivityReport),
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Hash of the fleet's name.
    pub fleet: u32,
    /// The sender's number.
    pub from: u16,
    /// And its life.
    pub incarnation: u64,
    /// What it says.
    pub body: Body,
}

/// Why a datagram is not heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unheard {
    /// Of another version of the family.
    Version,
    /// Not in its form, or longer than [`MAX_BYTES`].
    Form,
}

impl Envelope {
    /// The datagram; none for what does not fit one.
    #[must_use]
    pub fn write(&self) -> Option<Vec<u8>> {
        postcard::to_extend(self, vec![VERSION]).ok().filter(|bytes| bytes.len() <= MAX_BYTES)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// When it is none of this family.
    pub fn read(datagram: &[u8]) -> Result<Self, Unheard> {
        match datagram {
            _ if datagram.len() > MAX_BYTES => Err(Unheard::Form),
            [VERSION, rest @ ..] => postcard::from_bytes(rest).map_err(|_| Unheard::Form),
            [_, ..] => Err(Unheard::Version),
            [] => Err(Unheard::Form),
        }
    }
}
