//! What goes out of a membership: datagrams, timers, and who came and went.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::Micros;
use crate::roster::Member;
use crate::wire::Id;

/// What the owner is to do, or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Its bytes, at most [`crate::MAX_DATAGRAM`].
        datagram: Bytes,
    },
    /// Hand the timer to [`crate::Membership::handle_timer`] after this span, once.
    Timer {
        /// How long from now.
        after: Micros,
        /// What to hand back.
        timer: Timer,
    },
    /// This member is in.
    Up(Member),
    /// This member is out.
    Down(Member, DownReason),
    /// This one found itself suspected and said that it lives.
    Refuted,
    /// This one found itself declared down, or an earlier life's ghost in its place, and goes on as this life.
    Renewed(Member),
    /// A later life of this number is in: this one has fallen silent for good. An owner that knows it is the later one (its
    /// clock went back by more than the last start was ago) makes a new membership with a life beyond this.
    Replaced(u64),
}

/// Why a member is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownReason {
    /// It answered neither this one nor those asked to try, and did not say that it lives.
    Unresponsive,
    /// Others say so.
    Gossip,
    /// It said that it leaves.
    Left,
    /// A later life of its number is in.
    Superseded,
}

/// Something that is due later. Means something only to the membership that asked for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timer {
    pub(crate) due: Micros,
    pub(crate) what: What,
}

/// What is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum What {
    Foca(foca::Timer<Id>),
    /// Ask for those who are not in view. Only the latest round counts.
    Seek(u64),
    /// Tell an accused once more, or let foca declare it down.
    Accused {
        id: Id,
        swim_incarnation: foca::Incarnation,
        reminders: u8,
        /// What foca set for it, if this member's own probe failed.
        verdict: Option<foca::Timer<Id>>,
    },
}
