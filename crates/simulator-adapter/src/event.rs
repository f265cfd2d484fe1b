//! Decodes the events of a batch.

use crate::WireError;
use crate::record::Record;
use decide::api::{
    CellId, ClassId, EndpointEntry, EndpointState, Event, Key, ListKind, Micros, Outcome, Request, RequestId,
    Settings, TenantId, Token, ZoneId,
};

/// The size of an event record, in bytes.
pub(crate) const EVENT_BYTES: usize = 48;
/// The size of the clock at the start of a batch's body, in bytes.
pub(crate) const CLOCK_BYTES: usize = 8;
/// The size of an entry of the endpoint list, in bytes.
const ENTRY_BYTES: usize = 24;
/// The flag bit of a request that is a write.
const WRITE_FLAG: u8 = 4;
/// The hint of a miss when the endpoint has already told another request to fetch the key.
const FETCH_PENDING: u8 = 3;

/// The number of a module instance on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instance(pub u16);

/// A decoded event record.
#[derive(Debug, Clone, PartialEq)]
pub enum WireEvent {
    /// An instance starts without state.
    Start {
        /// The seed of the instance's random numbers.
        seed: u64,
        /// The settings of the instance.
        settings: Box<Settings>,
    },
    /// An instance stops and loses its state.
    Stop,
    /// A gossip datagram, with the number of the instance that sent it.
    Gossip(usize, Vec<u8>),
    /// An event for the decision module.
    Module(Event),
    /// A valid record that the decision module does not handle.
    Ignored,
}

/// A batch of events that all happen at `clock`.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The time, in microseconds.
    pub clock: Micros,
    /// The events, in the order in which they are handled.
    pub events: Vec<(Instance, WireEvent)>,
}

/// Decodes the body of a frame from [`read_frame`](crate::read_frame).
///
/// # Errors
/// Returns an error that names the record if a record is malformed.
pub fn decode(records: usize, body: &[u8]) -> Result<Batch, WireError> {
    let start = records.saturating_mul(EVENT_BYTES).saturating_add(CLOCK_BYTES);
    let (Some(head), Some(tail)) = (body.get(..start), body.get(start..)) else {
        return Err(WireError::BodyTooShort { len: body.len(), records });
    };
    let clock = Record(head).u64(0);
    let decode_record = |(number, bytes)| {
        let decoder = EventDecoder { number, record: Record(bytes), tail };
        Ok((Instance(decoder.record.u16(1)), decoder.event()?))
    };
    let events = head[CLOCK_BYTES..]
        .chunks_exact(EVENT_BYTES)
        .enumerate()
        .map(decode_record)
        .collect::<Result<_, WireError>>()?;
    Ok(Batch { clock, events })
}

/// Decodes one event record. Its lists and texts are in the tail of the batch.
struct EventDecoder<'a> {
    /// The index of the record in its batch, from 0.
    number: usize,
    record: Record<'a>,
    tail: &'a [u8],
}

impl<'a> EventDecoder<'a> {
    fn event(&self) -> Result<WireEvent, WireError> {
        let record = self.record;
        let request_id = || RequestId(record.u64(3));
        Ok(match record.u8(0) {
            1 => WireEvent::Module(self.request()),
            2 => self.outcome(9).map(|_| WireEvent::Ignored)?,
            3 => WireEvent::Module(self.endpoint_list()?),
            4 => WireEvent::Module(Event::Timer(Token(record.u64(3)))),
            5 => WireEvent::Module(Event::FirstByte(request_id())),
            6 => WireEvent::Module(self.attempt_outcome()?),
            7 => WireEvent::Module(Event::ClientLeft(request_id())),
            8 => WireEvent::Stop,
            9 => self.start()?,
            10 => WireEvent::Gossip(record.u16(3).into(), self.tail_bytes("the message", 5, 1)?.to_vec()),
            code => return Err(self.unknown_code("event code", code.into())),
        })
    }

