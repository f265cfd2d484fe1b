//! Leases: a balancer's own lease, the leader that grants leases, and the view of which balancers hold one.

mod granter;
mod holders;
mod messages;
mod own_lease;
mod peer_grants;
mod settings;

pub use granter::{GRANT_INTERVAL, LeaseGranter};
pub use holders::LeaseHolders;
pub use messages::{LeaseGrant, LeaseRequest, TimeInterval};
pub use own_lease::{Lease, LeaseState};
pub use settings::{LeaseSettings, MAX_ORPHAN_QUORUM, RATE_ERROR, REQUESTS_PER_LEASE};
