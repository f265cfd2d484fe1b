//! Encodes requests for endpoints.

use crate::call::Call;
use crate::endpoints::Endpoint;
use bytes::{Bytes, BytesMut};
use proto::{http, resp};

/// The usual size of a command without its value, in bytes.
const COMMAND_CAPACITY: usize = 256;

/// A request in the protocol of an endpoint.
#[derive(Debug)]
pub(super) struct EncodedRequest {
    pub(super) head: BytesMut,
    /// The value, if it is not part of `head`.
    pub(super) body: Bytes,
}

impl EncodedRequest {
    /// Encodes a call in the endpoint's protocol. `time_limit_ms` is the time that this balancer will wait for the
    /// response.
    pub(super) fn new(call: &Call, endpoint: &Endpoint, time_limit_ms: u64) -> Self {
        let options = call.options_with_time_limit(time_limit_ms);
        if endpoint.is_origin { Self::http(call, endpoint, &options) } else { Self::resp(call, &options) }
    }

    fn resp(call: &Call, options: &[u8]) -> Self {
        let mut head = BytesMut::with_capacity(COMMAND_CAPACITY);
        let mut words: Vec<&[u8]> = vec![&call.command, &call.key, &call.id, options];
        words.extend(call.value.as_deref());
        resp::encode_command(&mut head, &words);
        Self { head, body: Bytes::new() }
    }

    fn http(call: &Call, endpoint: &Endpoint, options: &[u8]) -> Self {
        let path = [b"/", &call.key[..]].concat();
        let host = endpoint.addr.to_string();
        let mut headers: Vec<(&str, &[u8])> = vec![("Req-Id", &call.id), ("Req-Extra", options)];
        let Some(value) = &call.value else {
            let head = http::encode_request("GET", &path, &host, &headers);
            return Self { head, body: Bytes::new() };
        };
        let length = value.len().to_string();
        headers.push(("Content-Length", length.as_bytes()));
        Self { head: http::encode_request("PUT", &path, &host, &headers), body: value.clone() }
    }
}
