//! The roster: the numbers that may be members, and their addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foca::{Header, Message};

use crate::identity::MemberId;

/// A member in one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's number on the roster.
    pub number: u16,
    /// The member's incarnation. A higher one replaces a lower one.
    pub incarnation: u64,
    /// The address for datagrams.
    pub address: SocketAddr,
    /// The member's zone.
    pub zone: u16,
}

/// The address and zone of one number on the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSlot {
    /// The address of the process with this number.
    pub address: SocketAddr,
    /// The zone of that process.
    pub zone: u16,
}

/// All possible members by number.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    slots: BTreeMap<u16, MemberSlot>,
}

impl Roster {
    pub(crate) fn contains(&self, number: u16) -> bool {
        self.slots.contains_key(&number)
    }

    /// Returns whether every member that a datagram's header names is on the roster.
    pub(crate) fn contains_all(&self, header: &Header<MemberId>) -> bool {
        let other_member = match &header.message {
            Message::PingReq { target, .. } | Message::IndirectAck { target, .. } => Some(target),
            Message::IndirectPing { origin, .. } | Message::ForwardedAck { origin, .. } => Some(origin),
            _ => None,
        };
        self.contains(header.src.number) && other_member.is_none_or(|id| self.contains(id.number))
    }

    pub(crate) fn member(&self, id: MemberId) -> Option<Member> {
        let slot = self.slots.get(&id.number)?;
        Some(Member {
            number: id.number,
            incarnation: id.incarnation,
            address: slot.address,
            zone: slot.zone,
        })
    }

    pub(crate) fn number_at(&self, address: SocketAddr) -> Option<u16> {
        self.slots.iter().find(|(_, slot)| slot.address == address).map(|(&number, _)| number)
    }

    pub(crate) fn numbers(&self) -> impl Iterator<Item = u16> {
        self.slots.keys().copied()
    }
}

impl FromIterator<(u16, MemberSlot)> for Roster {
    fn from_iter<I: IntoIterator<Item = (u16, MemberSlot)>>(slots: I) -> Self {
        Self { slots: slots.into_iter().collect() }
    }
}
