//! Parses the head of a response: its status line and headers.

use super::parse::{MAX_HEADERS, Malformed, ParseResult, Prefix, checked_header_length};
use crate::MAX_BUFFERED_VALUE_BYTES;
use httparse::{Header, ParserConfig, Response};
use std::mem::MaybeUninit;

/// The head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Whether the response has `Srv-Declined: 1`: the request did not run.
    pub is_declined: bool,
    /// Whether the connection stays open after this response.
    pub keep_alive: bool,
    pub(super) body: BodyFraming,
}

/// The framing of a body, which determines where it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// The body has this length.
    Length(usize),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl ResponseHead {
    /// Returns the length of the body if it is stated.
    #[must_use]
    pub fn body_length(&self) -> Option<usize> {
        match self.body {
            BodyFraming::Length(length) => Some(length),
            BodyFraming::Chunked | BodyFraming::UntilClose => None,
        }
    }

    /// Returns the length of the body if it is stated and more than [`MAX_BUFFERED_VALUE_BYTES`].
    #[must_use]
    pub fn large_body_length(&self) -> Option<usize> {
        self.body_length().filter(|length| *length > MAX_BUFFERED_VALUE_BYTES)
    }
}

/// Parses the head of a response.
pub(super) fn parse(text: &[u8]) -> ParseResult<ResponseHead> {
    // httparse skips empty lines before a response, where none are allowed.
    if text.first().is_some_and(|byte| *byte != b'H') {
        return Err(Malformed);
    }
    let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut response = Response::new(&mut []);
    let parsed =
        ParserConfig::default().parse_response_with_uninit_headers(&mut response, text, &mut headers);
    // Rejects an invalid status before the rest of the head has arrived.
    if response.code.is_some_and(|code| !(100..600).contains(&code)) {
        return Err(Malformed);
    }
    let Some(length) = checked_header_length(text, parsed, |length| length)? else { return Ok(None) };
    Ok(Some(Prefix { value: build_head(&response)?, length }))
}

/// The values of the headers that the decoder uses.
#[derive(Default)]
struct Headers {
    content_length: Option<usize>,
    is_chunked: bool,
    closes: bool,
    declined: bool,
}

impl Headers {
    fn record(&mut self, header: &Header<'_>) -> Result<(), Malformed> {
        let Header { name, value } = header;
        if name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(value).map_err(|_| Malformed)?;
            let length = text.parse().map_err(|_| Malformed)?;
            // With two different lengths, one response could be read as two (response splitting).
            if self.content_length.is_some_and(|earlier| earlier != length) {
                return Err(Malformed);
            }
            self.content_length = Some(length);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Malformed);
            }
            self.is_chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            self.closes |= value.eq_ignore_ascii_case(b"close");
        } else if name.eq_ignore_ascii_case("srv-declined") {
            self.declined = *value == b"1";
        }
        Ok(())
    }

    fn framing(&self, status: u16) -> Result<BodyFraming, Malformed> {
        // Interim responses (1xx) state no length, since they have no body.
        let has_no_body = status < 200 || status == 204 || status == 304;
        if has_no_body {
            return Ok(BodyFraming::Length(0));
        }
        match self.content_length {
            _ if self.is_chunked => Ok(BodyFraming::Chunked),
            Some(length) => Ok(BodyFraming::Length(length)),
            // `Connection: close` states that the body ends with the connection; HTTP/1.0 alone does not.
            None if self.closes => Ok(BodyFraming::UntilClose),
            // Any other body without a stated end cannot be distinguished from a truncated one.
            None => Err(Malformed),
        }
    }
}

fn build_head(response: &Response<'_, '_>) -> Result<ResponseHead, Malformed> {
    let status = response.code.ok_or(Malformed)?;
    let mut headers = Headers::default();
    for header in response.headers.iter() {
        headers.record(header)?;
    }
    let is_http_1_1 = response.version == Some(1);
    let body = headers.framing(status)?;
    Ok(ResponseHead {
        status,
        is_declined: headers.declined,
        keep_alive: is_http_1_1 && !headers.closes,
        body,
    })
}
