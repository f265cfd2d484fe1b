//! What operators ask of the ledger.

use super::{Ledger, LedgerEntry};
use crate::counting::KINDS;
use crate::lease::TimeInterval;
use crate::version::Version;
use crate::{FleetMicros, Micros};
use serde::Serialize;

/// What a balancer acts on as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CurrentActivity {
    /// Who.
    pub number: u16,
    /// In which life.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// On what.
    pub version: Version,
    /// Since when.
    pub since: TimeInterval,
    /// Known until then; later it may have acted on anything.
    pub known_until: FleetMicros,
    /// Reports of this life that were made and not heard.
    pub missing: u64,
    /// Reports of this life that came twice.
    pub repeated: u64,
}

/// What a balancer did under a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PastActivity {
    /// Who.
    pub number: u16,
    /// In which life.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// It began within this.
    pub from: TimeInterval,
    /// It ended, or was last told of, within this.
    pub to: TimeInterval,
    /// By kind, over the whole of the span.
    pub counts: [u64; KINDS],
    /// Of its changes of topology.
    pub digest: u64,
    /// Whether it surely was in the time asked for, and not only maybe.
    pub certain: bool,
}

/// How far a balancer's account goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct KnownUntil {
    /// The life that told last.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// What was told reaches to here at least; of a killed balancer nothing later is ever said.
    pub until: FleetMicros,
}

/// A balancer that is behind, or silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LaggingNode {
    /// Who.
    pub number: u16,
    /// How many revisions it is behind the newest that anybody acts on, at the time it was last heard of.
    pub revisions: u64,
    /// For how long others have surely acted on something newer.
    pub behind_for: Micros,
    /// For how long nothing was heard of it; nothing if never.
    pub silent_for: Option<Micros>,
}

impl Ledger {
    /// Who acts on what, as last told.
    pub fn current_activity(&self) -> Vec<CurrentActivity> {
        let told = self.accounts.iter().filter_map(|it| it.last());
        told.map(|(incarnation, entry)| CurrentActivity {
            number: entry.number,
            incarnation: entry.incarnation,
            version: entry.piece.version,
            since: entry.piece.from,
            known_until: incarnation.at.earliest,
            missing: incarnation.missing(),
            repeated: incarnation.repeated,
        })
        .collect()
    }

    /// Who acted on a version between two points of fleet time.
    pub fn activity_under(&self, version: &Version, from: FleetMicros, to: FleetMicros) -> Vec<PastActivity> {
        let entries = self.accounts.iter().flat_map(|it| it.entries());
        let maybe = entries.filter(|LedgerEntry { piece, .. }| {
            piece.version == *version && piece.from.earliest <= to && from <= piece.to.latest
        });
        maybe
            .map(|LedgerEntry { number, incarnation, piece, .. }| PastActivity {
                number: *number,
                incarnation: *incarnation,
                from: piece.from,
                to: piece.to,
                counts: piece.counts,
                digest: piece.digest,
                certain: piece.from.latest <= to && from <= piece.to.earliest,
            })
            .collect()
    }

    /// Until when a balancer's doings are known; nothing if it never told any.
    pub fn known_until(&self, number: u16) -> Option<KnownUntil> {
        let incarnation = self.accounts.get(usize::from(number))?.living()?;
        Some(KnownUntil { incarnation: incarnation.incarnation, until: incarnation.at.earliest })
    }

    /// Who is more than `revisions` behind, or behind or silent for longer than `time`. `current_activity` is fleet time.
    pub fn lagging_nodes(&self, now: FleetMicros, revisions: u64, time: Micros) -> Vec<LaggingNode> {
        let numbered = self.accounts.iter().zip(0u16..);
        let all = numbered.map(|(account, number)| {
            let Some((incarnation, entry)) = account.last() else {
                return LaggingNode { number, revisions: 0, behind_for: 0, silent_for: None };
            };
            let (revisions, since) = self.behind(&entry.piece.version);
            let behind_for = since.map_or(0, |it| now.saturating_sub(it));
            LaggingNode {
                number,
                revisions,
                behind_for,
                silent_for: Some(now.saturating_sub(incarnation.at.earliest)),
            }
        });
        all.filter(|it| {
            it.revisions > revisions
                || it.behind_for > time
                || it.silent_for.is_none_or(|silent| silent > time)
        })
        .collect()
    }

    /// How far a version is behind the newest, and since when others have surely had a newer one.
    fn behind(&self, version: &Version) -> (u64, Option<FleetMicros>) {
        let newest = self.accounts.iter().filter_map(|it| it.last());
        let revisions = newest.map(|(_, it)| version.behind(&it.piece.version)).max().unwrap_or(0);
        if revisions == 0 {
            return (0, None);
        }
        let entries = self.accounts.iter().flat_map(|it| it.entries());
        let newer = entries.filter(|it| version.behind(&it.piece.version) > 0);
        (revisions, newer.map(|it| it.piece.from.latest).min())
    }
}
