//! Handlers of fleet events. In a fleet, new requests need a lease, and the calendar decides on topology changes.

use crate::engine::Engine;
use crate::engine::fleet::{AuditedVersion, FleetMember, FleetPoll};
use crate::fleet_link::{ChangeCheckError, FleetLink, FleetUpdate};
use calendar::ChangeKind;
use decide::api::Outcome;
use proto::discovery::{EndpointList, EndpointRecord};

impl Engine {
    /// Joins a fleet: from now on, requests are accepted only under its lease, and endpoints are applied according to
    /// its calendar. The engine is fenced until a lease arrives. Must be called before [`Engine::run`].
    pub fn join_fleet(&mut self, link: FleetLink) {
        let known: Option<Vec<EndpointRecord>> = self.known_list.take().map(|list| list.members);
        self.clock = link.clock;
        self.handle.join_fleet(link.clock, link.calls.clone());
        self.fleet = Some(Box::new(FleetMember::new(link, known)));
    }

    /// Returns whether new requests are rejected because no lease is held. Checked for each request, because the lease
    /// may have ended since the last poll.
    pub(in crate::engine) fn is_fenced(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| {
            let now = self.clock.now();
            now >= fleet.serve_until(now)
        })
    }

    pub(in crate::engine) fn apply_fleet_update(&mut self, update: FleetUpdate) {
        let now = self.now();
        if let Some(poll) = self.fleet.as_mut().map(|fleet| fleet.apply_update(now, update)) {
            self.finish_fleet_poll(poll);
        }
    }

    pub(in crate::engine) fn poll_fleet(&mut self) {
        let now = self.now();
        if let Some(poll) = self.fleet.as_mut().map(|fleet| fleet.poll(now)) {
            self.finish_fleet_poll(poll);
        }
    }

    fn finish_fleet_poll(&mut self, poll: FleetPoll) {
        self.handle.set_serve_until(poll.serve_until);
        if let Some(list) = poll.released {
            self.apply_allowed_list(&list);
            self.preconnect_listed(&list);
        }
    }

    /// Returns the part of a list that the fleet's calendar allows, or `None` without a fleet.
    pub(in crate::engine) fn filter_list(&mut self, list: &EndpointList) -> Option<EndpointList> {
        let now = self.now();
        self.fleet.as_mut().map(|fleet| fleet.filter_list(now, list))
    }

    pub(in crate::engine) fn check_change(&mut self, kind: ChangeKind) -> Result<(), ChangeCheckError> {
        let now = self.now();
        self.fleet.as_mut().map_or(Ok(()), |fleet| fleet.check_change(now, kind))
    }

    pub(in crate::engine) fn audit_rejected(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.count_rejected();
        }
    }

    /// Returns the version under which an attempt that starts now is counted, or `None` without a fleet or fleet time.
    pub(in crate::engine) fn audited_version(&self, is_write: bool) -> Option<AuditedVersion> {
        self.fleet.as_ref()?.audited_version(is_write)
    }

    pub(in crate::engine) fn audit_attempt(
        &mut self, version: Option<AuditedVersion>, at_origin: bool, outcome: Outcome,
    ) {
        if let (Some(fleet), Some(version)) = (&mut self.fleet, version) {
            fleet.count_attempt(version, at_origin, outcome);
        }
    }
}
