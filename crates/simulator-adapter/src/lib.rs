//! The thistle-28dc codec: batches of events in, replies with actions out. It decides nothing.
//!
//! Big-endian frames: a header, records of a fixed size, then a tail that holds lists and texts.

use decide::api::{
    Action, CellId, ClassId, EndpointEntry, EndpointId, Event, Key, ListKind, Micros, Outcome, Presence,
    Request, RequestId, Settings, TenantId, Token, ZoneId,
};
use decide::settings::SettingsError;
use std::io::{self, Read};
use thiserror::Error;

const EVENT_BYTES: usize = 48;
const ENTRY_BYTES: usize = 24;
const ACTION_BYTES: usize = 24;
const CLOCK_BYTES: usize = 8;
/// 71 minutes: the longest timer that the wire carries.
const MAX_DELAY_US: Micros = 71 * 60 * 1_000_000;
/// A time-out of this much or more stands for "until the client gives up": the wire's field is signed.
const MAX_TIMEOUT_US: Micros = i32::MAX as Micros;

/// A module instance, by its number on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instance(pub u16);

/// What a record of a batch says.
#[derive(Debug, Clone, PartialEq)]
pub enum WireEvent {
    /// An instance starts, with no state.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    Stop,
    /// Another instance says something.
    Said(usize, Vec<u8>),
    /// Something for the module.
    Module(Event),
    /// Legal, but nothing the module acts on.
    Unused,
}

/// One batch: all its events happen at `clock`.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The time, in microseconds.
    pub clock: Micros,
    /// The events, in order.
    pub events: Vec<(Instance, WireEvent)>,
}

/// Input that is not on the wire's terms.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input could not be read.
    #[error("reading a batch: {0}")]
    Io(#[from] io::Error),
    /// The input ended inside a batch.
    #[error("truncated batch: {got} of {wanted} bytes of the {part}")]
    Truncated {
        /// Which part was cut.
        part: &'static str,
        /// Bytes found.
        got: usize,
        /// Bytes announced.
        wanted: usize,
    },
    /// The header's length cannot hold the records it announces.
    #[error("batch length {len} is too short for {records} records")]
    Short {
        /// The length field.
        len: usize,
        /// The record count.
        records: usize,
    },
    /// A field holds a code that the wire does not know.
    #[error("record {record}: unknown {what} {code}")]
    Unknown {
        /// Number of the record, from 0.
        record: usize,
        /// Which field.
        what: &'static str,
        /// Its value.
        code: u64,
    },
    /// An offset or a length points outside the tail.
    #[error("record {record}: {what} at {offset} + {bytes} bytes lies outside the tail of {tail}")]
    OutsideTail {
        /// Number of the record, from 0.
        record: usize,
        /// Which field.
        what: &'static str,
        /// Its offset.
        offset: usize,
        /// Its size in bytes.
        bytes: usize,
        /// Size of the tail.
        tail: usize,
    },
    /// The settings of an instance are not text.
    #[error("record {record}: the settings are not UTF-8")]
    NotText {
        /// Number of the record, from 0.
        record: usize,
    },
    /// A setting cannot be used.
    #[error("record {record}: {source}")]
    Setting {
        /// Number of the record, from 0.
        record: usize,
        /// What is wrong with it.
        source: SettingsError,
    },
}

/// A fixed-size record; the offsets below stay inside its size by the layout.
#[derive(Clone, Copy)]
struct Record<'a>(&'a [u8]);

impl Record<'_> {
    fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.0[at..at + N]);
        out
    }
    fn u8(self, at: usize) -> u8 {
        self.0[at]
    }
    fn u16(self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }
    fn u32(self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }
    fn u64(self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }
    fn size(self, at: usize) -> usize {
        self.u32(at) as usize
    }
    fn server(self, at: usize) -> EndpointId {
        EndpointId(u64::from(self.u32(at)) << 16 | u64::from(self.u16(at + 4)))
    }
}

