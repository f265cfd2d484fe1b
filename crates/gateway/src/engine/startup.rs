//! What a start waits for before this process is ready.

use std::time::Duration;
use tokio::time::Instant;

/// How long a start waits for the first endpoint list before it uses the one known from before.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a start waits for the overrides of the previous process, on a disk that is stalled: it must be ready within 6 s.
const FIRST_OVERRIDES_TIMEOUT: Duration = Duration::from_secs(4);

/// What is still to arrive before this process is ready.
#[derive(Debug)]
pub(super) struct StartupGate {
    awaits_list: bool,
    awaits_overrides: bool,
    /// When the engine started to run.
    started_at: Instant,
}

impl StartupGate {
    /// A gate that awaits an endpoint list, and overrides if they are stored.
    pub(super) fn new(awaits_overrides: bool) -> Self {
        Self { awaits_list: true, awaits_overrides, started_at: Instant::now() }
    }

    /// Starts the timeouts.
    pub(super) fn start(&mut self) {
        self.started_at = Instant::now();
    }

    /// Whether everything has arrived, or was given up.
    pub(super) fn is_open(&self) -> bool {
        !self.awaits_list && !self.awaits_overrides
    }

    pub(super) fn awaits_list(&self) -> bool {
        self.awaits_list
    }

    pub(super) fn awaits_overrides(&self) -> bool {
        self.awaits_overrides
    }

    pub(super) fn list_deadline(&self) -> Instant {
        self.started_at + FIRST_LIST_TIMEOUT
    }

    pub(super) fn overrides_deadline(&self) -> Instant {
        self.started_at + FIRST_OVERRIDES_TIMEOUT
    }

    /// The endpoint list has arrived, or is not awaited any longer.
    pub(super) fn release_list(&mut self) {
        self.awaits_list = false;
    }

    /// The overrides have arrived, or are not awaited any longer.
    pub(super) fn release_overrides(&mut self) {
        self.awaits_overrides = false;
    }
}
