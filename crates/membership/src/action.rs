//! The outputs of a membership: datagrams, timers and changes of the member list.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::Micros;
use crate::identity::MemberId;
use crate::roster::Member;

/// An action that the owner carries out, or an event that it is notified of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The destination.
        to: SocketAddr,
        /// The bytes to send, at most [`crate::MAX_DATAGRAM`].
        datagram: Bytes,
    },
    /// Call [`crate::Membership::handle_timer`] with the timer, once.
    Timer {
        /// The delay from now.
        after: Micros,
        /// The timer to pass.
        timer: Timer,
    },
    /// A member is up.
    Up(Member),
    /// A member is down.
    Down(Member, DownReason),
    /// Other members suspected this one, and it refuted the suspicion.
    Refuted,
    /// This member was declared down, or found a higher stale incarnation of its number, and continues under
    /// the incarnation given here.
    Renewed(Member),
    /// A later incarnation of this number is up, whose value is given here. This member stops: it ignores all
    /// further inputs. If the owner knows that its own process is the later one (its clock went back by more
    /// than the time since the last start), it creates a membership with an incarnation above the given one.
    Replaced(u64),
}

/// The reason why a member is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownReason {
    /// The member answered neither direct nor indirect probes, and did not refute the suspicion.
    Unresponsive,
    /// Other members declared the member down.
    Gossip,
    /// The member left.
    Left,
    /// A later incarnation of the member's number is up.
    Superseded,
}

/// A timer. Its content is opaque to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timer {
    pub(crate) due: Micros,
    pub(crate) kind: TimerKind,
}

/// The purpose of a timer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TimerKind {
    /// A timer of foca.
    Foca(foca::Timer<MemberId>),
    /// The start of the next rejoin round. Timers of rounds before the latest are ignored.
    Rejoin { round: u64 },
    /// The next step of a suspicion.
    Suspicion(SuspicionStep),
}

/// The state of a suspicion that this member raised. The next step notifies the suspect, or lets foca
/// declare it down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SuspicionStep {
    pub(crate) id: MemberId,
    pub(crate) swim_incarnation: foca::Incarnation,
    /// The number of notices left to send.
    pub(crate) notices_left: u8,
    /// The timer of foca that declares the suspect down; `None` unless this member's own probe failed.
    pub(crate) verdict: Option<foca::Timer<MemberId>>,
}
