//! The identity of a member on the wire, and the SWIM incarnation that marks a member as left.

use foca::{Identity, Incarnation};
use serde::{Deserialize, Serialize};

/// The SWIM incarnation in updates about a member that left. No live member reaches it.
pub(crate) const LEAVING: Incarnation = Incarnation::MAX;

/// Identifies a member on the wire. The member's address comes from the roster, never from a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberId {
    pub(crate) number: u16,
    pub(crate) incarnation: u64,
}

impl Identity for MemberId {
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
