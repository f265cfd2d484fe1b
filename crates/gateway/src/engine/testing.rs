//! An engine for tests, which run its phases one at a time. Not for use outside tests.

pub use super::fleet::AuditedVersion;
pub use super::input::InFlightAttempt;

use super::Engine;
use super::handle::Handle;
use super::input::Input;
use crate::fleet_link::{ChangeCheckError, ChangeKind, Clock, FleetLink, FleetUpdate};
use crate::setup::Config;
use decide::api::{Outcome, RequestId};
use proto::discovery::EndpointList;
use tokio::time::Instant;
use upstream::connection::AttemptResult;
use upstream::endpoints::endpoint_id;

/// An engine without an event loop. Tests call its phases directly.
pub struct SteppedEngine(Engine);

impl SteppedEngine {
    /// Creates an engine and its handle. See [`Engine::new`].
    #[must_use]
    pub fn new(config: &Config) -> (Self, Handle) {
        let (engine, handle) = Engine::new(config);
        (Self(engine), handle)
    }

    /// Joins a fleet. See [`Engine::join_fleet`].
    pub fn join_fleet(&mut self, link: FleetLink) {
        self.0.join_fleet(link);
    }

    /// Returns the engine's clock. See [`Engine::clock`].
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.0.clock()
    }

    /// Waits for an input, handles it, and dispatches the events that it caused.
    ///
    /// # Panics
    /// Panics if all handles are dropped.
    pub async fn handle_next_input(&mut self) {
        let input = self
            .0
            .inbox
            .inputs
            .recv()
            .await
            .expect("an input requires a handle, but all handles are dropped");
        self.0.handle_input(input);
        self.0.dispatch_events();
    }

    /// Applies a list from discovery.
    pub fn apply_list(&mut self, list: &EndpointList) {
        self.0.apply_list(list);
    }

    /// Applies an update from the fleet thread.
    pub fn apply_fleet_update(&mut self, update: FleetUpdate) {
        self.0.apply_fleet_update(update);
    }

    /// Polls the fleet state.
    pub fn poll_fleet(&mut self) {
        self.0.poll_fleet();
    }

    /// Checks whether a planned change may be made.
    ///
    /// # Errors
    /// Returns why the change is held.
    pub fn check_change(&mut self, kind: ChangeKind) -> Result<(), ChangeCheckError> {
        self.0.check_change(kind)
    }

    /// Ends the wait for the first endpoint list.
    pub fn skip_first_list(&mut self) {
        self.0.startup.release_list();
    }

    /// Updates the readiness that the handle reports.
    pub fn update_readiness(&mut self) {
        self.0.update_readiness();
    }

    /// Returns the readiness as of its last update, without checking the lease again.
    #[must_use]
    pub fn last_readiness(&self) -> bool {
        *self.0.handle.ready.borrow()
    }

    /// Returns whether new requests are rejected because no lease is held.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.0.is_fenced()
    }

    /// Returns whether this endpoint is listed.
    #[must_use]
    pub fn is_listed(&self, endpoint: &str) -> bool {
        self.0.endpoints.endpoint(endpoint_id(endpoint)).is_some()
    }

    /// Returns whether requests may be sent to this endpoint.
    #[must_use]
    pub fn accepts_requests(&self, endpoint: &str) -> bool {
        self.0.endpoints.endpoint(endpoint_id(endpoint)).is_some_and(|endpoint| endpoint.is_ready())
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.0.requests.len()
    }

    /// Returns the number of attempts of a request that are in flight.
    #[must_use]
    pub fn attempts_in_flight(&self, id: RequestId) -> usize {
        self.0.requests.get(&id).map_or(0, |context| context.in_flight.len())
    }

    /// Returns the number of pending timers.
    #[must_use]
    pub fn timer_count(&self) -> usize {
        self.0.timers.len()
    }

    /// Returns the state of the first attempt of a read, sent now to this endpoint.
    ///
    /// # Panics
    /// Panics if the endpoint is not listed.
    #[must_use]
    pub fn first_attempt(&self, request: RequestId, endpoint: &str) -> InFlightAttempt {
        let listed = self.0.endpoints.endpoint(endpoint_id(endpoint));
        let endpoint = listed.unwrap_or_else(|| panic!("endpoint {endpoint:?} is not listed")).clone();
        let audited_version = self.0.audited_version(false);
        InFlightAttempt { request, number: 0, endpoint, sent_at: Instant::now(), audited_version }
    }

    /// Ends an attempt, and dispatches the events that it caused.
    pub fn end_attempt(&mut self, attempt: InFlightAttempt, result: AttemptResult) {
        self.0.handle_input(Input::AttemptEnded(attempt, result));
        self.0.dispatch_events();
    }

    /// Returns the version under which an attempt that starts now is counted.
    #[must_use]
    pub fn audited_version(&self, is_write: bool) -> Option<AuditedVersion> {
        self.0.audited_version(is_write)
    }

    /// Counts an attempt at a cache node as ended with this outcome.
    pub fn audit_attempt(&mut self, version: Option<AuditedVersion>, outcome: Outcome) {
        self.0.audit_attempt(version, false, outcome);
    }

    /// Returns the request counters in the format of the log summary.
    #[must_use]
    pub fn counters(&self) -> String {
        self.0.handle.counters.borrow().to_string()
    }
}
