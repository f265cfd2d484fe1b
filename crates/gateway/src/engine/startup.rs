//! The conditions that must be met before this process is ready.

use std::time::Duration;
use tokio::time::Instant;

/// How long the startup waits for the first endpoint list before it uses the list known before the start.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the startup waits for the overrides of the previous process if the disk is stalled. The process must be
/// ready within 6 s.
const FIRST_OVERRIDES_TIMEOUT: Duration = Duration::from_secs(4);

/// The inputs that must arrive, or time out, before this process is ready.
#[derive(Debug)]
pub(super) struct StartupGate {
    awaits_list: bool,
    awaits_overrides: bool,
    /// The start of the timeouts.
    started_at: Instant,
}

impl StartupGate {
    /// Creates a gate that waits for an endpoint list, and for overrides if `awaits_overrides`.
    pub(super) fn new(awaits_overrides: bool) -> Self {
        Self { awaits_list: true, awaits_overrides, started_at: Instant::now() }
    }

    /// Starts the timeouts.
    pub(super) fn start(&mut self) {
        self.started_at = Instant::now();
    }

    /// Returns whether every awaited input has arrived or timed out.
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

    /// Ends the wait for the endpoint list, after its arrival or timeout.
    pub(super) fn release_list(&mut self) {
        self.awaits_list = false;
    }

    /// Ends the wait for the overrides, after their arrival or timeout.
    pub(super) fn release_overrides(&mut self) {
        self.awaits_overrides = false;
    }
}
