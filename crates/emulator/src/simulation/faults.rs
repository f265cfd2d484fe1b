//! The injection of a scenario's faults, and the notification of gateways about changed nodes.

use super::state::Simulation;
use super::timeline::{Notification, Response, SimEvent, Tag};
use crate::node::{Node, State};
use crate::referee::Observation;
use crate::scenario::{Fault, micros};
use crate::{Micros, SECOND};
use decide::api::{Event, ListKind, Outcome, Presence};
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
        self.referee.record(
            self.now,
            Observation::Notified { gateway, endpoint: entry.id, presence: entry.presence },
        );
        self.deliver(gateway, Event::EndpointList(ListKind::Delta, vec![entry]));
    }

    /// Schedules the notification of each gateway about a changed node, after a random delay of discovery.
    pub(super) fn announce(&mut self, n: usize, presence: Presence) {
        self.versions[n] += 1;
        let (version, entry) = (self.versions[n], self.entry(n, presence));
        let longest = micros(self.scenario.gateways.told_within);
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.rng.random_range(longest / 5..=longest);
            self.schedule(at, SimEvent::Notify(Notification { gateway, node: n, version, entry }));
        }
    }

    fn pick_running(&mut self, count: usize) -> Vec<usize> {
        let mut up: Vec<usize> =
            (0..self.nodes.len()).filter(|&n| self.nodes[n].state == State::Up).collect();
        up.shuffle(&mut self.rng);
        up.truncate(count);
        up
    }

    pub(super) fn start_fault(&mut self, number: usize) {
        let what = self.scenario.troubles[number].what.clone();
        let text = match &what {
            Fault::Crash { part, back_after } => self.stop_nodes(*part, *back_after, State::Down),
            Fault::Vanish { part, back_after } => self.stop_nodes(*part, *back_after, State::Silent),
            Fault::Drain { nodes, back_after } => self.drain_nodes(*nodes, *back_after),
            Fault::HotKeys { keys, part, lasts } => {
                self.clients.hot_keys = Some((*keys, *part));
                self.schedule(self.now + micros(*lasts), SimEvent::FaultEnd(number));
                format!("{keys} keys draw {:.0}% of reads", 100.0 * part)
            }
            Fault::ArchiveSlow { times, lasts } => {
                self.origin.slowdown = *times;
                self.schedule(self.now + micros(*lasts), SimEvent::FaultEnd(number));
                format!("the archive is {times} times slower")
            }
            Fault::Flush { part } => {
                let rng = &mut self.rng;
                self.nodes.iter_mut().for_each(|node| node.flush(|| rng.random_bool(*part)));
                format!("{:.0}% of copies go void", 100.0 * part)
            }
            Fault::SpoiltAnswers { part, lasts } => {
                self.corrupt_fraction = *part;
                self.schedule(self.now + micros(*lasts), SimEvent::FaultEnd(number));
                format!("{:.0}% of answers are spoilt", 100.0 * part)
            }
            Fault::Surge { times, lasts } => {
                self.clients.surge = *times;
                self.schedule(self.now + micros(*lasts), SimEvent::FaultEnd(number));
                format!("callers come at {times} times their rate")
            }
            Fault::Grow { nodes } => self.add_nodes(*nodes),
        };
        self.troubles.push((self.now, text));
    }

    /// Stops a fraction of all nodes, chosen from the running nodes, and schedules their restart.
    fn stop_nodes(&mut self, part: f64, back_after: Duration, state: State) -> String {
        let silent = state == State::Silent;
        let stopped = self.pick_running((part * self.nodes.len() as f64).round() as usize);
        for &n in &stopped {
            self.nodes[n].stop(state);
            self.reset(n, silent);
            self.announce(n, Presence::Gone);
            let incarnation = self.nodes[n].incarnation;
            self.schedule(self.now + micros(back_after), SimEvent::RestartNode(n, incarnation));
        }
        format!("{} nodes {}", stopped.len(), if silent { "fall silent" } else { "die" })
    }

    /// Drains `count` running nodes, and schedules their stop and restart.
    fn drain_nodes(&mut self, count: usize, back_after: Duration) -> String {
        let drained = self.pick_running(count);
        for &n in &drained {
            self.nodes[n].state = State::Draining;
            self.announce(n, Presence::Draining);
            let incarnation = self.nodes[n].incarnation + 1;
            self.schedule(self.now + DRAIN_DURATION, SimEvent::StopDrained(n));
            self.schedule(
                self.now + DRAIN_DURATION + micros(back_after),
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
            self.announce(n, Presence::Ready);
        }
        format!("{count} more nodes are switched on")
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let text = match self.scenario.troubles[number].what {
            Fault::HotKeys { .. } => {
                self.clients.hot_keys = None;
                "no hot keys any more"
            }
            Fault::ArchiveSlow { .. } => {
                self.origin.slowdown = 1.0;
                "the archive is itself again"
            }
            Fault::SpoiltAnswers { .. } => {
                self.corrupt_fraction = 0.0;
                "answers are sound again"
            }
            Fault::Surge { .. } => {
                self.clients.surge = 1.0;
                "callers come as usual"
            }
            _ => return,
        };
        self.troubles.push((self.now, text.to_owned()));
    }

    /// Resets the attempts in flight at a crashed process. An unresponsive machine (`silent`) does not reset them.
    fn reset(&mut self, n: usize, silent: bool) {
        if silent {
            return;
        }
        let mut tags = Vec::new();
        for (gateway, it) in self.gateways.iter().enumerate() {
            for (request, context) in &it.open_requests {
                let out = (0..)
                    .zip(&context.attempts_in_flight)
                    .filter(|(_, at)| at.is_some_and(|(at, _)| at == n));
                tags.extend(out.map(|(attempt, _)| Tag { gateway, request: *request, attempt }));
            }
        }
        tags.sort_unstable_by_key(|tag| (tag.request, tag.attempt));
        for tag in tags {
            let at = self.now + self.network_delay();
            self.schedule(
                at,
                SimEvent::Response(Response {
                    tag,
                    outcome: Outcome::Reset,
                    made_for: tag.request,
                    work_us: 0.0,
                }),
            );
        }
    }
}
