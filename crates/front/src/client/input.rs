//! The buffer for the input of a client connection, whose memory is reserved as it grows.

use bytes::{BufMut, BytesMut};
use gateway::MemoryPermit;
use gateway::engine::Handle;
use std::rc::Rc;
use thiserror::Error;

/// The capacity of a buffer that needs no reserved memory: each connection has one, and each open request may keep one
/// with its command.
const SMALL_BUFFER_BYTES: usize = 1024;

/// The memory budget for commands is exhausted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no memory for the command")]
pub(super) struct OutOfMemory;

/// Bytes that were read and are not decoded yet.
#[derive(Debug)]
pub(super) struct InputBuffer {
    bytes: BytesMut,
    /// The memory reserved for the buffer; `None` if it is small. Shared with the commands that are slices of it.
    memory: Option<Rc<MemoryPermit>>,
}

impl InputBuffer {
    /// Creates an empty, small buffer.
    pub(super) fn new() -> Self {
        Self { bytes: BytesMut::with_capacity(SMALL_BUFFER_BYTES), memory: None }
    }

    /// Returns the bytes.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the buffer, from which a decoder removes commands.
    pub(super) fn bytes_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// Returns the number of bytes.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether no byte more fits.
    pub(super) fn is_full(&self) -> bool {
        self.bytes.len() == self.bytes.capacity()
    }

    /// Returns the memory reserved for the commands that were decoded last.
    pub(super) fn memory(&self) -> Option<Rc<MemoryPermit>> {
        self.memory.clone()
    }

    /// Returns the unused part of the buffer, for one read. It never grows by itself.
    pub(super) fn spare(&mut self) -> impl BufMut + '_ {
        if self.bytes.is_empty() && self.bytes.capacity() < SMALL_BUFFER_BYTES / 4 {
            *self = Self::new(); // commands hold the rest of the former buffer
        }
        let space = self.bytes.capacity() - self.bytes.len();
        (&mut self.bytes).limit(space)
    }

    /// Makes room for `capacity` bytes in all.
    ///
    /// # Errors
    /// If their memory cannot be reserved. The buffer stays as it is.
    pub(super) fn ensure_capacity(&mut self, capacity: usize, handle: &Handle) -> Result<(), OutOfMemory> {
        if self.bytes.capacity() >= capacity {
            return Ok(());
        }
        let capacity = capacity.max(SMALL_BUFFER_BYTES);
        let memory = if capacity > SMALL_BUFFER_BYTES {
            Some(Rc::new(handle.reserve_command_memory(capacity).ok_or(OutOfMemory)?))
        } else {
            None
        };
        self.replace(capacity, memory);
        Ok(())
    }

    /// Moves the bytes to a small buffer if they fit. The former buffer is freed with the commands in it.
    pub(super) fn release(&mut self) {
        if self.memory.is_some() && self.bytes.len() < SMALL_BUFFER_BYTES {
            self.replace(SMALL_BUFFER_BYTES, None);
        }
    }

    /// Discards all bytes.
    pub(super) fn clear(&mut self) {
        *self = Self::new();
    }

    fn replace(&mut self, capacity: usize, memory: Option<Rc<MemoryPermit>>) {
        let mut bytes = BytesMut::with_capacity(capacity);
        bytes.extend_from_slice(&self.bytes);
        *self = Self { bytes, memory };
    }
}
