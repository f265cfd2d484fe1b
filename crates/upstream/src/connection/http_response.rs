//! Reads HTTP responses from the origin.

use super::response::{
    LargeResponse, ReadOutcome, Response, ResponseError, make_room, read_more, read_or_end,
};
use super::result::AttemptResult;
use super::socket::Connection;
use super::streamed::StreamedValue;
use crate::memory::{MemoryBudget, MemoryPermit};
use bytes::{BufMut, Bytes, BytesMut};
use decide::api::Outcome;
use proto::http::{BodyEvent, Decoder, ResponseHead};
use proto::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, ProtoError};

/// The first capacity of the buffer that parts of a body are joined in.
const MIN_JOINED_BYTES: usize = 2 * 1024;
/// The capacity up to which that buffer needs no reserved memory beyond what each open request reserves.
const MAX_UNRESERVED_BYTES: usize = 4 * 1024;

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
    if let Some(length) = head.body_length() {
        make_room(connection, length).await?;
    }
    let body = read_body(connection, &mut decoder, budget).await?;
    Ok(Response::Complete { result: to_result(&head, body), reusable: head.keep_alive })
}

fn to_result(head: &ResponseHead, body: BodyBuffer) -> AttemptResult {
    match head.status {
        200 => {
            let (value, memory) = body.finish();
            match memory {
                Some(memory) if value.len() > MAX_BUFFERED_VALUE_BYTES => {
                    let large = Some(Box::new(StreamedValue::from_memory(value, memory)));
                    AttemptResult { large, ..Outcome::Ok.into() }
                }
                memory => AttemptResult { value, memory, ..Outcome::Ok.into() },
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
            BodyEvent::Data(part) => body.push(part).await?,
            BodyEvent::End => return Ok(body),
        }
    }
}

/// Collects the parts of a body. A body of one part, the usual case, is not copied. Several parts are joined into one
/// buffer, whose memory is reserved if it is not small.
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

    async fn push(&mut self, part: Bytes) -> Result<(), ResponseError> {
        if self.single.is_empty() && self.joined.is_empty() {
            self.single = part;
            return Ok(());
        }
        let length = self.joined.len().max(self.single.len()) + part.len();
        if length > MAX_VALUE_BYTES {
            return Err(ProtoError::TooLong("body").into());
        }
        if length > self.joined.capacity() {
            self.enlarge(length).await?;
        }
        if self.joined.is_empty() {
            self.joined.put_slice(&std::mem::take(&mut self.single));
        }
        self.joined.put_slice(&part);
        Ok(())
    }

    /// Makes room for a body of `length` bytes. Doubles the capacity, so that a long body is not copied for each part.
    async fn enlarge(&mut self, length: usize) -> Result<(), ResponseError> {
        let capacity = length.max(2 * self.joined.capacity()).clamp(MIN_JOINED_BYTES, MAX_VALUE_BYTES);
        if capacity > MAX_UNRESERVED_BYTES {
            let memory = self.memory.get_or_insert_with(|| self.budget.empty_permit());
            let missing = capacity - memory.bytes().min(capacity);
            if !memory.grow_when_available(missing).await {
                return Err(ResponseError::OutOfMemory);
            }
        }
        let mut joined = BytesMut::with_capacity(capacity);
        joined.put_slice(&self.joined);
        self.joined = joined;
        Ok(())
    }

    /// Returns the whole body, and the memory reserved for it.
    fn finish(self) -> (Bytes, Option<MemoryPermit>) {
        let value = if self.joined.is_empty() { self.single } else { self.joined.freeze() };
        (value, self.memory)
    }
}
