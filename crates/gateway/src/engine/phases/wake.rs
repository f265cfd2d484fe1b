//! Waits for the next event of the engine, and runs the phase that handles it.

use crate::engine::fleet::FleetMember;
use crate::engine::gossip::Datagram;
use crate::engine::input::{Input, OperatorInput};
use crate::engine::schedule::Schedule;
use crate::engine::timers::{ExpiredTimer, TimerEvent};
use crate::engine::{Engine, overrides};
use crate::fleet_link::FleetUpdate;
use crate::metrics;
use decide::api::{Event, RequestId};
use proto::discovery::WatchEvent;
use std::future::pending;
use tokio::time::{Instant, sleep_until};

/// The event that has woken the engine.
#[expect(
    clippy::large_enum_variant,
    reason = "inputs are by far the most frequent wakes, and boxing each would allocate"
)]
pub(in crate::engine) enum Wake {
    Input(Input),
    Timer(ExpiredTimer),
    Datagram(Datagram),
    FleetUpdate(FleetUpdate),
    FleetPollDue,
    SweepDue,
    OverridesPollDue,
    SummaryDue,
    FirstListTimedOut,
    FirstOverridesTimedOut,
}

impl Engine {
    /// Waits for the next input, timer, datagram, fleet update or periodic task.
    pub(in crate::engine) async fn next_wake(&mut self, schedule: &mut Schedule) -> Wake {
        let Self { inbox, timers, gossip, fleet, overrides, startup, .. } = self;
        let has_fleet = fleet.is_some();
        tokio::select! {
            Some(input) = inbox.next() => Wake::Input(input),
            expired = timers.next() => Wake::Timer(expired),
            datagram = gossip.next_datagram() => Wake::Datagram(datagram),
            Some(update) = next_fleet_update(fleet.as_deref_mut()) => Wake::FleetUpdate(update),
            _ = schedule.fleet.tick(), if has_fleet => Wake::FleetPollDue,
            _ = schedule.sweep.tick() => Wake::SweepDue,
            _ = schedule.overrides.tick(), if overrides.are_stored() => Wake::OverridesPollDue,
            _ = schedule.summary.tick() => Wake::SummaryDue,
            () = sleep_until(startup.list_deadline()), if startup.awaits_list() => Wake::FirstListTimedOut,
            () = sleep_until(startup.overrides_deadline()), if startup.awaits_overrides() => {
                Wake::FirstOverridesTimedOut
            }
        }
    }

    /// Runs the phase that handles `wake`.
    pub(in crate::engine) fn handle_wake(&mut self, wake: Wake) {
        match wake {
            Wake::Input(input) => self.handle_input(input),
            Wake::Timer(timer) => self.handle_timer(timer),
            Wake::Datagram(datagram) => {
                let now = self.now();
                self.gossip.handle_datagram(now, &datagram);
            }
            Wake::FleetUpdate(update) => self.apply_fleet_update(update),
            Wake::FleetPollDue => self.poll_fleet(),
            Wake::SweepDue => {
                self.pools.sweep();
                self.finished_ids.sweep(Instant::now());
            }
            Wake::OverridesPollDue => {
                let now = self.now_ms();
                self.overrides.tick(now);
            }
            Wake::SummaryDue => self.log_summary(),
            Wake::FirstListTimedOut => {
                log::warn!("discovery: silent; starting with the known endpoint list");
                self.startup.release_list();
            }
            Wake::FirstOverridesTimedOut => {
                let file = overrides::OVERRIDES_FILE;
                log::error!("overrides: {file} could not be read yet; starting without overrides");
                self.startup.release_overrides();
            }
        }
    }

    /// Runs the phase that handles `input`.
    pub(in crate::engine) fn handle_input(&mut self, input: Input) {
        match input {
            Input::Submitted(id, incoming, slot) => self.accept_request(id, incoming, slot),
            Input::ClientLeft(id) => self.handle_client_left(id),
            Input::Abandoned(id) => self.handle_abandoned(id),
            Input::AttemptStreaming(attempt, value) => self.handle_streaming(&attempt, value),
            Input::AttemptEnded(attempt, result) => self.handle_attempt_ended(&attempt, result),
            Input::Preconnected(endpoint, connection) => self.pools.check_in(&endpoint, connection),
            Input::Discovery(input) => match input.event {
                WatchEvent::Subscribed => self.startup.release_list(),
                WatchEvent::List(list) => self.handle_discovery_list(&list, input.published_at),
            },
            Input::Operator(input) => self.handle_operator_input(input),
            Input::GossipAttached(transport) => {
                self.gossip.attach(transport);
                self.schedule_publication();
            }
            Input::CheckChange(kind, reply) => {
                let _ = reply.send(self.check_change(kind)); // fails if the caller has given up
            }
        }
    }

    fn handle_operator_input(&mut self, input: OperatorInput) {
        let now = self.now_ms();
        match input {
            OperatorInput::Metrics(reply) => {
                let _ = reply.send(self.render_metrics()); // fails if the caller has given up
            }
            OperatorInput::Override(command, reply) => self.overrides.handle_command(now, command, reply),
            OperatorInput::OverridesRead(result) => self.handle_overrides_read(result),
            OperatorInput::OverridesWritten(result) => self.overrides.handle_write(now, result),
        }
    }

    fn handle_timer(&mut self, timer: ExpiredTimer) {
        match timer.event {
            TimerEvent::Decision(token) => {
                self.forget_timer(RequestId(token.0), timer.key);
                self.events.push_back(Event::Timer(token));
            }
            TimerEvent::PublishLoad => {
                self.events.push_back(Event::PublishLoad);
                self.schedule_publication();
            }
            TimerEvent::RequestOverdue(id) => {
                self.forget_timer(id, timer.key);
                self.handle_overdue(id);
            }
        }
    }

    fn schedule_publication(&mut self) {
        if let Some(delay) = self.gossip.next_publish_delay() {
            self.timers.schedule(TimerEvent::PublishLoad, delay);
        }
    }

    fn render_metrics(&mut self) -> String {
        let endpoint_counts = self.router.endpoint_counts(self.now());
        let in_flight = self.handle.open_requests.count();
        let counters = self.handle.counters.borrow();
        metrics::render(&counters, &self.endpoints.names().classes, in_flight, endpoint_counts)
    }

    fn log_summary(&mut self) {
        let open = self.pools.open_connections();
        let requests = self.requests.len();
        let counters = self.pools.counters();
        log::info!(
            "engine: {requests} requests in progress, {open} connections open; since the start {counters}"
        );
        self.gossip.log_counts();
        log::info!("engine: answers since the start: {}", self.handle.counters.borrow());
        let longest = self.handle.stall_monitor.take_longest_stall();
        log::info!("engine: longest event-loop stall since the last summary: {longest:?}");
    }
}

/// Waits for the next update from the fleet thread; forever without a fleet.
async fn next_fleet_update(fleet: Option<&mut FleetMember>) -> Option<FleetUpdate> {
    match fleet {
        Some(fleet) => fleet.next_update().await,
        None => pending().await,
    }
}
