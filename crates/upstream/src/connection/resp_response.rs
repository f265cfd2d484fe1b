//! Reads RESP responses from cache nodes.

use super::log_throttles::AttemptLogThrottles;
use super::response::{LargeResponse, Response, ResponseError, make_room, read_more};
use super::result::AttemptResult;
use super::socket::Connection;
use decide::api::Outcome;
use proto::resp::{self, Reply};

/// The room for what usually follows a value: its line end, how the read went, and a load report.
const TAIL_BYTES: usize = 256;

/// The prefix of the error by which a cache node rejects a command as malformed.
const SYNTAX_ERROR: &[u8] = b"SYNTAX";

/// Reads a response. If its value is large, reads only the head.
pub(super) async fn read_resp(
    connection: &mut Connection, endpoint: &str, throttles: &AttemptLogThrottles,
) -> Result<Response, ResponseError> {
    let reply = loop {
        match resp::decode_reply(&mut connection.buffer)? {
            Some(reply) => break reply,
            None => {
                if let Some(end) = resp::value_end(&connection.buffer) {
                    make_room(connection, end + TAIL_BYTES).await?;
                }
                read_more(connection).await?;
            }
        }
    };
    let result = match reply {
        Reply::Large { length, tail } => {
            return Ok(Response::Large(LargeResponse { length, reusable: true, tail: Some(tail) }));
        }
        Reply::Served(value) => AttemptResult { value, ..Outcome::Ok.into() },
        Reply::Miss { pending } => AttemptResult { fetch_pending: pending, ..Outcome::Miss.into() },
        Reply::Busy => Outcome::Rejected.into(),
        Reply::Failed(text) => {
            log_syntax_error(&text, endpoint, throttles);
            Outcome::Error.into()
        }
    };
    Ok(Response::Complete { result, reusable: true })
}

fn log_syntax_error(text: &[u8], endpoint: &str, throttles: &AttemptLogThrottles) {
    if text.starts_with(SYNTAX_ERROR)
        && let Some(more) = throttles.rejected_command.admit_line()
    {
        let text = String::from_utf8_lossy(text);
        log::error!("upstream: endpoint {endpoint} rejected the command: -{text}{more}");
    }
}
