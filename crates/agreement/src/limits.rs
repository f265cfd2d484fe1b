//! The limits of the log: sizes, counts and times.
use crate::types::Micros;

/// Interval at which the owner calls [`crate::Agreement::tick`], in microseconds: a fraction of the duration
/// of an election.
pub const TICK_INTERVAL_US: Micros = 50_000;
/// Maximum size of an entry encoded in postcard, in bytes: several times the size of a grant to 300 balancers.
pub const MAX_ENTRY_BYTES: usize = 32 * 1024;
/// Maximum size of a message encoded in postcard, in bytes: fits one datagram on any network path.
pub const MAX_MESSAGE_BYTES: usize = 1_100;
/// Maximum size of a snapshot, in bytes: limits the memory of a balancer that receives one.
pub const MAX_SNAPSHOT_BYTES: usize = 2 * 1024 * 1024;
/// Maximum number of pending proposals of one balancer.
pub const MAX_PENDING_PROPOSALS: usize = 64;
/// Time for which a proposal is retried, in microseconds: longer than an election.
pub const PROPOSAL_TIMEOUT_US: Micros = 10_000_000;
/// Minimum number of voters of a quorum group.
pub(crate) const MIN_VOTERS: usize = 3;
/// Maximum number of voters of a quorum group.
pub(crate) const MAX_VOTERS: usize = 7;
