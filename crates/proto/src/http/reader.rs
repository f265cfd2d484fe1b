//! Reads a complete response with a body of bounded size.

use super::decoder::{BodyEvent, Decoder};
use super::head::ResponseHead;
use crate::ProtoError;
use bytes::{BufMut, Bytes, BytesMut};
use std::mem;

/// Collects the pieces of one response until it is complete.
#[derive(Debug, Default)]
pub struct ResponseReader {
    decoder: Decoder,
    head: Option<ResponseHead>,
    first_piece: Bytes,
    other_pieces: BytesMut,
}

impl ResponseReader {
    /// Creates a reader of a response whose body has at most `max_length` bytes.
    #[must_use]
    pub fn new(max_length: usize) -> Self {
        Self { decoder: Decoder::new(max_length), ..Self::default() }
    }

    /// Returns the response once it is complete; `None` while more bytes are needed. A body in one piece is not copied.
    ///
    /// # Errors
    /// When the bytes are not a valid response, or its body is too long.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<(ResponseHead, Bytes)>, ProtoError> {
        while let Some(event) = self.decoder.next(buffer)? {
            match event {
                BodyEvent::Head(head) => self.head = Some(head),
                BodyEvent::Data(data) => self.append(data)?,
                BodyEvent::End => {
                    let body = self.take_body();
                    return Ok(self.head.take().map(|head| (head, body)));
                }
            }
        }
        Ok(None)
    }

    fn append(&mut self, data: Bytes) -> Result<(), ProtoError> {
        if self.first_piece.len() + self.other_pieces.len() + data.len() > self.decoder.max_length {
            return Err(ProtoError::TooLong("body"));
        }
        if self.first_piece.is_empty() {
            self.first_piece = data;
        } else {
            self.other_pieces.put_slice(&data);
        }
        Ok(())
    }

    fn take_body(&mut self) -> Bytes {
        let first = mem::take(&mut self.first_piece);
        if self.other_pieces.is_empty() {
            return first;
        }
        [&first[..], &self.other_pieces.split()[..]].concat().into()
    }
}
