//! The endpoint list of discovery, and the lines of its watch.

mod scan;

use bytes::{Buf, BytesMut};
use rustc_hash::FxHashSet;
use scan::{Scanned, Scanner};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Endpoints of the largest list: sixteen times the two hundred of a usual one.
const MAX_ENDPOINTS: usize = 16 * 200;
/// Bytes of an endpoint with the longest names and the deepest indentation; a usual one takes 150 bytes.
const MAX_ENDPOINT_BYTES: usize = 1024;
/// The longest line or list, in bytes: twice what the largest list may take. Bounds the memory for one.
pub const MAX_LIST_BYTES: usize = 2 * MAX_ENDPOINTS * MAX_ENDPOINT_BYTES;

/// The state of an endpoint's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Accepts work.
    Ready,
    /// Completes the work it has.
    Draining,
    /// Removed; only in a list of changes.
    Gone,
}

/// An endpoint as discovery lists it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointRecord {
    /// Its id, the same for every balancer and across restarts.
    pub id: String,
    /// The address where this balancer reaches it.
    pub host_port: SocketAddr,
    /// Its zone, by name.
    #[serde(default)]
    pub locality: String,
    /// Its kind, by name.
    #[serde(default)]
    pub flavor: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// Its state.
    pub phase: Phase,
    /// Its listed weight.
    #[serde(default)]
    pub size: f64,
    /// Its last start in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

/// The complete list, or changes to it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointList {
    /// The revision of the list once this is applied.
    pub revision: u64,
    /// Whether these are all endpoints.
    pub complete: bool,
    /// All endpoints, or those that changed.
    pub members: Vec<EndpointRecord>,
}

/// What arrives from discovery.
#[derive(Debug)]
pub enum WatchEvent {
    /// The watch was accepted; what there is to report follows.
    Subscribed,
    /// A list.
    List(EndpointList),
}

/// Why a list, or a line of a watch, cannot be used. What follows it on the connection cannot be trusted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ListError {
    /// It is longer than any list.
    #[error("the list is longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// It is no JSON.
    #[error("the list is no JSON: its byte {0} cannot stand there")]
    Syntax(usize),
    /// It is JSON, but no list; the text says what is wrong, with line and column.
    #[error("the list is none: {0}")]
    Form(String),
    /// A complete list contains an endpoint twice.
    #[error("the list has {0} twice")]
    Duplicate(String),
}

/// Parses one list.
///
/// # Errors
/// When it is no list; the error says what is wrong and where.
pub fn parse_endpoint_list(text: &[u8]) -> Result<EndpointList, ListError> {
    let list: EndpointList =
        serde_json::from_slice(text).map_err(|error| ListError::Form(error.to_string()))?;
    let mut ids = FxHashSet::default();
    // In a list of changes an endpoint may occur again: the last entry counts.
    for member in list.members.iter().filter(|_| list.complete) {
        if !ids.insert(member.id.as_str()) {
            return Err(ListError::Duplicate(member.id.clone()));
        }
    }
    Ok(list)
}

/// The content of a line of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchLine {
    /// Nothing changed.
    KeepAlive,
    /// Changes, or the complete list.
    Update(EndpointList),
}

/// Reads the lines of a watch. An indented list extends over several lines. Each byte is scanned once as it arrives, in pieces
/// of any size, and once more when its list is complete.
#[derive(Debug, Default)]
pub struct WatchReader {
    scanner: Scanner,
    /// Bytes of the buffer that were scanned.
    scanned: usize,
}

impl WatchReader {
    /// Removes the next line from the buffer; `None` while it is incomplete. Between two calls, bytes may only be appended to
    /// the buffer.
    ///
    /// # Errors
    /// When the line is too long, or no list.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<WatchLine>, ListError> {
        while let Some(byte) = buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if self.scanned > MAX_LIST_BYTES {
                return Err(ListError::TooLong);
            }
            match self.scanner.scan(byte) {
                Scanned::Incomplete => {}
                Scanned::Invalid => return Err(ListError::Syntax(self.scanned - 1)),
                Scanned::BlankLine => {
                    self.remove_scanned(buffer);
                    return Ok(Some(WatchLine::KeepAlive));
                }
                Scanned::ObjectLine => {
                    let list = parse_endpoint_list(&buffer[..self.scanned]);
                    self.remove_scanned(buffer);
                    return Ok(Some(WatchLine::Update(list?)));
                }
            }
        }
        Ok(None)
    }

    fn remove_scanned(&mut self, buffer: &mut BytesMut) {
        buffer.advance(self.scanned);
        *self = Self::default();
    }
}
