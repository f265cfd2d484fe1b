//! The state of a simulation and its initialization.

use super::balancer::Balancer;
use super::settings::settings;
use super::timeline::{AttemptId, ClientAttempt, ScheduledEvent, SimEvent};
use crate::clients::{Clients, Intent};
use crate::node::Node;
use crate::origin::Origin;
use crate::referee::{Referee, Tolerance};
use crate::scenario::{Scenario, micros};
use crate::score::IntentOutcome;
use crate::{Micros, SECOND};
use decide::api::{
    Action, CellId, ClassId, EndpointEntry, EndpointId, EndpointState, Event, ListKind, Outcome, Request,
    RequestId, TenantId, ZoneId,
};
use decide::policy::Router;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BinaryHeap};

/// The endpoint id of the origin.
pub const ORIGIN: EndpointId = EndpointId(1 << 32);

/// A request at a gateway.
#[derive(Debug)]
pub(super) struct RequestContext {
    pub(super) client_attempt: ClientAttempt,
    pub(super) deadline: Micros,
    pub(super) answered: bool,
    /// The node and the time of sending, by attempt number; `None` for an attempt that has ended. The number of nodes
    /// stands for the origin.
    pub(super) attempts_in_flight: Vec<Option<(usize, Micros)>>,
    /// The nodes that answered with a miss.
    pub(super) missed: Vec<usize>,
}

/// The work that cache nodes have done.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct NodeWork {
    pub(super) total_us: f64,
    /// The part of the work that served no answer.
    pub(super) wasted_us: f64,
}

impl NodeWork {
    /// Returns the wasted fraction.
    pub(super) fn wasted_fraction(self) -> f64 {
        if self.total_us > 0.0 { self.wasted_us / self.total_us } else { 0.0 }
    }
}

/// A simulated gateway.
pub(super) struct Gateway {
    pub(super) balancer: Box<dyn Balancer>,
    pub(super) open_requests: FxHashMap<RequestId, RequestContext>,
    /// The version of each node's entry that the gateway knows.
    pub(super) versions: Vec<u32>,
}

/// The state of a simulation in progress.
pub(super) struct Simulation<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) seed: u64,
    pub(super) now: Micros,
    pub(super) next_order: u64,
    pub(super) timeline: BinaryHeap<ScheduledEvent>,
    pub(super) rng: Pcg64,
    pub(super) clients: Clients,
    pub(super) nodes: Vec<Node<AttemptId>>,
    /// The version of each node's entry, increased by each change.
    pub(super) versions: Vec<u32>,
    pub(super) origin: Origin<AttemptId>,
    pub(super) gateways: Vec<Gateway>,
    pub(super) referee: Referee,
    pub(super) intents: Vec<(Intent, Option<(IntentOutcome, Micros)>)>,
    pub(super) corrupt_fraction: f64,
    pub(super) requests: u64,
    pub(super) attempts: u64,
    pub(super) misses: u64,
    pub(super) node_work: NodeWork,
    pub(super) reasons: BTreeMap<&'static str, u64>,
    pub(super) fault_log: Vec<(Micros, String)>,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(
        scenario: &'a Scenario, seed: u64, balancer: impl Fn(usize) -> Box<dyn Balancer>,
    ) -> Self {
        let nodes = (0..scenario.fleet.nodes).map(|n| Node::new(n, &scenario.fleet)).collect();
        let gateway = |n| Gateway {
            balancer: balancer(n),
            open_requests: FxHashMap::default(),
            versions: vec![0; scenario.fleet.nodes],
        };
        let mut simulation = Self {
            scenario,
            seed,
            now: 0,
            next_order: 0,
            timeline: BinaryHeap::new(),
            rng: Pcg64::seed_from_u64(seed),
            clients: Clients::new(scenario),
            nodes,
            versions: vec![0; scenario.fleet.nodes],
            origin: Origin::new(&scenario.origin),
            gateways: (0..scenario.gateways.count).map(gateway).collect(),
            referee: Referee::new(Tolerance::VIRTUAL),
            intents: Vec::new(),
            corrupt_fraction: 0.0,
            requests: 0,
            attempts: 0,
            misses: 0,
            node_work: NodeWork::default(),
            reasons: BTreeMap::new(),
            fault_log: Vec::new(),
        };
        simulation.prefill_caches();
        let mut list: Vec<EndpointEntry> =
            (0..simulation.nodes.len()).map(|n| simulation.endpoint_entry(n, EndpointState::Ready)).collect();
        list.push(EndpointEntry { id: ORIGIN, kind: 1, ..list[0] });
        for gateway in 0..simulation.gateways.len() {
            simulation.deliver_event(gateway, Event::EndpointList(ListKind::Full, list.clone()));
        }
        for (n, fault) in scenario.faults.iter().enumerate() {
            simulation.schedule(micros(fault.at), SimEvent::FaultStart(n));
        }
        simulation.schedule(0, SimEvent::Arrival);
        simulation
    }

    /// Fills the caches with the popular keys for which each node would have received requests before the simulation.
    pub(super) fn prefill_caches(&mut self) {
        let mut router = Router::new(settings(self.scenario), 0, 0);
        let list = (0..self.nodes.len()).map(|n| self.endpoint_entry(n, EndpointState::Ready)).collect();
        let mut actions = Vec::new();
        router.handle(0, Event::EndpointList(ListKind::Full, list), &mut actions);
        let reads = self.scenario.fleet.cache_capacity * self.nodes.len() * 4;
        for n in 0..reads as u64 {
            actions.clear();
            let intent = self.clients.draw_intent(0, self.scenario, &mut self.rng);
            let (id, class, key) = (RequestId(n), ClassId(0), Some(intent.key));
            let remaining_us = SECOND;
            let request = Request { id, class, tenant: TenantId(0), key, write: false, remaining_us };
            // The requests are spread in time, so that no key is detected as hot.
            router.handle(n * 20_000, Event::Request(request), &mut actions);
            if let Some(Action::Forward { endpoint, .. }) = actions.first() {
                self.nodes[endpoint.0 as usize - 1].store(intent.key);
            }
            let outcome_event = Event::Outcome {
                id,
                attempt: 0,
                outcome: Outcome::Ok,
                latency_us: 1,
                finished: true,
                fetch_pending: false,
                doubtful: false,
                stale: false,
            };
            router.handle(n * 20_000, outcome_event, &mut actions);
        }
        self.clients = Clients::new(self.scenario);
    }

    pub(super) fn endpoint_entry(&self, n: usize, state: EndpointState) -> EndpointEntry {
        let node = &self.nodes[n];
        let full_capacity = Node::<AttemptId>::new(n, &self.scenario.fleet).capacity(0);
        EndpointEntry {
            id: EndpointId(n as u64 + 1),
            state,
            kind: 0,
            weight: full_capacity,
            cell: CellId(0),
            zone: ZoneId(0),
            started_at: node.started,
        }
    }

    pub(super) fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.next_order += 1;
        self.timeline.push(ScheduledEvent { at, order: self.next_order, event });
    }

    pub(super) fn network_delay(&mut self) -> Micros {
        let mean = micros(self.scenario.gateways.mean_network_delay) as f64;
        (mean * self.rng.random_range(0.5..1.5)) as Micros
    }
}
