//! Encodes requests.

use bytes::{BufMut, BytesMut};

/// The initial capacity of the buffer, which holds a usual head.
const HEAD_BYTES: usize = 256;

/// Encodes the head of a request. A body, if any, is sent after it unchanged.
#[must_use]
pub fn encode_request(method: &str, path: &[u8], host: &str, headers: &[(&str, &[u8])]) -> BytesMut {
    let mut head = BytesMut::with_capacity(HEAD_BYTES);
    for part in [method.as_bytes(), b" ", path, b" HTTP/1.1\r\nHost: ", host.as_bytes(), b"\r\n"] {
        head.put_slice(part);
    }
    for (name, value) in headers {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            head.put_slice(part);
        }
    }
    head.put_slice(b"\r\n");
    head
}
