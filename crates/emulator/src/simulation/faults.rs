//! The injection of a scenario's faults, and the notification of gateways about changed nodes.

use super::state::Simulation;
use super::timeline::{AttemptId, Notification, Response, SimEvent};
use crate::node::{Node, NodeState};
use crate::referee::Observation;
use crate::scenario::{Fault, micros};
use crate::{Micros, SECOND};
use decide::api::{EndpointState, Event, ListKind, Outcome};
use rand::Rng;
use rand::seq::SliceRandom;
use std::time::Duration;

/// The time between the start of a drain and the stop of the node.
const DRAIN_DURATION: Micros = 2 * SECOND;

impl Simulation<'_> {
    /// Notifies a gateway of a changed node, unless the gateway knows this version or a newer one.
    pub(super) fn notify_gateway(&mut self, notification: Notification) {
        let Notification { gateway, node, version, entry } = notification;
        if version <= self.gateways[gateway].versions[node] {
            return;
        }
        self.gateways[gateway].versions[node] = version;
        self.referee
            .record(self.now, Observation::Notified { gateway, endpoint: entry.id, state: entry.state });
        self.deliver_event(gateway, Event::EndpointList(ListKind::Delta, vec![entry]));
    }

    /// Schedules the notification of each gateway about a changed node, after a random delay of discovery.
    pub(super) fn announce_change(&mut self, n: usize, state: EndpointState) {
        self.versions[n] += 1;
        let (version, entry) = (self.versions[n], self.endpoint_entry(n, state));
        let max_delay = micros(self.scenario.gateways.max_notification_delay);
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.rng.random_range(max_delay / 5..=max_delay);
            self.schedule(at, SimEvent::Notify(Notification { gateway, node: n, version, entry }));
        }
    }

    fn pick_running(&mut self, count: usize) -> Vec<usize> {
        let mut running: Vec<usize> =
            (0..self.nodes.len()).filter(|&n| self.nodes[n].state == NodeState::Up).collect();
        running.shuffle(&mut self.rng);
        running.truncate(count);
        running
    }

    pub(super) fn start_fault(&mut self, number: usize) {
        let fault = self.scenario.faults[number].fault.clone();
        let text = match &fault {
            Fault::Crash { fraction, restart_after } => {
                self.stop_nodes(*fraction, *restart_after, NodeState::Down)
            }
            Fault::Vanish { fraction, restart_after } => {
                self.stop_nodes(*fraction, *restart_after, NodeState::Unresponsive)
            }
            Fault::Drain { nodes, restart_after } => self.drain_nodes(*nodes, *restart_after),
            Fault::HotKeys { keys, fraction, duration } => {
                self.clients.hot_keys = Some((*keys, *fraction));
                self.schedule(self.now + micros(*duration), SimEvent::FaultEnd(number));
                format!("{keys} keys get {:.0}% of reads", 100.0 * fraction)
            }
            Fault::SlowOrigin { factor, duration } => {
                self.origin.slowdown = *factor;
                self.schedule(self.now + micros(*duration), SimEvent::FaultEnd(number));
                format!("the origin is {factor} times slower")
            }
            Fault::Flush { fraction } => {
                let rng = &mut self.rng;
                self.nodes.iter_mut().for_each(|node| node.flush(|| rng.random_bool(*fraction)));
                format!("{:.0}% of cached objects are invalidated", 100.0 * fraction)
            }
            Fault::CorruptAnswers { fraction, duration } => {
                self.corrupt_fraction = *fraction;
                self.schedule(self.now + micros(*duration), SimEvent::FaultEnd(number));
                format!("{:.0}% of answers are corrupt", 100.0 * fraction)
            }
            Fault::Surge { factor, duration } => {
                self.clients.surge = *factor;
                self.schedule(self.now + micros(*duration), SimEvent::FaultEnd(number));
                format!("clients send {factor} times their usual rate")
            }
            Fault::Grow { nodes } => self.add_nodes(*nodes),
        };
        self.fault_log.push((self.now, text));
    }

    /// Stops a fraction of all nodes, chosen from the running nodes, and schedules their restart.
    fn stop_nodes(&mut self, fraction: f64, restart_after: Duration, state: NodeState) -> String {
        let unresponsive = state == NodeState::Unresponsive;
        let stopped = self.pick_running((fraction * self.nodes.len() as f64).round() as usize);
        for &n in &stopped {
            self.nodes[n].stop(state);
            self.reset_attempts(n, unresponsive);
            self.announce_change(n, EndpointState::Gone);
            let incarnation = self.nodes[n].incarnation;
            self.schedule(self.now + micros(restart_after), SimEvent::RestartNode(n, incarnation));
        }
        format!("{} nodes {}", stopped.len(), if unresponsive { "stop responding" } else { "die" })
    }

    /// Drains `count` running nodes, and schedules their stop and restart.
    fn drain_nodes(&mut self, count: usize, restart_after: Duration) -> String {
        let drained = self.pick_running(count);
        for &n in &drained {
            self.nodes[n].state = NodeState::Draining;
            self.announce_change(n, EndpointState::Draining);
            let incarnation = self.nodes[n].incarnation + 1;
            self.schedule(self.now + DRAIN_DURATION, SimEvent::StopDrained(n));
            self.schedule(
                self.now + DRAIN_DURATION + micros(restart_after),
                SimEvent::RestartNode(n, incarnation),
            );
        }
        format!("{} nodes drain", drained.len())
    }

    /// Adds `count` nodes with empty caches, at the beginning of slow start.
    fn add_nodes(&mut self, count: usize) -> String {
        for _ in 0..count {
            let n = self.nodes.len();
            let mut node = Node::new(n, &self.scenario.fleet);
            node.start(self.now);
            self.nodes.push(node);
            self.versions.push(0);
            self.gateways.iter_mut().for_each(|gateway| gateway.versions.push(0));
            self.announce_change(n, EndpointState::Ready);
        }
        format!("{count} nodes are added")
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let text = match self.scenario.faults[number].fault {
            Fault::HotKeys { .. } => {
                self.clients.hot_keys = None;
                "the hot keys end"
            }
            Fault::SlowOrigin { .. } => {
                self.origin.slowdown = 1.0;
                "the origin has its usual speed again"
            }
            Fault::CorruptAnswers { .. } => {
                self.corrupt_fraction = 0.0;
                "no answers are corrupt any more"
            }
            Fault::Surge { .. } => {
                self.clients.surge = 1.0;
                "clients send at their usual rate again"
            }
            _ => return,
        };
        self.fault_log.push((self.now, text.to_owned()));
    }

    /// Resets the attempts in flight at a crashed process. An unresponsive machine does not reset them.
    fn reset_attempts(&mut self, n: usize, unresponsive: bool) {
        if unresponsive {
            return;
        }
        let mut ids = Vec::new();
        for (gateway, state) in self.gateways.iter().enumerate() {
            for (request, context) in &state.open_requests {
                let at_node = (0..)
                    .zip(&context.attempts_in_flight)
                    .filter(|(_, sent)| sent.is_some_and(|(node, _)| node == n));
                ids.extend(at_node.map(|(attempt, _)| AttemptId { gateway, request: *request, attempt }));
            }
        }
        ids.sort_unstable_by_key(|id| (id.request, id.attempt));
        for id in ids {
            let at = self.now + self.network_delay();
            self.schedule(
                at,
                SimEvent::Response(Response {
                    id,
                    outcome: Outcome::Reset,
                    made_for: id.request,
                    work_us: 0.0,
                }),
            );
        }
    }
}