/// Reads one frame; `None` when the input ended cleanly before it.
///
/// # Errors
/// When the input ends inside the frame or cannot be read.
pub fn read_frame(input: &mut impl Read) -> Result<Option<(usize, Vec<u8>)>, WireError> {
    let mut header = Vec::with_capacity(8);
    input.by_ref().take(8).read_to_end(&mut header)?;
    match header.len() {
        0 => return Ok(None),
        8 => {}
        got => return Err(WireError::Truncated { part: "header", got, wanted: 8 }),
    }
    let header = Record(&header);
    let (records, len) = (header.size(0), header.size(4));
    if records.checked_mul(EVENT_BYTES).and_then(|n| n.checked_add(CLOCK_BYTES)).is_none_or(|n| n > len) {
        return Err(WireError::Short { len, records });
    }
    // Read to the end of what is there: a false length must not make us allocate gigabytes.
    let mut body = Vec::new();
    input.by_ref().take(len as u64).read_to_end(&mut body)?;
    if body.len() < len {
        return Err(WireError::Truncated { part: "body", got: body.len(), wanted: len });
    }
    Ok(Some((records, body)))
}

/// Decodes the body of a frame from [`read_frame`].
///
/// # Errors
/// When a record is malformed; the error names it.
pub fn decode(records: usize, body: &[u8]) -> Result<Batch, WireError> {
    let start = records.saturating_mul(EVENT_BYTES).saturating_add(CLOCK_BYTES);
    let (Some(head), Some(tail)) = (body.get(..start), body.get(start..)) else {
        return Err(WireError::Short { len: body.len(), records });
    };
    let clock = Record(head).u64(0);
    let events = head[CLOCK_BYTES..]
        .chunks_exact(EVENT_BYTES)
        .enumerate()
        .map(|(record, bytes)| Ok((Instance(Record(bytes).u16(1)), event(record, Record(bytes), tail)?)))
        .collect::<Result<_, WireError>>()?;
    Ok(Batch { clock, events })
}

fn event(record: usize, r: Record<'_>, tail: &[u8]) -> Result<WireEvent, WireError> {
    let unknown = |what, code| WireError::Unknown { record, what, code };
    let slice = |what, at: usize, unit: usize| {
        let (offset, bytes) = (r.size(at), r.size(at + 4).saturating_mul(unit));
        let found = offset.checked_add(bytes).and_then(|end| tail.get(offset..end));
        found.ok_or(WireError::OutsideTail { record, what, offset, bytes, tail: tail.len() })
    };
    let outcome = |at| match r.u16(at) {
        1 => Ok(Outcome::Ok),
        2 => Ok(Outcome::Error),
        3 => Ok(Outcome::Rejected),
        4 => Ok(Outcome::Timeout),
        5 => Ok(Outcome::ConnectFailed),
        6 => Ok(Outcome::Reset),
        7 => Ok(Outcome::Cancelled),
        8 => Ok(Outcome::NotSent),
        9 => Ok(Outcome::Miss),
        code => Err(unknown("outcome", code.into())),
    };
    Ok(match r.u8(0) {
        1 => WireEvent::Module(Event::Request(Request {
            id: RequestId(r.u64(3)),
            class: ClassId(r.u8(23)),
            tenant: TenantId(r.u32(11)),
            key: Some(Key(r.u64(29))).filter(|key| key.0 != 0),
            write: r.u8(28) & 4 != 0,
            remaining_us: r.u32(19).into(),
        })),
        2 => outcome(9).map(|_| WireEvent::Unused)?,
        3 => {
            let kind = match r.u8(3) {
                0 => ListKind::Full,
                1 => ListKind::Failed,
                2 => ListKind::Cached,
                3 => ListKind::Delta,
                code => return Err(unknown("list mode", code.into())),
            };
            let lines = slice("the list", 8, ENTRY_BYTES)?.chunks_exact(ENTRY_BYTES);
            let entries = lines.map(|line| entry(record, Record(line))).collect::<Result<_, _>>()?;
            WireEvent::Module(Event::EndpointList(kind, entries))
        }
        4 => WireEvent::Module(Event::Timer(Token(r.u64(3)))),
        5 => WireEvent::Module(Event::FirstByte(RequestId(r.u64(3)))),
        6 => WireEvent::Module(Event::Outcome {
            id: RequestId(r.u64(3)),
            attempt: r.u16(11),
            outcome: outcome(19)?,
            latency_us: r.u32(21).into(),
            finished: r.u8(25) != 0,
            fetch_pending: r.u8(26) == 3,
            stale: false, // connections are not modelled on the wire
        }),
        7 => WireEvent::Module(Event::ClientLeft(RequestId(r.u64(3)))),
        8 => WireEvent::Stop,
        9 => {
            let text = std::str::from_utf8(slice("the settings", 11, 1)?);
            let text = text.map_err(|_| WireError::NotText { record })?;
            let settings = text.parse().map_err(|source| WireError::Setting { record, source })?;
            WireEvent::Start { seed: r.u64(3), settings: Box::new(settings) }
        }
        10 => WireEvent::Said(r.u16(3).into(), slice("the message", 5, 1)?.to_vec()),
        code => return Err(unknown("event code", code.into())),
    })
}

