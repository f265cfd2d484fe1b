//! The decisions of the balancer, one file each, with the constants at the top of the file. `docs/design.md`
//! gives the measurements behind the constants.
//!
//! [`Router`] receives events and combines the decisions. It sends a read to one of the endpoints that the
//! key is assigned to. After a miss, the fetch from the origin needs a permit from the warm-up limiter.

mod attempts;
mod context;
mod dispatcher;
mod endpoints;
mod keys;
mod limiter;
mod origin;
mod outliers;
mod polling;
mod retry_budget;
mod router;
mod shedding;
mod single_flight;
mod slow_start;
mod windows;

pub use limiter::WarmUpLimiter;
pub use router::Router;
