//! Keeps the endpoint states received from the previous agent, which take precedence over a new agent with an older
//! revision.

use crate::pace::{MAX_REMEMBERED_ENDPOINTS, MAX_REVISION_LAG};
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;

/// The last received state of each endpoint.
///
/// A list of a new agent with a lower revision than the previous agent's does not bring back an endpoint that is
/// draining or gone, unless the endpoint has started since, and does not bring back an earlier start of an endpoint.
/// This applies until the new agent has caught up, or [`MAX_REVISION_LAG`] has passed.
#[derive(Debug, Default)]
pub(crate) struct EndpointHistory {
    endpoints: HashMap<String, EndpointRecord>,
    revision: u64,
    /// The highest revision received before the agent was replaced; `None` once the new agent has reached it.
    catch_up_revision: Option<u64>,
    /// The time until which a new agent may lag; set by its first list.
    lag_until: Option<Instant>,
}

impl EndpointHistory {
    /// Creates a history that starts with the list known from an earlier run, if any.
    pub(crate) fn new(known: Option<EndpointList>) -> Self {
        let mut history = Self::default();
        if let Some(list) = &known {
            history.record(list, Source::UpToDate);
        }
        history
    }

    /// Records that discovery has moved to another agent.
    pub(crate) fn change_agent(&mut self) {
        self.catch_up_revision = self.catch_up_revision.max(Some(self.revision));
        self.lag_until = None;
    }

    /// Records a list of the previous agent, which applies unchanged.
    pub(crate) fn apply_previous(&mut self, list: EndpointList) -> EndpointList {
        self.record(&list, Source::UpToDate);
        self.catch_up_revision = self.catch_up_revision.max(Some(list.revision));
        list
    }

    /// Records a list of the current agent, and returns the list that applies: while the agent lags, without outdated
    /// states.
    pub(crate) fn apply_current(&mut self, mut list: EndpointList, now: Instant) -> EndpointList {
        let lag_until = *self.lag_until.get_or_insert(now + MAX_REVISION_LAG);
        let is_behind = self.catch_up_revision.is_some_and(|revision| list.revision < revision);
        if is_behind && now < lag_until {
            list.members.retain_mut(|endpoint| self.keep_newer_state(endpoint));
            self.record(&list, Source::Lagging);
        } else {
            self.catch_up_revision = None;
            self.record(&list, Source::UpToDate);
        }
        list
    }

    /// Replaces a record by the known one if the known one is newer. Returns whether the endpoint stays in the list.
    fn keep_newer_state(&self, endpoint: &mut EndpointRecord) -> bool {
        let Some(known) = self.endpoints.get(&endpoint.id) else { return true };
        if endpoint.up_since_ms > known.up_since_ms {
            return true;
        }
        if known.phase == Phase::Gone {
            return false;
        }
        if known.phase == Phase::Draining || endpoint.up_since_ms < known.up_since_ms {
            let phase = phase_name(known.phase);
            log::warn!("discovery: {} stays {phase}: the new agent lags behind", known.id);
            *endpoint = known.clone();
        }
        true
    }

    fn record(&mut self, list: &EndpointList, source: Source) {
        self.revision = list.revision;
        // An endpoint missing from the list of a lagging agent may be newer than that list.
        if list.complete && source == Source::UpToDate {
            self.mark_missing_as_gone(list);
        }
        for endpoint in &list.members {
            self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        }
        if self.endpoints.len() > MAX_REMEMBERED_ENDPOINTS {
            self.endpoints.retain(|_, endpoint| endpoint.phase != Phase::Gone);
        }
    }

    fn mark_missing_as_gone(&mut self, list: &EndpointList) {
        let listed: HashSet<_> = list.members.iter().map(|endpoint| endpoint.id.as_str()).collect();
        for (id, endpoint) in &mut self.endpoints {
            if !listed.contains(id.as_str()) {
                endpoint.phase = Phase::Gone;
            }
        }
    }
}

/// Whether a list comes from an agent that has caught up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    UpToDate,
    Lagging,
}

/// Returns the name of a phase in log lines.
fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "Ready",
        Phase::Draining => "Draining",
        Phase::Gone => "Gone",
    }
}
