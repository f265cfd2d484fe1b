//! What every decision may read: the time, the settings and a source of randomness.

use crate::api::{Micros, Settings};

/// The inputs that all decisions share.
#[derive(Debug)]
pub(super) struct Context {
    /// The time of the event that is being handled.
    pub(super) now: Micros,
    /// The settings of this instance.
    pub(super) settings: Settings,
    /// The seeded generator: the same events and seed always give the same actions.
    pub(super) rng: fastrand::Rng,
}
