//! What balancers say to one another about the log.
use crate::{
    NodeId, Revision,
    segment::{Exchange, Item, Segment},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One message; opaque to the owner, at most [`crate::MAX_MESSAGE_BYTES`] in postcard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message<E>(pub(crate) Said<E>);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Said<E> {
    /// How far the sender is, who leads as far as it knows, and the newest items if they fit.
    Rumour {
        revision: Revision,
        leader: Option<Leader>,
        first: Revision,
        items: Vec<Item<E>>,
    },
    /// The sender has all up to here and asks for more.
    Ask {
        have: Revision,
    },
    Items {
        first: Revision,
        items: Vec<Item<E>>,
    },
    Snapshot(Image),
    Propose {
        name: u64,
        from: NodeId,
        after: Revision,
        hops: u8,
        what: What<E>,
    },
    /// Asks for the name of the receiver's store.
    WhichStore,
    StoreIs {
        generation: u64,
    },
    /// A member asks whether it may vote.
    MayI(Memory),
    Memory {
        mine: Memory,
        of_you: OfYou,
    },
    Vote(Frame),
    Piece(crate::pieces::Piece),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Leader {
    pub(crate) segment: u32,
    pub(crate) round: u32,
    pub(crate) number: NodeId,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum What<E> {
    Entry(E),
    Exchange(Exchange),
}

/// A snapshot of the owner's state with what the log itself needs to go on from there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Image {
    pub(crate) revision: Revision,
    pub(crate) at: u64,
    pub(crate) segment: Segment,
    pub(crate) bytes: Bytes,
}

/// What a balancer knows of its own past.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Memory {
    pub(crate) generation: u64,
    /// Whether it may have voted, or knows of anything decided.
    pub(crate) any: bool,
    /// Durable writes of its store.
    pub(crate) writes: u64,
}

/// What a balancer knows of the past of whom it answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OfYou {
    /// The most writes heard of.
    pub(crate) writes: u64,
    /// The store that said at the founding that it had no memory.
    pub(crate) founded: Option<u64>,
}

/// A part of what one voter says to another, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Frame {
    pub(crate) segment: u32,
    pub(crate) writes: u64,
    pub(crate) generation: u64,
    /// Fleet time as the sender knows it: the next leader goes on from there, whenever it learns of the last stamp.
    pub(crate) fleet_time: u64,
    pub(crate) body: crate::link::Body,
}
