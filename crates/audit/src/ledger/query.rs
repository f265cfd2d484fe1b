//! Queries on the ledger for operators.

use super::Ledger;
use crate::activity::{COUNT_KINDS, LedgerEntry};
use crate::lease::TimeInterval;
use crate::version::Version;
use crate::{FleetMicros, Micros};
use serde::Serialize;

/// The version that a balancer acts on, according to its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct CurrentActivity {
    /// The balancer.
    pub number: u16,
    /// The balancer's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The version that the balancer acted on.
    pub version: Version,
    /// When the balancer began to act on that version.
    pub since: TimeInterval,
    /// The time up to which the version is known. After it the balancer may have acted on any version.
    pub known_until: FleetMicros,
    /// Number of reports of this incarnation that were sent and not received.
    pub missing: u64,
    /// Number of duplicate reports of this incarnation.
    pub repeated: u64,
}

/// The activity of a balancer in one period under a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PastActivity {
    /// The balancer.
    pub number: u16,
    /// The balancer's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// When the period began.
    pub from: TimeInterval,
    /// When the period ended, or was last reported.
    pub to: TimeInterval,
    /// Counts by [`CountKind`](crate::activity_counter::CountKind) over the whole period.
    pub counts: [u64; COUNT_KINDS],
    /// Digest of the topology changes of the period.
    pub digest: u64,
    /// Whether the period certainly overlaps the requested time. If not, it possibly does.
    pub certain: bool,
}

/// The time up to which the activity of a balancer is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct KnownUntil {
    /// The incarnation that reported last.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The reports cover at least the time up to this one. A killed balancer never reports its later activity.
    pub until: FleetMicros,
}

/// A balancer that lags, or that has stopped reporting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LaggingBalancer {
    /// The balancer.
    pub number: u16,
    /// Lag in revisions behind the newest version that any balancer acts on, as of its last report.
    pub revisions: u64,
    /// How long other balancers have certainly acted on a newer version.
    pub behind_for: Micros,
    /// Time since its last report; `None` if it never reported.
    pub silent_for: Option<Micros>,
}

impl Ledger {
    /// The version that each balancer acts on, according to its last report.
    pub fn current_activity(&self) -> Vec<CurrentActivity> {
        let latest = self.accounts.iter().filter_map(|it| it.latest());
        latest
            .map(|(incarnation, entry)| CurrentActivity {
                number: entry.number,
                incarnation: entry.incarnation,
                version: entry.period.version,
                since: entry.period.from,
                known_until: incarnation.at.earliest,
                missing: incarnation.missing(),
                repeated: incarnation.repeated,
            })
            .collect()
    }

    /// The periods in which balancers acted on a version between two points of fleet time.
    pub fn activity_under(&self, version: &Version, from: FleetMicros, to: FleetMicros) -> Vec<PastActivity> {
        let entries = self.accounts.iter().flat_map(|it| it.entries());
        let overlapping = entries.filter(|LedgerEntry { period, .. }| {
            period.version == *version && period.from.earliest <= to && from <= period.to.latest
        });
        overlapping
            .map(|LedgerEntry { number, incarnation, period, .. }| PastActivity {
                number: *number,
                incarnation: *incarnation,
                from: period.from,
                to: period.to,
                counts: period.counts,
                digest: period.digest,
                certain: period.from.latest <= to && from <= period.to.earliest,
            })
            .collect()
    }

    /// The time up to which the activity of a balancer is known, or `None` if it never reported.
    pub fn known_until(&self, number: u16) -> Option<KnownUntil> {
        let incarnation = self.accounts.get(usize::from(number))?.latest_incarnation()?;
        Some(KnownUntil { incarnation: incarnation.incarnation, until: incarnation.at.earliest })
    }

    /// The balancers that lag by more than `revisions`, or that lag or have been silent for longer than `time`. `now`
    /// is in fleet time.
    pub fn lagging_nodes(&self, now: FleetMicros, revisions: u64, time: Micros) -> Vec<LaggingBalancer> {
        let numbered = self.accounts.iter().zip(0u16..);
        let all = numbered.map(|(account, number)| {
            let Some((incarnation, entry)) = account.latest() else {
                return LaggingBalancer { number, revisions: 0, behind_for: 0, silent_for: None };
            };
            let (revisions, since) = self.lag(&entry.period.version);
            let behind_for = since.map_or(0, |since| now.saturating_sub(since));
            LaggingBalancer {
                number,
                revisions,
                behind_for,
                silent_for: Some(now.saturating_sub(incarnation.at.earliest)),
            }
        });
        let lags = |node: &LaggingBalancer| node.revisions > revisions || node.behind_for > time;
        let silent = |node: &LaggingBalancer| node.silent_for.is_none_or(|silent_for| silent_for > time);
        all.filter(|node| lags(node) || silent(node)).collect()
    }

    /// The lag of a version in revisions, and the time since which other balancers have certainly acted on a newer one.
    fn lag(&self, version: &Version) -> (u64, Option<FleetMicros>) {
        let newest = self.accounts.iter().filter_map(|it| it.latest());
        let revisions = newest.map(|(_, it)| version.lag_behind(&it.period.version)).max().unwrap_or(0);
        if revisions == 0 {
            return (0, None);
        }
        let entries = self.accounts.iter().flat_map(|it| it.entries());
        let newer = entries.filter(|it| version.lag_behind(&it.period.version) > 0);
        (revisions, newer.map(|it| it.period.from.latest).min())
    }
}