    fn request(&self) -> Event {
        let record = self.record;
        Event::Request(Request {
            id: RequestId(record.u64(3)),
            class: ClassId(record.u8(23)),
            tenant: TenantId(record.u32(11)),
            key: Some(Key(record.u64(29))).filter(|key| key.0 != 0),
            write: record.u8(28) & WRITE_FLAG != 0,
            remaining_us: record.u32(19).into(),
        })
    }

    fn endpoint_list(&self) -> Result<Event, WireError> {
        let kind = match self.record.u8(3) {
            0 => ListKind::Full,
            1 => ListKind::Failed,
            2 => ListKind::Cached,
            3 => ListKind::Delta,
            code => return Err(self.unknown_code("list mode", code.into())),
        };
        let entries = self.tail_bytes("the list", 8, ENTRY_BYTES)?.chunks_exact(ENTRY_BYTES);
        let entries = entries.map(|bytes| self.entry(Record(bytes))).collect::<Result<_, _>>()?;
        Ok(Event::EndpointList(kind, entries))
    }

    fn entry(&self, entry: Record<'_>) -> Result<EndpointEntry, WireError> {
        let state = match entry.u8(0) {
            0 => EndpointState::Gone,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            code => return Err(self.unknown_code("server phase", code.into())),
        };
        let weight = f64::from(f32::from_bits(entry.u32(9)));
        Ok(EndpointEntry {
            id: entry.endpoint(1),
            state,
            kind: entry.u16(7),
            // A weight that is not a positive number is replaced by 1, the weight of an ordinary endpoint.
            weight: if weight.is_finite() && weight > 0.0 { weight } else { 1.0 },
            cell: CellId(entry.u16(13)),
            zone: ZoneId(entry.u8(15)),
            started_at: entry.u64(16),
        })
    }

    fn attempt_outcome(&self) -> Result<Event, WireError> {
        let record = self.record;
        Ok(Event::Outcome {
            id: RequestId(record.u64(3)),
            attempt: record.u16(11),
            outcome: self.outcome(19)?,
            latency_us: record.u32(21).into(),
            finished: record.u8(25) != 0,
            fetch_pending: record.u8(26) == FETCH_PENDING,
            // The wire format has no connections.
            doubtful: false,
            stale: false,
        })
    }

    fn outcome(&self, at: usize) -> Result<Outcome, WireError> {
        match self.record.u16(at) {
            1 => Ok(Outcome::Ok),
            2 => Ok(Outcome::Error),
            3 => Ok(Outcome::Rejected),
            4 => Ok(Outcome::Timeout),
            5 => Ok(Outcome::ConnectFailed),
            6 => Ok(Outcome::Reset),
            7 => Ok(Outcome::Cancelled),
            8 => Ok(Outcome::NotSent),
            9 => Ok(Outcome::Miss),
            code => Err(self.unknown_code("outcome", code.into())),
        }
    }

    fn start(&self) -> Result<WireEvent, WireError> {
        let record = self.number;
        let text = std::str::from_utf8(self.tail_bytes("the settings", 11, 1)?);
        let text = text.map_err(|_| WireError::SettingsNotUtf8 { record })?;
        let settings = text.parse().map_err(|source| WireError::InvalidSetting { record, source })?;
        Ok(WireEvent::Start { seed: self.record.u64(3), settings: Box::new(settings) })
    }

    /// Returns the part of the tail that the record refers to at `at`: an offset in bytes, then a number of items of
    /// `item_bytes` bytes each.
    fn tail_bytes(&self, what: &'static str, at: usize, item_bytes: usize) -> Result<&'a [u8], WireError> {
        let (offset, bytes) = (self.record.size(at), self.record.size(at + 4).saturating_mul(item_bytes));
        let part = offset.checked_add(bytes).and_then(|end| self.tail.get(offset..end));
        let tail = self.tail.len();
        part.ok_or(WireError::OutsideTail { record: self.number, what, offset, bytes, tail })
    }

    fn unknown_code(&self, what: &'static str, code: u64) -> WireError {
        WireError::UnknownCode { record: self.number, what, code }
    }
}
