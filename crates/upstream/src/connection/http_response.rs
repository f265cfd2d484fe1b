//! Reads HTTP responses from the origin.

use super::response::{LargeResponse, ReadOutcome, Response, ResponseError, read_more, read_or_end};
use super::result::AttemptResult;
use super::socket::Connection;
use super::streamed::StreamedValue;
use crate::memory::{MemoryBudget, MemoryPermit};
use bytes::{BufMut, Bytes, BytesMut};
use decide::api::Outcome;
use proto::http::{BodyEvent, Decoder, ResponseHead};
use proto::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, ProtoError};

/// Reads a response. If its value is large and has a known length, reads only the head.
pub(super) async fn read_http(
    connection: &mut Connection, budget: &MemoryBudget,
) -> Result<Response, ResponseError> {
    let mut decoder = Decoder::new(MAX_VALUE_BYTES);
    let head = loop {
        match decoder.next(&mut connection.buffer)? {
            Some(BodyEvent::Head(head)) => break head,
            _ => read_more(connection).await?,
        }
    };
    if let (200, Some(length)) = (head.status, head.large_body_length()) {
        return Ok(Response::Large(LargeResponse { length, reusable: head.keep_alive, tail: None }));
    }
    let body = read_body(connection, &mut decoder, budget).await?;
    Ok(Response::Complete { result: to_result(&head, body), reusable: head.keep_alive })
}

fn to_result(head: &ResponseHead, body: BodyBuffer) -> AttemptResult {
    match head.status {
        200 => {
            let (value, memory) = body.finish();
            match memory {
                None => AttemptResult { value, ..Outcome::Ok.into() },
                Some(memory) => {
                    let large = Some(Box::new(StreamedValue::from_memory(value, memory)));
                    AttemptResult { large, ..Outcome::Ok.into() }
                }
            }
        }
        503 | 504 if head.is_declined => Outcome::Rejected.into(),
        _ => Outcome::Error.into(),
    }
}

async fn read_body<'a>(
    connection: &mut Connection, decoder: &mut Decoder, budget: &'a MemoryBudget,
) -> Result<BodyBuffer<'a>, ResponseError> {
    let mut body = BodyBuffer::new(budget);
    loop {
        let event = match decoder.next(&mut connection.buffer)? {
            Some(event) => event,
            None => match read_or_end(connection).await? {
                ReadOutcome::Bytes => continue,
                ReadOutcome::End => decoder.ended().ok_or(ResponseError::Reset)?,
            },
        };
        match event {
            BodyEvent::Head(_) => {}
            BodyEvent::Data(part) => body.push(part)?,
            BodyEvent::End => return Ok(body),
        }
    }
}

/// Collects the parts of a body. A body of one part, the usual case, is not copied. Several parts are joined into one
/// buffer, which is reserved from the memory budget if it is large.
struct BodyBuffer<'a> {
    budget: &'a MemoryBudget,
    /// The first part, while it is the only one.
    single: Bytes,
    /// All parts, if there are several.
    joined: BytesMut,
    memory: Option<MemoryPermit>,
}

impl<'a> BodyBuffer<'a> {
    fn new(budget: &'a MemoryBudget) -> Self {
        Self { budget, single: Bytes::new(), joined: BytesMut::new(), memory: None }
    }

    fn push(&mut self, part: Bytes) -> Result<(), ResponseError> {
        if self.single.is_empty() && self.joined.is_empty() {
            self.single = part;
            return Ok(());
        }
        let length = self.joined.len().max(self.single.len()) + part.len();
        if length > MAX_VALUE_BYTES {
            return Err(ProtoError::TooLong("body").into());
        }
        if length > MAX_BUFFERED_VALUE_BYTES {
            self.reserve_memory(length, part.len())?;
        }
        if self.joined.is_empty() {
            self.joined.put_slice(&std::mem::take(&mut self.single));
        }
        self.joined.put_slice(&part);
        Ok(())
    }

    /// Reserves memory for a body that has grown to `length` bytes, of which `added` are new.
    fn reserve_memory(&mut self, length: usize, added: usize) -> Result<(), ResponseError> {
        let reserved = match &mut self.memory {
            Some(memory) => memory.try_grow(added),
            None => {
                self.memory = self.budget.reserve(length);
                self.memory.is_some()
            }
        };
        if reserved { Ok(()) } else { Err(ResponseError::OutOfMemory) }
    }

    /// Returns the whole body, and the memory reserved for it if it is large.
    fn finish(self) -> (Bytes, Option<MemoryPermit>) {
        let value = if self.joined.is_empty() { self.single } else { self.joined.freeze() };
        (value, self.memory)
    }
}
