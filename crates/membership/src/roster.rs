//! Who may be a member: the numbers of the fleet file, where each is reached, and lives of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::wire::Id;

/// One life of a number of the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its number on the roster.
    pub number: u16,
    /// Which life of this number it is; a higher one replaces it.
    pub incarnation: u64,
    /// Where its datagrams go.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: u16,
}

/// A place on the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSlot {
    /// Where whoever has this number is reached.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: u16,
}

/// All who may be members, by number.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    seats: BTreeMap<u16, MemberSlot>,
}

impl Roster {
    pub(crate) fn has(&self, number: u16) -> bool {
        self.seats.contains_key(&number)
    }

    pub(crate) fn member(&self, id: Id) -> Option<Member> {
        let seat = self.seats.get(&id.number)?;
        Some(Member {
            number: id.number,
            incarnation: id.incarnation,
            address: seat.address,
            zone: seat.zone,
        })
    }

    pub(crate) fn at(&self, address: SocketAddr) -> Option<u16> {
        self.seats.iter().find(|(_, seat)| seat.address == address).map(|(&number, _)| number)
    }

    pub(crate) fn numbers(&self) -> impl Iterator<Item = u16> {
        self.seats.keys().copied()
    }
}

impl FromIterator<(u16, MemberSlot)> for Roster {
    fn from_iter<I: IntoIterator<Item = (u16, MemberSlot)>>(seats: I) -> Self {
        Self { seats: seats.into_iter().collect() }
    }
}
