//! The gate in front of the decision module, which splits discovery's lists into accepted and held changes.

use crate::accepted::{AcceptedEndpoints, CheckInput, HeldChange, MAX_ACCEPTED_ENDPOINTS, Queueing};
use crate::list_delta::{factual_change, planned_changes, with_facts};
use crate::pending::Review;
use crate::records::{ChangeOutcome, GateContext, GateResult};
use crate::{Calendar, ChangeKind, Millis, PendingChange, PendingChanges, ReleasePace};
use hashlink::LinkedHashMap;
use proto::discovery::{EndpointList, EndpointRecord, Phase};

/// The last state of each endpoint in a list, keyed by id.
type NewestStates<'a> = LinkedHashMap<&'a str, &'a EndpointRecord>;

/// Splits discovery's lists into the changes that are accepted now and those that are held until the end of a freeze.
#[derive(Debug, Clone)]
pub struct TopologyGate {
    accepted: AcceptedEndpoints,
    pending: PendingChanges<EndpointRecord>,
    /// Whether there is an accepted list, against which new endpoints can be told from old ones.
    has_baseline: bool,
}

impl TopologyGate {
    /// Creates a gate. `known` is the endpoint list that the process inherits, if any. Without it, all lists up to and
    /// including the first complete one are accepted whole, even during a freeze, because the process must serve and
    /// cannot tell which endpoints are new.
    pub fn new(known: Option<Vec<EndpointRecord>>, pace: ReleasePace) -> Self {
        let has_baseline = known.is_some();
        let mut accepted = AcceptedEndpoints::default();
        for member in known.into_iter().flatten().take(MAX_ACCEPTED_ENDPOINTS) {
            accepted.insert(member);
        }
        Self { accepted, pending: PendingChanges::new(pace), has_baseline }
    }

    /// Returns the accepted endpoints.
    pub fn members(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.accepted.members.values()
    }

    /// Returns the held changes.
    pub fn pending_changes(&self) -> &PendingChanges<EndpointRecord> {
        &self.pending
    }

    /// Returns when to call [`TopologyGate::release`] next, on the owner's clock. Each call also reviews the changes
    /// that a freeze still holds.
    pub fn next_release_at(&self) -> Option<Millis> {
        self.pending.next_release_at()
    }

    /// Marks an endpoint as down. Its weight may be replaced during a freeze.
    pub fn mark_down(&mut self, host: &str) {
        self.accepted.capacity.mark_down(host);
    }

    /// Marks an endpoint as up again.
    pub fn mark_up(&mut self, host: &str) {
        self.accepted.capacity.mark_up(host);
    }

    fn update_freezes(&mut self, input: CheckInput<'_>) {
        if let Some(span) = input.context.fleet_time.filter(|_| self.has_baseline) {
            self.accepted.capacity.update_freezes(input.calendar, span);
        }
    }

    /// Applies the changes of a list that are allowed now. Losses and other facts are applied first, even during a
    /// freeze.
    pub fn apply_list(
        &mut self, context: &GateContext, calendar: &Calendar, list: &EndpointList,
    ) -> GateResult {
        let input = CheckInput { context, calendar };
        self.update_freezes(input);
        self.accepted.list_revision = list.revision;
        // If a list contains several states of an endpoint, only the last one counts.
        let newest: NewestStates<'_> = list.members.iter().map(|it| (it.id.as_str(), it)).collect();
        if !self.has_baseline {
            return self.apply_initial_list(input, list, &newest);
        }
        let mut reduced_hosts = self.remove_unlisted(calendar, list, &newest);
        let mut changed_hosts = Vec::new();
        for (host, new) in &newest {
            match self.apply_facts(input, new) {
                Some(ChangeKind::Drain | ChangeKind::Gone | ChangeKind::WeightReduced) => {
                    reduced_hosts.push((*host).to_owned());
                }
                Some(_) => changed_hosts.push((*host).to_owned()),
                None => {}
            }
        }
        let mut queueing = None;
        for (host, new) in &newest {
            if self.apply_planned(input, new, &mut queueing) {
                changed_hosts.push((*host).to_owned());
            }
        }
        let members = if list.complete {
            newest.keys().filter_map(|host| self.accepted.members.get(*host).cloned()).collect()
        } else {
            self.changed_records(reduced_hosts.iter().chain(&changed_hosts), &newest)
        };
        self.finish(list.complete, members)
    }

    /// Returns the result of a call, with the records that it made.
    fn finish(&mut self, complete: bool, members: Vec<EndpointRecord>) -> GateResult {
        let records = std::mem::take(&mut self.accepted.records);
        GateResult {
            list: EndpointList { revision: self.accepted.list_revision, complete, members },
            records,
        }
    }

    fn apply_initial_list(
        &mut self, input: CheckInput<'_>, list: &EndpointList, newest: &NewestStates<'_>,
    ) -> GateResult {
        for (host, new) in newest.iter().take(MAX_ACCEPTED_ENDPOINTS) {
            self.accepted.insert((*new).clone());
            self.accepted.record(input.calendar, host, ChangeKind::Join, ChangeOutcome::InitialList);
        }
        self.has_baseline = list.complete;
        self.update_freezes(input);
        let members = newest.values().take(MAX_ACCEPTED_ENDPOINTS).map(|it| (*it).clone()).collect();
        self.finish(list.complete, members)
    }

