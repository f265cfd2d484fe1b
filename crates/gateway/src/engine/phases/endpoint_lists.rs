//! Passes endpoint lists from discovery through the fleet's gate and the operator overrides to the decision module.

use crate::engine::Engine;
use crate::engine::input::Input;
use decide::api::Event;
use proto::discovery::EndpointList;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;
use upstream::connection;
use upstream::endpoints::{Endpoint, endpoint_id};

/// A list that is applied with at least this delay is logged as a warning. The delay is a part of the time within which
/// a drain must be in force.
const SLOW_LIST_THRESHOLD: Duration = Duration::from_millis(50);
/// Endpoints are connected to ahead of use only if at most this many are listed: the 200 of a usual fleet, with a
/// margin.
const MAX_PRECONNECTED_ENDPOINTS: usize = 256;

impl Engine {
    /// Applies a complete list or a delta from discovery. The decision module handles it before any endpoint is
    /// connected to.
    pub(in crate::engine) fn handle_discovery_list(&mut self, list: &EndpointList, published_at: Instant) {
        self.apply_list(list);
        self.dispatch_events();
        log_applied(list, published_at.elapsed());
        self.startup.release_list();
        self.preconnect_listed(list);
    }

    /// Applies a list after passing it through the fleet's gate, if this balancer belongs to a fleet.
    pub(in crate::engine) fn apply_list(&mut self, list: &EndpointList) {
        match self.filter_list(list) {
            Some(allowed) => self.apply_allowed_list(&allowed),
            None => self.apply_allowed_list(list),
        }
    }

    /// Applies a list known before the start.
    pub(in crate::engine) fn apply_known_list(&mut self, list: &EndpointList) {
        let overridden = self.overrides.apply_list(list);
        self.update_endpoints(&overridden, true);
    }

    /// Applies a list that has passed the fleet's gate. Overrides are applied after the gate, so that it cannot hold
    /// them.
    pub(in crate::engine) fn apply_allowed_list(&mut self, list: &EndpointList) {
        let overridden = self.overrides.apply_list(list);
        self.update_endpoints(&overridden, false);
    }

    /// Applies the current list entries of endpoints whose overrides have changed.
    pub(in crate::engine) fn apply_overridden_entries(&mut self, endpoints: &[String]) {
        let list = self.overrides.entries(endpoints);
        if !list.members.is_empty() {
            self.update_endpoints(&list, false);
            self.preconnect_listed(&list);
        }
    }

    fn update_endpoints(&mut self, list: &EndpointList, is_cached: bool) {
        let (kind, entries, idle_to_close) = self.endpoints.apply(list, is_cached);
        idle_to_close.into_iter().for_each(|id| self.pools.close_idle(id));
        self.events.push_back(Event::EndpointList(kind, entries));
    }

    /// Connects to the endpoints in `list`, so that their first attempts do not wait for a handshake. Does nothing in a
    /// large fleet, where most of these connections would be closed unused.
    pub(in crate::engine) fn preconnect_listed(&mut self, list: &EndpointList) {
        if self.endpoints.size() > MAX_PRECONNECTED_ENDPOINTS {
            return;
        }
        for member in &list.members {
            if let Some(endpoint) = self.endpoints.endpoint(endpoint_id(&member.id)).cloned() {
                self.preconnect(&endpoint);
            }
        }
    }

    /// Connects to an endpoint ahead of its next attempt, if the pool has no idle connection to it.
    pub(in crate::engine) fn preconnect(&mut self, endpoint: &Rc<Endpoint>) {
        let Some(permit) = self.pools.permit_preconnect(endpoint) else { return };
        let (endpoint, timeout) = (endpoint.clone(), self.bounds.dial);
        let inputs = self.handle.inputs.clone();
        spawn_local(async move {
            let connection = connection::dial(permit, &endpoint, timeout).await;
            let _ = inputs.send(Input::Preconnected(endpoint, connection));
        });
    }
}

/// Logs the delay between the publication and the application of a list.
fn log_applied(list: &EndpointList, delay: Duration) {
    let level = if delay >= SLOW_LIST_THRESHOLD { log::Level::Warn } else { log::Level::Debug };
    let (revision, endpoints) = (list.revision, list.members.len());
    log::log!(level, "discovery: applied revision {revision}, {endpoints} endpoints, after {delay:?}");
}
