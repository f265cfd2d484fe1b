//! Reads the answer to a try: what is one, what breaks off, and what is none.

use super::exchange::{AttemptLogThrottles, AttemptResult};
use super::{Connection, StreamedValue};
use crate::memory::{MemoryBudget, MemoryPermit};
use bytes::{BufMut, Bytes, BytesMut};
use decide::api::Outcome;
use proto::http::{BodyEvent, Decoder};
use proto::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES, ProtoError, resp};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

/// How long what follows a large value may take: the client does not wait for it, the connection does.
const TAIL_TIME: Duration = Duration::from_millis(500);

/// Why there is no answer.
pub(super) enum Broken {
    Reset,
    Malformed(proto::ProtoError),
}

impl From<proto::ProtoError> for Broken {
    fn from(error: proto::ProtoError) -> Self {
        Self::Malformed(error)
    }
}

async fn more(connection: &mut Connection) -> Result<(), Broken> {
    match connection.stream.read_buf(&mut connection.buffer).await {
        Ok(n) if n > 0 => Ok(()),
        _ => Err(Broken::Reset),
    }
}

/// An answer, as far as it is read at once.
pub(super) enum Read {
    /// Whole, and whether its connection can be used again.
    Whole(AttemptResult, bool),
    /// A large value follows, and behind it its tail.
    Large { length: usize, keep: bool, tail: Option<resp::ReplyTail> },
}

/// Reads what follows a large value, so that its connection can be used again.
pub(super) async fn read_tail(
    mut connection: Connection, tail: Option<resp::ReplyTail>,
) -> Option<Connection> {
    let Some(tail) = tail else { return Some(connection) };
    let read = async {
        loop {
            match resp::decode_reply_tail(&mut connection.buffer, tail) {
                Ok(None) => more(&mut connection).await.ok()?,
                Ok(Some(())) => return Some(()),
                Err(_) => return None,
            }
        }
    };
    timeout(TAIL_TIME, read).await.ok().flatten().map(|()| connection)
}

pub(super) async fn read_resp(
    connection: &mut Connection, name: &str, lines: &AttemptLogThrottles,
) -> Result<Read, Broken> {
    loop {
        let Some(answer) = resp::decode_reply(&mut connection.buffer)? else {
            more(connection).await?;
            continue;
        };
        let ended = match answer {
            resp::Reply::Served(value) => AttemptResult { value, ..Outcome::Ok.into() },
            resp::Reply::Large { length, tail } => {
                return Ok(Read::Large { length, keep: true, tail: Some(tail) });
            }
            resp::Reply::Miss { pending } => AttemptResult { pending, ..Outcome::Miss.into() },
            resp::Reply::Busy => Outcome::Rejected.into(),
            resp::Reply::Failed(text) => {
                if let Some(more) = text.starts_with(b"SYNTAX").then(|| lines.refused.line()).flatten() {
                    let text = String::from_utf8_lossy(&text);
                    log::error!("peer {name} refused our command: -{text}{more}");
                }
                Outcome::Error.into()
            }
        };
        return Ok(Read::Whole(ended, true));
    }
}

pub(super) async fn read_http(
    connection: &mut Connection, budget: &MemoryBudget, name: &str, lines: &AttemptLogThrottles,
) -> Result<Read, Broken> {
    let mut decoder = Decoder::new(MAX_VALUE_BYTES);
    let head = loop {
        match decoder.next(&mut connection.buffer)? {
            Some(BodyEvent::Head(head)) => break head,
            _ => more(connection).await?,
        }
    };
    if let (200, Some(length)) = (head.status, head.large()) {
        return Ok(Read::Large { length, keep: head.keep, tail: None });
    }
    // Most bodies are one slice. Those in pieces are put together, the large ones among them within the budget.
    let (mut value, mut gathered, mut held) = (Bytes::new(), BytesMut::new(), None::<MemoryPermit>);
    loop {
        let piece = match decoder.next(&mut connection.buffer)? {
            Some(piece) => piece,
            None => match more_or_end(connection).await? {
                Some(()) => continue,
                None => decoder.ended().ok_or(Broken::Reset)?,
            },
        };
        match piece {
            BodyEvent::Head(_) => {}
            BodyEvent::Data(part) if value.is_empty() && gathered.is_empty() => value = part,
            BodyEvent::Data(part) => {
                let length = gathered.len().max(value.len()) + part.len();
                if length > MAX_VALUE_BYTES {
                    return Err(ProtoError::TooLong("body").into());
                }
                if length > MAX_BUFFERED_VALUE_BYTES {
                    let room = match &mut held {
                        Some(held) => held.grow(part.len()),
                        None => {
                            held = budget.hold(length);
                            held.is_some()
                        }
                    };
                    if !room {
                        if let Some(more) = lines.no_room.line() {
                            log::warn!(
                                "peer {name}: no room to hold an answer without a stated length{more}"
                            );
                        }
                        return Ok(Read::Whole(Outcome::Error.into(), false));
                    }
                }
                if gathered.is_empty() {
                    gathered.put_slice(&std::mem::take(&mut value));
                }
                gathered.put_slice(&part);
            }
            BodyEvent::End => break,
        }
    }
    let value = if gathered.is_empty() { value } else { gathered.freeze() };
    let ended = match (head.status, held) {
        (200, None) => AttemptResult { value, ..Outcome::Ok.into() },
        (200, Some(held)) => {
            let large = Some(Box::new(StreamedValue::of_memory(value, held)));
            AttemptResult { large, ..Outcome::Ok.into() }
        }
        (503 | 504, _) if head.declined => Outcome::Rejected.into(),
        _ => Outcome::Error.into(),
    };
    Ok(Read::Whole(ended, head.keep))
}

/// Reads more; `None` when the other side has ended the connection in order.
async fn more_or_end(connection: &mut Connection) -> Result<Option<()>, Broken> {
    match connection.stream.read_buf(&mut connection.buffer).await {
        Ok(0) => Ok(None),
        Ok(_) => Ok(Some(())),
        Err(_) => Err(Broken::Reset),
    }
}
