//! The datagram: a version, its sender's life and number, then four bytes for each server there is something to say of.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0 | version, 1 |
//! | 1, 2 | life: the sender's start, in quarters of a second, modulo 2^16, big-endian |
//! | 3, 4 | number of this report within that life, modulo 2^16, big-endian |
//! | then 4 each | a server's short name (2, big-endian); requests held in the mean, in sixteenths (1); answered and not answered, at most 15 of each (4 bits, 4 bits) |

use crate::Micros;
use decide::api::EndpointId;
use fnv::FnvHasher;
use std::hash::Hasher;
use thiserror::Error;

/// The version that this build speaks, and the only one that it reads.
pub const VERSION: u8 = 1;
/// The longest datagram that the platform carries, in bytes.
pub const MAX_BYTES: usize = 256;
const HEAD: usize = 5;
const ENTRY: usize = 4;
/// The most servers that one report names: what fits. The busiest go first.
pub const MAX_ENTRIES: usize = (MAX_BYTES - HEAD) / ENTRY;
/// Steps of the byte for requests held, in one request.
const STEPS: f64 = 16.0;
/// The most that half a byte counts to.
const MOST_COUNTED: u32 = 15;

/// A server's name on the wire. Two servers may share one; then both are believed to hold what either does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Short(pub u16);

impl From<EndpointId> for Short {
    fn from(id: EndpointId) -> Self {
        // Every bit of the id counts: ids may be addresses that differ in few of them.
        let mut hasher = FnvHasher::default();
        hasher.write(&id.0.to_be_bytes());
        Self(hasher.finish() as u16)
    }
}

/// Which of a sender's reports this is. Guards against those that come late, twice, or from a former life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// The sender's start.
    pub incarnation: u16,
    /// The report's number since then.
    pub number: u16,
}

impl Stamp {
    /// The first stamp of a life that began at `unix`.
    #[must_use]
    pub fn first(unix: Micros) -> Self {
        Self { incarnation: (unix / 250_000) as u16, number: 0 }
    }
    /// The stamp after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self { number: self.number.wrapping_add(1), ..self }
    }
    /// Whether this was given later than `other`, by the shorter way round.
    #[must_use]
    pub fn after(self, other: Self) -> bool {
        let later = |a: u16, b: u16| (a.wrapping_sub(b) as i16) > 0;
        later(self.incarnation, other.incarnation)
            || (self.incarnation == other.incarnation && later(self.number, other.number))
    }
}

/// What a balancer's requests came to at a server since its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Word {
    /// Held in the mean.
    pub held: f64,
    /// Answered.
    pub answered: u32,
    /// Failed, turned away or left unanswered.
    pub failed: u32,
}

/// One report.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Which it is.
    pub stamp: Stamp,
    /// What it says of servers.
    pub words: Vec<(Short, Word)>,
}

/// A datagram that is no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unreadable {
    /// Another version than [`VERSION`].
    #[error("version {0}, not {VERSION}")]
    Version(u8),
    /// Too short, too long, or cut within an entry.
    #[error("{0} bytes are no whole report")]
    Length(usize),
}

impl Report {
    /// The datagram; servers beyond [`MAX_ENTRIES`] are left out, the least busy first.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let word = |(name, word): &(Short, Word)| {
            let counts = [word.answered, word.failed].map(|n| n.min(MOST_COUNTED) as u8);
            (*name, (word.held * STEPS).round() as u8, counts[0] << 4 | counts[1])
        };
        let mut words: Vec<(Short, u8, u8)> = self.words.iter().map(word).collect();
        words.retain(|(_, held, counts)| (*held, *counts) != (0, 0));
        words.sort_by_key(|(name, held, _)| (u8::MAX - held, *name));
        words.truncate(MAX_ENTRIES);
        let mut out = Vec::with_capacity(HEAD + ENTRY * words.len());
        out.push(VERSION);
        out.extend(self.stamp.incarnation.to_be_bytes());
        out.extend(self.stamp.number.to_be_bytes());
        for (name, held, counts) in words {
            out.extend(name.0.to_be_bytes());
            out.extend([held, counts]);
        }
        out
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// When it is none of this version; it then says nothing.
    pub fn decode(datagram: &[u8]) -> Result<Self, Unreadable> {
        let length = Unreadable::Length(datagram.len());
        let (&version, rest) = datagram.split_first().ok_or(length)?;
        if version != VERSION {
            return Err(Unreadable::Version(version));
        }
        let (head, entries) = rest.split_first_chunk::<{ HEAD - 1 }>().ok_or(length)?;
        if datagram.len() > MAX_BYTES || entries.len() % ENTRY != 0 {
            return Err(length);
        }
        let pair = |high, low| u16::from_be_bytes([high, low]);
        let stamp = Stamp { incarnation: pair(head[0], head[1]), number: pair(head[2], head[3]) };
        let word = |e: &[u8]| {
            let (held, counts) = (f64::from(e[2]) / STEPS, u32::from(e[3]));
            (Short(pair(e[0], e[1])), Word { held, answered: counts >> 4, failed: counts & MOST_COUNTED })
        };
        Ok(Self { stamp, words: entries.chunks_exact(ENTRY).map(word).collect() })
    }
}
