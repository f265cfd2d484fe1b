//! Decodes datagrams before they are passed to foca, and encodes the few that this crate writes itself.

use bytes::{BufMut, Bytes, BytesMut};
use foca::{Codec, Header, Message, PostcardCodec};

use crate::MAX_DATAGRAM;
use crate::counters::DatagramError;
use crate::identity::MemberId;

/// A decoded datagram.
#[derive(Debug)]
pub(crate) struct Datagram {
    pub(crate) header: Header<MemberId>,
    /// The member states that the datagram carries.
    pub(crate) updates: Vec<foca::Member<MemberId>>,
}

/// Decodes a whole datagram. If any part is malformed, the whole datagram is rejected.
pub(crate) fn decode(mut data: &[u8]) -> Result<Datagram, DatagramError> {
    if data.len() > MAX_DATAGRAM {
        return Err(DatagramError::TooLong);
    }
    let header: Header<MemberId> =
        PostcardCodec.decode_header(&mut data).map_err(|_| DatagramError::Malformed)?;
    let mut updates = Vec::new();
    if let Some((count, rest)) = data.split_first_chunk() {
        data = rest;
        for _ in 0..u16::from_be_bytes(*count) {
            updates.push(PostcardCodec.decode_member(&mut data).map_err(|_| DatagramError::Malformed)?);
        }
    }
    if data.is_empty() { Ok(Datagram { header, updates }) } else { Err(DatagramError::Malformed) }
}

/// Decodes the header of a datagram that foca wrote.
pub(crate) fn decode_header(mut data: &[u8]) -> Option<Header<MemberId>> {
    PostcardCodec.decode_header(&mut data).ok()
}

/// Encodes a datagram. Updates that do not fit are left out.
pub(crate) fn encode(header: &Header<MemberId>, updates: &[foca::Member<MemberId>]) -> Bytes {
    let mut data = BytesMut::with_capacity(MAX_DATAGRAM).limit(MAX_DATAGRAM);
    let fits = PostcardCodec.encode_header(header, &mut data).is_ok();
    debug_assert!(fits, "the header does not fit {MAX_DATAGRAM} bytes");
    if !matches!(header.message, Message::Announce | Message::TurnUndead) {
        let count_at = data.get_ref().len();
        data.put_u16(0);
        let mut count: u16 = 0;
        for member in updates {
            let end = data.get_ref().len();
            if PostcardCodec.encode_member(member, &mut data).is_err() {
                data.get_mut().truncate(end);
                break;
            }
            count += 1;
        }
        data.get_mut()[count_at..count_at + 2].copy_from_slice(&count.to_be_bytes());
    }
    data.into_inner().freeze()
}
