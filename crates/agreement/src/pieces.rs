//! Messages too long for a datagram, in pieces that the receiver asks for.
//!
//! The sender sends the first few; the receiver asks for what is missing, so that loss costs one question and the rate is the
//! receiver's. What is half built, and what is kept to be asked for, has bounds; beyond them the oldest goes.
use crate::{MAX_SNAPSHOT_BYTES, Micros, NodeId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Bytes of the message in one piece; with its head below [`crate::MAX_MESSAGE_BYTES`].
pub const PIECE_BYTES: usize = 1_000;
/// Pieces of one message: a whole snapshot with its head.
pub const MOST_PIECES: u32 = (MAX_SNAPSHOT_BYTES / PIECE_BYTES) as u32 + 64;
/// Messages half built at once; each is from another peer as a rule.
pub const HALF_BUILT: usize = 16;
/// Bytes half built at once: a few snapshots.
pub const HALF_BUILT_BYTES: usize = 4 * MAX_SNAPSHOT_BYTES;
/// Messages kept for receivers to ask for.
pub const KEPT: usize = 64;
/// Bytes kept for receivers to ask for; the pieces share the message's memory.
pub const KEPT_BYTES: usize = 8 * MAX_SNAPSHOT_BYTES;
/// Pieces asked for at once.
const ASKED: usize = 64;
/// Pieces sent unasked.
const UNASKED: u32 = 16;
/// Pieces sent between two ticks to all together: about 5 MB a second.
const PER_TICK: usize = 256;
/// When a question for pieces is repeated, in microseconds.
const REPEAT_US: Micros = 100_000;
/// When a message of which nothing more comes is dropped, in microseconds.
const STALE_US: Micros = 3_000_000;

/// One piece, or a question for some.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Piece {
    /// Piece `index` of `count`.
    Part {
        /// Names the message at its sender.
        id: u64,
        /// Pieces of the message.
        count: u32,
        /// Which one this is, from 0.
        index: u32,
        /// Its bytes.
        bytes: Bytes,
    },
    /// The receiver has not got these.
    Want {
        /// Names the message at its sender.
        id: u64,
        /// Which pieces.
        missing: Vec<u32>,
    },
}

struct Half {
    from: NodeId,
    id: u64,
    parts: Vec<Option<Bytes>>,
    got: usize,
    bytes: usize,
    due: usize,
    heard: Micros,
    asked: Micros,
}

/// Both ends of what goes in pieces.
pub struct Pieces {
    next: u64,
    kept: VecDeque<(NodeId, u64, Bytes)>,
    half: VecDeque<Half>,
    done: VecDeque<(NodeId, u64)>,
    sent: usize,
    ready: Vec<(NodeId, Piece)>,
}

impl Pieces {
    /// `first` names the first message sent; drawn, so that two lives do not mix.
    pub fn new(first: u64) -> Self {
        Pieces {
            next: first,
            kept: VecDeque::new(),
            half: VecDeque::new(),
            done: VecDeque::new(),
            sent: 0,
            ready: Vec::new(),
        }
    }

    /// Takes a message to send; one longer than [`MOST_PIECES`] is dropped.
    pub fn send(&mut self, to: NodeId, message: Bytes) {
        let count = message.len().div_ceil(PIECE_BYTES) as u64;
        if count == 0 || count > u64::from(MOST_PIECES) {
            return;
        }
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        (0..UNASKED.min(count as u32)).for_each(|index| self.part(to, id, &message, index));
        self.kept.push_back((to, id, message));
        while self.kept.len() > KEPT || self.kept.iter().map(|kept| kept.2.len()).sum::<usize>() > KEPT_BYTES
        {
            self.kept.pop_front();
        }
    }

    fn part(&mut self, to: NodeId, id: u64, message: &Bytes, index: u32) {
        let start = index as usize * PIECE_BYTES;
        if start >= message.len() || self.sent >= PER_TICK {
            return;
        }
        self.sent += 1;
        let bytes = message.slice(start..(start + PIECE_BYTES).min(message.len()));
        let count = message.len().div_ceil(PIECE_BYTES) as u32;
        self.ready.push((to, Piece::Part { id, count, index, bytes }));
    }

    /// Takes a piece that came in; gives the message once it is whole.
    pub fn hear(&mut self, now: Micros, from: NodeId, piece: Piece) -> Option<Vec<u8>> {
        match piece {
            Piece::Want { id, missing } => {
                let kept = self.kept.iter().find(|kept| kept.0 == from && kept.1 == id)?;
                let message = kept.2.clone();
                missing.iter().take(ASKED).for_each(|index| self.part(from, id, &message, *index));
                None
            }
            Piece::Part { id, count, index, bytes } => {
                let fits = count <= MOST_PIECES && index < count && bytes.len() <= PIECE_BYTES;
                if !fits || self.done.contains(&(from, id)) {
                    return None;
                }
                let place = self.place(now, from, id, count);
                let half = &mut self.half[place];
                half.take(now, index, bytes);
                if half.got == half.parts.len() {
                    let whole = self.half.remove(place)?;
                    self.finished(from, id);
                    return Some(whole.parts.into_iter().flatten().flatten().collect());
                }
                if half.got >= half.due {
                    half.ask(now, &mut self.ready);
                }
                self.bound();
                None
            }
        }
    }

    fn place(&mut self, now: Micros, from: NodeId, id: u64, count: u32) -> usize {
        if let Some(place) = self.half.iter().position(|half| half.from == from && half.id == id) {
            return place;
        }
        let parts = vec![None; count as usize];
        let due = UNASKED.min(count) as usize;
        self.half.push_back(Half { from, id, parts, got: 0, bytes: 0, due, heard: now, asked: now });
        if self.half.len() > HALF_BUILT {
            self.half.pop_front();
        }
        self.half.len() - 1
    }

    fn bound(&mut self) {
        while self.half.iter().map(|half| half.bytes).sum::<usize>() > HALF_BUILT_BYTES {
            self.half.pop_front();
        }
    }

    fn finished(&mut self, from: NodeId, id: u64) {
        self.done.push_back((from, id));
        if self.done.len() > 4 * KEPT {
            self.done.pop_front();
        }
    }

    /// Drops what is stale and asks again.
    pub fn tick(&mut self, now: Micros) {
        self.sent = 0;
        self.half.retain(|half| now < half.heard + STALE_US);
        for half in &mut self.half {
            if now >= half.asked + REPEAT_US {
                half.ask(now, &mut self.ready);
            }
        }
    }

    /// What is to be sent.
    pub fn take(&mut self) -> Vec<(NodeId, Piece)> {
        std::mem::take(&mut self.ready)
    }
}

impl Half {
    fn take(&mut self, now: Micros, index: u32, bytes: Bytes) {
        if let Some(part) = self.parts.get_mut(index as usize)
            && part.is_none()
        {
            self.got += 1;
            self.bytes += bytes.len();
            self.heard = now;
            *part = Some(bytes);
        }
    }

    fn ask(&mut self, now: Micros, ready: &mut Vec<(NodeId, Piece)>) {
        let missing = self.parts.iter().enumerate().filter(|part| part.1.is_none());
        let missing: Vec<u32> = missing.take(ASKED).map(|part| part.0 as u32).collect();
        self.asked = now;
        self.due = self.got + missing.len();
        ready.push((self.from, Piece::Want { id: self.id, missing }));
    }
}