fn entry(record: usize, r: Record<'_>) -> Result<EndpointEntry, WireError> {
    let presence = match r.u8(0) {
        0 => Presence::Gone,
        1 => Presence::Ready,
        2 => Presence::Draining,
        code => return Err(WireError::Unknown { record, what: "server phase", code: code.into() }),
    };
    let weight = f64::from(f32::from_bits(r.u32(9)));
    Ok(EndpointEntry {
        id: r.server(1),
        presence,
        kind: r.u16(7),
        // A weight that compares with nothing counts as an ordinary server's.
        weight: if weight.is_finite() && weight > 0.0 { weight } else { 1.0 },
        cell: CellId(r.u16(13)),
        zone: ZoneId(r.u8(15)),
        online_since: r.u64(16),
    })
}

/// A reply under way.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends one action of an instance.
    pub fn push(&mut self, instance: Instance, action: &Action) {
        let mut r = [0_u8; ACTION_BYTES];
        r[1..3].copy_from_slice(&instance.0.to_be_bytes());
        let code = match *action {
            Action::Forward { id, endpoint: server, timeout_us } => {
                put_u64(&mut r, 3, id.0);
                put_u32(&mut r, 11, if timeout_us >= MAX_TIMEOUT_US { 0 } else { timeout_us });
                put_u32(&mut r, 15, server.0 >> 16);
                r[19..21].copy_from_slice(&server.0.to_be_bytes()[6..]);
                1
            }
            Action::Reject { id, retry_after_us, .. } => {
                put_u64(&mut r, 3, id.0);
                put_u32(&mut r, 11, retry_after_us);
                2
            }
            Action::Fail { id, .. } => {
                put_u64(&mut r, 3, id.0);
                3
            }
            Action::Cancel { id, attempt } => {
                put_u64(&mut r, 3, id.0);
                r[11..13].copy_from_slice(&attempt.to_be_bytes());
                4
            }
            Action::Timer { delay_us, token } => {
                put_u32(&mut r, 3, delay_us.min(MAX_DELAY_US));
                put_u64(&mut r, 7, token.0);
                5
            }
            Action::CloseIdle(server) => {
                put_u32(&mut r, 3, server.0 >> 16);
                r[7..9].copy_from_slice(&server.0.to_be_bytes()[6..]);
                7
            }
            Action::Watch => {
                r[3] = 1;
                11
            }
            Action::PublishLoad(_) => return, // in words of its own: see `say`
        };
        self.record(code, r);
    }

    /// Appends a message of an instance to all others.
    pub fn say(&mut self, instance: Instance, message: &[u8]) {
        let mut r = [0_u8; ACTION_BYTES];
        r[1..3].copy_from_slice(&instance.0.to_be_bytes());
        r[3..5].fill(0xff);
        put_u32(&mut r, 5, self.tail.len() as u64);
        put_u32(&mut r, 9, message.len() as u64);
        self.tail.extend_from_slice(message);
        self.record(8, r);
    }

    fn record(&mut self, code: u8, mut r: [u8; ACTION_BYTES]) {
        r[0] = code;
        self.records.extend_from_slice(&r);
        self.count += 1;
    }

    /// The finished frame.
    #[must_use]
    pub fn into_frame(self) -> Vec<u8> {
        let bytes = self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(8 + bytes);
        let len = u32::try_from(bytes + 4).unwrap_or(u32::MAX);
        frame.extend_from_slice(&len.to_be_bytes());
        frame.extend_from_slice(&self.count.to_be_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }
}

fn put_u64(record: &mut [u8], at: usize, value: u64) {
    record[at..at + 8].copy_from_slice(&value.to_be_bytes());
}

fn put_u32(record: &mut [u8], at: usize, value: u64) {
    let value = u32::try_from(value).unwrap_or(u32::MAX);
    record[at..at + 4].copy_from_slice(&value.to_be_bytes());
}
