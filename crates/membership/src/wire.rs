//! Datagrams: what is read of one before foca sees it, and the few that are written here.

use bytes::{BufMut, Bytes, BytesMut};
use foca::{Codec, Header, Identity, Message, PostcardCodec};
use serde::{Deserialize, Serialize};

use crate::MAX_DATAGRAM;
use crate::counters::DatagramError;
use crate::roster::Roster;

/// Names a member on the wire; where it is reached stands on the roster and is never taken from a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Id {
    pub(crate) number: u16,
    pub(crate) incarnation: u64,
}

impl Identity for Id {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(Self { number: self.number, incarnation: self.incarnation.checked_add(1)? })
    }

    fn addr(&self) -> u16 {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

/// What a datagram says.
#[derive(Debug)]
pub(crate) struct Heard {
    pub(crate) header: Header<Id>,
    pub(crate) news: Vec<foca::Member<Id>>,
}

/// Reads a datagram to its end: nothing of one that is damaged is believed.
pub(crate) fn read(mut data: &[u8]) -> Result<Heard, DatagramError> {
    if data.len() > MAX_DATAGRAM {
        return Err(DatagramError::TooLong);
    }
    let header: Header<Id> = PostcardCodec.decode_header(&mut data).map_err(|_| DatagramError::Garbled)?;
    let mut news = Vec::new();
    if let Some((count, rest)) = data.split_first_chunk() {
        data = rest;
        for _ in 0..u16::from_be_bytes(*count) {
            news.push(PostcardCodec.decode_member(&mut data).map_err(|_| DatagramError::Garbled)?);
        }
    }
    if data.is_empty() { Ok(Heard { header, news }) } else { Err(DatagramError::Garbled) }
}

/// The sender's mark on a datagram that foca wrote.
pub(crate) fn header(mut data: &[u8]) -> Option<Header<Id>> {
    PostcardCodec.decode_header(&mut data).ok()
}

/// Writes a datagram; what does not fit is left out.
pub(crate) fn write(header: &Header<Id>, news: &[foca::Member<Id>]) -> Bytes {
    let mut data = BytesMut::with_capacity(MAX_DATAGRAM).limit(MAX_DATAGRAM);
    let fits = PostcardCodec.encode_header(header, &mut data).is_ok();
    debug_assert!(fits, "a header takes tens of bytes");
    if !matches!(header.message, Message::Announce | Message::TurnUndead) {
        let tally = data.get_ref().len();
        data.put_u16(0);
        let mut count: u16 = 0;
        for member in news {
            let end = data.get_ref().len();
            if PostcardCodec.encode_member(member, &mut data).is_err() {
                data.get_mut().truncate(end);
                break;
            }
            count += 1;
        }
        data.get_mut()[tally..tally + 2].copy_from_slice(&count.to_be_bytes());
    }
    data.into_inner().freeze()
}

/// Whether every member that the header names is on the roster.
pub(crate) fn rostered(header: &Header<Id>, roster: &Roster) -> bool {
    let third = match &header.message {
        Message::PingReq { target, .. } | Message::IndirectAck { target, .. } => Some(target),
        Message::IndirectPing { origin, .. } | Message::ForwardedAck { origin, .. } => Some(origin),
        _ => None,
    };
    roster.has(header.src.number) && third.is_none_or(|id| roster.has(id.number))
}
