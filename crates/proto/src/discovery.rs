//! Parses the endpoint list of discovery and the lines of a watch.

mod scan;

use bytes::{Buf, BytesMut};
use rustc_hash::FxHashSet;
use scan::{Scanned, Scanner};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// The most endpoints of a list: sixteen times the 200 of a usual one.
const MAX_ENDPOINTS: usize = 16 * 200;
/// The most bytes of an endpoint, with the longest names and the deepest indentation; a usual one takes 150 bytes.
const MAX_ENDPOINT_BYTES: usize = 1024;
/// The most bytes of a line or list: twice the size of the largest list. Bounds the memory for one line.
pub const MAX_LIST_BYTES: usize = 2 * MAX_ENDPOINTS * MAX_ENDPOINT_BYTES;

/// The state of an endpoint's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint only completes the requests that it has.
    Draining,
    /// The endpoint was removed; occurs only in a list of changes.
    Gone,
}

/// An endpoint as discovery lists it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointRecord {
    /// The id, the same for every balancer and across restarts.
    pub id: String,
    /// The address at which this balancer reaches the endpoint.
    pub host_port: SocketAddr,
    /// The name of the endpoint's zone.
    #[serde(default)]
    pub locality: String,
    /// The name of the endpoint's type.
    #[serde(default)]
    pub flavor: String,
    /// The endpoint's cell.
    #[serde(default)]
    pub cell: u16,
    /// The state of the endpoint's process.
    pub phase: Phase,
    /// The endpoint's weight, as listed.
    #[serde(default)]
    pub size: f64,
    /// The last start of the endpoint in Unix milliseconds; 0 if it started long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

/// The complete list, or changes to it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointList {
    /// The revision of the endpoint list after this list or these changes are applied.
    pub revision: u64,
    /// Whether `members` are all endpoints, or only those that changed.
    pub complete: bool,
    /// The endpoints.
    pub members: Vec<EndpointRecord>,
}

/// An event from discovery.
#[derive(Debug)]
pub enum WatchEvent {
    /// The watch was accepted; its lines follow.
    Subscribed,
    /// A complete list, or a list of changes.
    List(EndpointList),
}

/// The reason why a list, or a line of a watch, is invalid. The bytes that follow on the connection cannot be trusted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ListError {
    /// The list is longer than [`MAX_LIST_BYTES`].
    #[error("the list is longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// The list is not valid JSON; contains the position of the first invalid byte.
    #[error("the list is not valid JSON: unexpected byte at offset {0}")]
    Syntax(usize),
    /// The list is valid JSON, but not an endpoint list; contains the reason, with line and column.
    #[error("the list is invalid: {0}")]
    Form(String),
    /// A complete list contains the endpoint with this id twice.
    #[error("the list contains endpoint {0} twice")]
    Duplicate(String),
}

/// Parses one list.
///
/// # Errors
/// When the text is not a valid list; the error states the reason and the position.
pub fn parse_endpoint_list(text: &[u8]) -> Result<EndpointList, ListError> {
    let list: EndpointList =
        serde_json::from_slice(text).map_err(|error| ListError::Form(error.to_string()))?;
    let mut ids = FxHashSet::default();
    // A list of changes may contain an endpoint more than once: the last entry applies.
    for endpoint in list.members.iter().filter(|_| list.complete) {
        if !ids.insert(endpoint.id.as_str()) {
            return Err(ListError::Duplicate(endpoint.id.clone()));
        }
    }
    Ok(list)
}

/// The content of a line of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchLine {
    /// A blank line: nothing changed.
    KeepAlive,
    /// A list of changes, or the complete list.
    Update(EndpointList),
}

/// Reads the lines of a watch. An indented list extends over several lines. Each byte is scanned once when it arrives,
/// in pieces of any size, and parsed once when its list is complete.
#[derive(Debug, Default)]
pub struct WatchReader {
    scanner: Scanner,
    /// The number of bytes at the start of the buffer that were scanned.
    scanned: usize,
}

impl WatchReader {
    /// Removes the next line from the buffer; `None` while it is incomplete. Between two calls, bytes may only be
    /// appended to the buffer.
    ///
    /// # Errors
    /// When the line is too long, or not a valid list.
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
