//! The handling of events at cache nodes and the origin: arrivals and ends of jobs.

use super::state::Simulation;
use super::timeline::{AttemptId, Response, SimEvent};
use crate::Micros;
use crate::node::{self, NodeAdmission};
use crate::origin::{self, FinishedJob};
use crate::referee::Observation;
use decide::api::{EndpointId, EndpointState, Outcome};
use rand::Rng;

/// The time after which connecting to an unresponsive machine fails.
const CONNECT_TIMEOUT: Micros = 100_000;

impl Simulation<'_> {
    pub(super) fn arrive_at_node(&mut self, n: usize, job: node::Job<AttemptId>) {
        let admission = self.nodes[n].offer(self.now, job);
        let response = |outcome| {
            SimEvent::Response(Response { id: job.tag, outcome, made_for: job.tag.request, work_us: 0.0 })
        };
        match admission {
            NodeAdmission::Started(after) => {
                let incarnation = self.nodes[n].incarnation;
                self.schedule(self.now + after, SimEvent::FinishAtNode(n, incarnation, job));
            }
            NodeAdmission::Queued => {}
            NodeAdmission::NoResponse => {
                self.schedule(self.now + CONNECT_TIMEOUT, response(Outcome::ConnectFailed))
            }
            NodeAdmission::Rejected | NodeAdmission::ConnectionRefused | NodeAdmission::Overloaded => {
                let overloaded = admission == NodeAdmission::Overloaded;
                if overloaded {
                    self.referee
                        .record(self.now, Observation::Overloaded { endpoint: EndpointId(n as u64 + 1) });
                    self.announce_change(n, EndpointState::Gone);
                }
                let outcome = if admission == NodeAdmission::Rejected {
                    Outcome::Rejected
                } else {
                    Outcome::ConnectFailed
                };
                let at = self.now + self.network_delay();
                self.schedule(at, response(outcome));
            }
        }
    }

    pub(super) fn finish_at_node(&mut self, n: usize, incarnation: u32, job: &node::Job<AttemptId>) {
        if self.nodes[n].incarnation != incarnation {
            return; // the node has stopped since; its connections are reset
        }
        let (hit, next) = self.nodes[n].finish(self.now, job.key);
        if let Some((next, after)) = next {
            self.schedule(self.now + after, SimEvent::FinishAtNode(n, incarnation, next));
        }
        let is_corrupt = self.corrupt_fraction > 0.0 && self.rng.random_bool(self.corrupt_fraction);
        let outcome = match (hit, is_corrupt) {
            (_, true) => Outcome::Error,
            (true, _) => Outcome::Ok,
            (false, _) => Outcome::Miss,
        };
        self.misses += u64::from(!hit);
        let at = self.now + self.network_delay();
        self.schedule(
            at,
            SimEvent::Response(Response {
                id: job.tag,
                outcome,
                made_for: job.tag.request,
                work_us: job.work_us,
            }),
        );
    }

    pub(super) fn arrive_at_origin(&mut self, job: origin::Job<AttemptId>) {
        match self.origin.offer(job, &mut self.rng) {
            Ok(Some((job, after))) => self.schedule(self.now + after, SimEvent::FinishAtOrigin(job)),
            Ok(None) => {}
            Err(origin::Declined) => {
                let at = self.now + self.network_delay();
                self.schedule(
                    at,
                    SimEvent::Response(Response {
                        id: job.tag,
                        outcome: Outcome::Rejected,
                        made_for: job.request,
                        work_us: 0.0,
                    }),
                );
            }
        }
    }

    pub(super) fn finish_at_origin(&mut self, job: &origin::Job<AttemptId>) {
        let FinishedJob { outcome, executions, next } = self.origin.finish(self.now, job, &mut self.rng);
        if let Some((next, after)) = next {
            self.schedule(self.now + after, SimEvent::FinishAtOrigin(next));
        }
        if job.write {
            self.referee.record(self.now, Observation::Executed { request: job.request, times: executions });
            self.nodes.iter_mut().for_each(|node| node.invalidate(job.key));
        }
        let outcome = if outcome == origin::JobOutcome::Served { Outcome::Ok } else { Outcome::Error };
        let at = self.now + self.network_delay();
        self.schedule(
            at,
            SimEvent::Response(Response { id: job.tag, outcome, made_for: job.request, work_us: 0.0 }),
        );
    }
}
