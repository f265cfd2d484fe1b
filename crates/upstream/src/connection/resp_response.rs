//! Reads responses of cache nodes, which speak RESP.

use super::log_throttles::AttemptLogThrottles;
use super::response::{LargeResponse, Response, ResponseError, read_more};
use super::result::AttemptResult;
use super::socket::Connection;
use decide::api::Outcome;
use proto::resp::{self, Reply, ReplyTail};
use std::time::Duration;
use tokio::time::timeout;

/// How long what follows a large value may take. The client does not wait for it, only the connection does.
const TAIL_TIMEOUT: Duration = Duration::from_millis(500);
/// How an error begins by which a cache node says that it does not understand a command.
const SYNTAX_ERROR: &[u8] = b"SYNTAX";

/// Reads a response, or its head if its value is large.
pub(super) async fn read_resp(
    connection: &mut Connection, endpoint: &str, throttles: &AttemptLogThrottles,
) -> Result<Response, ResponseError> {
    let reply = loop {
        match resp::decode_reply(&mut connection.buffer)? {
            Some(reply) => break reply,
            None => read_more(connection).await?,
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

/// Reads what follows a large value, so that the connection can be reused; `None` if that fails.
pub(super) async fn read_tail(mut connection: Connection, tail: Option<ReplyTail>) -> Option<Connection> {
    let Some(tail) = tail else { return Some(connection) };
    let reading = async {
        loop {
            match resp::decode_reply_tail(&mut connection.buffer, tail) {
                Ok(None) => read_more(&mut connection).await.ok()?,
                Ok(Some(())) => return Some(()),
                Err(_) => return None,
            }
        }
    };
    timeout(TAIL_TIMEOUT, reading).await.ok().flatten().map(|()| connection)
}
