//! Reads big-endian fields of a fixed-size record.

use decide::api::EndpointId;

/// A record of a fixed size.
///
/// The methods panic if a field does not lie inside the record. Callers use the offsets of the wire format, which do.
#[derive(Clone, Copy)]
pub(crate) struct Record<'a>(pub(crate) &'a [u8]);

impl Record<'_> {
    fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.0[at..at + N]);
        out
    }
    pub(crate) fn u8(self, at: usize) -> u8 {
        self.0[at]
    }
    pub(crate) fn u16(self, at: usize) -> u16 {
        u16::from_be_bytes(self.bytes(at))
    }
    pub(crate) fn u32(self, at: usize) -> u32 {
        u32::from_be_bytes(self.bytes(at))
    }
    pub(crate) fn u64(self, at: usize) -> u64 {
        u64::from_be_bytes(self.bytes(at))
    }
    pub(crate) fn size(self, at: usize) -> usize {
        self.u32(at) as usize
    }
    pub(crate) fn endpoint(self, at: usize) -> EndpointId {
        EndpointId(u64::from(self.u32(at)) << 16 | u64::from(self.u16(at + 4)))
    }
}
