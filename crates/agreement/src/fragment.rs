//! The wire form of messages that are too long for a datagram.
use crate::limits::{MAX_MESSAGE_BYTES, MAX_SNAPSHOT_BYTES};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Size of the part of a message in one fragment, in bytes.
pub(crate) const FRAGMENT_BYTES: usize = 1_000;
/// Maximum number of fragments of a message: a snapshot and its header.
pub(crate) const MAX_FRAGMENTS: u32 = (MAX_SNAPSHOT_BYTES / FRAGMENT_BYTES) as u32 + 64;

// A fragment and its header must fit one message.
const _: () = assert!(FRAGMENT_BYTES + 64 <= MAX_MESSAGE_BYTES);

/// One fragment, or a request for missing ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Fragment {
    /// Fragment `index`, from 0, of `count`.
    Data {
        /// Identifies the message at its sender.
        message_id: u64,
        count: u32,
        index: u32,
        bytes: Bytes,
    },
    /// Sent by the receiver of the message to request the missing fragments.
    Request { message_id: u64, missing: Vec<u32> },
}
