//! Sizes, counts and times that bound what the log does.
use crate::types::Micros;

/// Interval at which the owner calls [`crate::Agreement::tick`], in microseconds: a fraction of the time an
/// election may take.
pub const TICK_INTERVAL_US: Micros = 50_000;
/// Longest entry, in bytes of postcard: several times a grant to 300 balancers.
pub const MAX_ENTRY_BYTES: usize = 32 * 1024;
/// Longest message handed to the owner, in bytes of postcard: fits a datagram on any path.
pub const MAX_MESSAGE_BYTES: usize = 1_100;
/// Largest snapshot, in bytes: bounds the memory of a balancer that receives one.
pub const MAX_SNAPSHOT_BYTES: usize = 2 * 1024 * 1024;
/// Pending proposals of one balancer.
pub const MAX_PENDING_PROPOSALS: usize = 64;
/// How long a proposal is retried, in microseconds: longer than an election.
pub const PROPOSAL_TIMEOUT_US: Micros = 10_000_000;
/// Fewest voters of a quorum group.
pub(crate) const MIN_VOTERS: usize = 3;
/// Most voters of a quorum group.
pub(crate) const MAX_VOTERS: usize = 7;