    /// Removes the endpoints that a complete list no longer contains, and returns their ids.
    fn remove_unlisted(
        &mut self, calendar: &Calendar, list: &EndpointList, newest: &NewestStates<'_>,
    ) -> Vec<String> {
        if !list.complete {
            return Vec::new();
        }
        let unlisted = |host: &str| !newest.contains_key(host);
        let held = self.pending.iter().map(|(host, _)| host.to_owned());
        let held: Vec<String> = held.filter(|host| unlisted(host)).collect();
        for host in held {
            self.pending.cancel(&host);
        }
        let members = self.accepted.members.values();
        let gone: Vec<EndpointRecord> = members.filter(|it| unlisted(&it.id)).cloned().collect();
        for member in &gone {
            self.accepted.insert(EndpointRecord { phase: Phase::Gone, ..member.clone() });
            self.accepted.record(calendar, &member.id, ChangeKind::Gone, ChangeOutcome::Applied);
        }
        gone.into_iter().map(|it| it.id).collect()
    }

    /// Applies the fact in an endpoint's new state, if any, and returns its kind.
    fn apply_facts(&mut self, input: CheckInput<'_>, new: &EndpointRecord) -> Option<ChangeKind> {
        let old = self.accepted.members.get(&new.id);
        let kind = factual_change(old, new)?;
        // An endpoint that was never accepted and is draining is not listed unless it would be allowed to join.
        if old.is_none()
            && kind == ChangeKind::Drain
            && !self.accepted.is_allowed(input, new, ChangeKind::Join)
        {
            return None;
        }
        let member = old.map_or_else(|| new.clone(), |it| with_facts(it, new));
        if old.is_some() || self.accepted.members.len() < MAX_ACCEPTED_ENDPOINTS {
            self.accepted.insert(member);
            self.accepted.record(input.calendar, &new.id, kind, ChangeOutcome::Applied);
        }
        Some(kind)
    }

    /// Applies the allowed planned changes in an endpoint's new state, and holds the rest. Returns whether any was
    /// applied. `queueing` is determined once for each list, when it is first needed.
    fn apply_planned(
        &mut self, input: CheckInput<'_>, new: &EndpointRecord, queueing: &mut Option<Queueing>,
    ) -> bool {
        if planned_changes(self.accepted.members.get(&new.id), new).is_empty() {
            self.pending.cancel(&new.id);
            return false;
        }
        let queueing = *queueing.get_or_insert_with(|| self.required_queueing(input));
        let result = self.accepted.apply_planned(input, new, queueing);
        match result.held {
            None => drop(self.pending.cancel(&new.id)),
            Some(held) => self.hold(input, new, held),
        }
        result.applied
    }

    /// Returns whether new changes must queue. They must not overtake queued changes that are being released in steps.
    /// Queued changes that a freeze still holds do not block new ones.
    fn required_queueing(&self, input: CheckInput<'_>) -> Queueing {
        let releasable =
            |it: &PendingChange<EndpointRecord>| self.accepted.is_allowed(input, &it.state, it.kind);
        if self.pending.iter().any(|(_, it)| releasable(it)) {
            Queueing::Required
        } else {
            Queueing::NotNeeded
        }
    }

    /// Queues a held change, and records it unless the queue already contained it unchanged.
    fn hold(&mut self, input: CheckInput<'_>, new: &EndpointRecord, held: HeldChange) {
        let HeldChange { kind, outcome } = held;
        if let ChangeOutcome::Held { reason, until } = &outcome {
            let change = PendingChange {
                reason: reason.clone(),
                kind,
                since: input.context.now,
                state: new.clone(),
                until: *until,
            };
            match self.pending.hold(&new.id, change) {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => {
                    return self.accepted.record(input.calendar, &new.id, kind, ChangeOutcome::QueueFull);
                }
            }
        }
        self.accepted.record(input.calendar, &new.id, kind, outcome);
    }

    /// Returns the accepted states of endpoints that changed. For an endpoint that is gone, returns its state in the
    /// list.
    fn changed_records<'a>(
        &self, hosts: impl Iterator<Item = &'a String>, newest: &NewestStates<'_>,
    ) -> Vec<EndpointRecord> {
        let mut changed = LinkedHashMap::new();
        for host in hosts.filter(|it| !it.is_empty()) {
            let current = self.accepted.members.get(host).or_else(|| newest.get(host.as_str()).copied());
            if let Some(member) = current
                && !changed.contains_key(host)
            {
                changed.insert(host.clone(), member.clone());
            }
        }
        changed.into_iter().map(|(_, member)| member).collect()
    }

    /// Releases the next step of the held changes that are allowed now. Returns `None` if none is released.
    pub fn release(&mut self, context: &GateContext, calendar: &Calendar) -> Option<GateResult> {
        let input = CheckInput { context, calendar };
        self.update_freezes(input);
        let Self { accepted, pending, .. } = self;
        let mut hosts = Vec::new();
        pending.review(context.now, |host, change| {
            let result = accepted.apply_planned(input, &change.state, Queueing::NotNeeded);
            if result.applied {
                hosts.push(host.to_owned());
            }
            update_reviewed(change, result.applied, result.held)
        });
        if hosts.is_empty() {
            return None;
        }
        let members = self.changed_records(hosts.iter(), &LinkedHashMap::new());
        Some(self.finish(false, members))
    }
}

/// Returns the result of a review. Updates the kind, reason and time of a change that stays queued.
fn update_reviewed(
    change: &mut PendingChange<EndpointRecord>, applied: bool, held: Option<HeldChange>,
) -> Review {
    match held {
        None => Review::Applied,
        Some(HeldChange { kind, outcome: ChangeOutcome::Held { reason, until } }) => {
            change.kind = kind;
            change.reason = reason;
            change.until = until;
            if applied { Review::Partial } else { Review::Held }
        }
        Some(_) => Review::Held,
    }
}
