//! The inputs that all decisions share.

use crate::api::{Micros, Settings};

/// The time, the settings and the random number generator.
#[derive(Debug)]
pub(super) struct Context {
    /// The time of the current event.
    pub(super) now: Micros,
    /// The settings of this instance.
    pub(super) settings: Settings,
    /// The random number generator, seeded so that the same events and seed always give the same actions.
    pub(super) rng: fastrand::Rng,
}
