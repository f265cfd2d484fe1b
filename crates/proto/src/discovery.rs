//! Discovery's list and the lines of its watch, as typed values.

mod scan;

use bytes::{Buf, BytesMut};
use rustc_hash::FxHashSet;
use scan::{Scan, Scanned};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Endpoints of the largest fleet: sixteen times the two hundred of a usual one.
const LARGEST_FLEET: usize = 16 * 200;
/// A member with the longest names and the deepest indentation; a usual one takes 150 bytes.
const LARGEST_MEMBER: usize = 1024;
/// The longest line or list, in bytes: twice what the largest fleet may come to. Bounds the memory that one may take.
pub const MAX_LIST_BYTES: usize = 2 * LARGEST_FLEET * LARGEST_MEMBER;

/// The state that discovery gives a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Completes what it has.
    Draining,
    /// Removed; only among changes.
    Gone,
}

/// A peer as discovery lists it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointRecord {
    /// Its lasting name, the same at every balancer.
    pub id: String,
    /// Where this balancer reaches it.
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

/// The list, or changes to it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EndpointList {
    /// The version that this brings the holder to.
    pub revision: u64,
    /// Whether these are all members.
    pub complete: bool,
    /// The members, or those that changed.
    pub members: Vec<EndpointRecord>,
}

/// What is heard of discovery.
#[derive(Debug)]
pub enum WatchEvent {
    /// It has taken up our watch: what it has to tell is on its way.
    Subscribed,
    /// A list.
    List(EndpointList),
}

/// Why a list, or a line of a watch, cannot be used. What follows it on its connection cannot be trusted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ListError {
    /// It is longer than any fleet's.
    #[error("the list is longer than {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// It is not in the form of JSON.
    #[error("the list is no JSON: its byte {0} cannot stand there")]
    Syntax(usize),
    /// It is JSON, but not in the form of a list; says what is wrong, and in which line and column.
    #[error("the list is none: {0}")]
    Form(String),
    /// A whole list has a member twice.
    #[error("the list has {0} twice")]
    Duplicate(String),
}

/// Reads one list.
///
/// # Errors
/// When it is not in the form of a list, with what is wrong and where.
pub fn parse_endpoint_list(text: &[u8]) -> Result<EndpointList, ListError> {
    let list: EndpointList =
        serde_json::from_slice(text).map_err(|error| ListError::Form(error.to_string()))?;
    let mut ids = FxHashSet::default();
    // Among changes, a member may come again: the last counts.
    for member in list.members.iter().filter(|_| list.complete) {
        if !ids.insert(member.id.as_str()) {
            return Err(ListError::Duplicate(member.id.clone()));
        }
    }
    Ok(list)
}

/// What a line of a watch says.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchLine {
    /// Nothing changed.
    KeepAlive,
    /// Changes, or the whole list.
    Update(EndpointList),
}

/// Reads the lines of a watch. A list that is indented goes on over several lines. Each byte is looked at once as it comes,
/// in pieces of any size, and once more when its list has come to its end.
#[derive(Debug, Default)]
pub struct WatchReader {
    scan: Scan,
    /// Bytes of the buffer that were looked at.
    looked_at: usize,
}

impl WatchReader {
    /// Takes the next whole line off the buffer, to which more is only added in between; `None` while it has not all come.
    ///
    /// # Errors
    /// When the line is too long or no list.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<WatchLine>, ListError> {
        while let Some(byte) = buffer.get(self.looked_at).copied() {
            self.looked_at += 1;
            if self.looked_at > MAX_LIST_BYTES {
                return Err(ListError::TooLong);
            }
            match self.scan.byte(byte) {
                Scanned::GoesOn => {}
                Scanned::Wrong => return Err(ListError::Syntax(self.looked_at - 1)),
                Scanned::Blank => {
                    self.take(buffer);
                    return Ok(Some(WatchLine::KeepAlive));
                }
                Scanned::Object => {
                    let found = parse_endpoint_list(&buffer[..self.looked_at]);
                    self.take(buffer);
                    return Ok(Some(WatchLine::Update(found?)));
                }
            }
        }
        Ok(None)
    }

    fn take(&mut self, buffer: &mut BytesMut) {
        buffer.advance(self.looked_at);
        *self = Self::default();
    }
}
