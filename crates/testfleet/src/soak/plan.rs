//! The plan of a soak run: the shape of the fleet, its clients and the events, all drawn from one seed, without a clock
//! or I/O.

use crate::discovery::{ListEncoding, Phase};
use serde_json::{Value, json};
use std::fmt;
use std::time::Duration;

/// How long clients send requests.
pub const RUN_DURATION: Duration = Duration::from_secs(6);
/// The number of cache nodes. Each is listed under several ids, so that a run has the drawn number of endpoints.
const CACHE_NODES: usize = 12;
/// The possible numbers of listed endpoints, up to sixteen times the size of a usual fleet.
const ENDPOINT_COUNTS: [usize; 5] = [12, 48, 204, 804, 3_204];
/// The possible deadlines of requests, in milliseconds.
const DEADLINES_MS: [u64; 6] = [80, 180, 400, 900, 3_000, 8_000];
/// The possible socket limits of a process. The lower limit leaves 40 connection slots.
const SOCKET_LIMITS: [u64; 2] = [100, 512];
/// The number of clients of a crowd: more than the 40 connection slots of the lower socket limit.
const CROWD_SIZE: usize = 120;
/// The possible numbers of events of a run.
const EVENT_COUNTS: std::ops::Range<usize> = 3..9;
/// The possible times of events, in milliseconds from the start of the run.
const EVENT_TIMES_MS: std::ops::Range<u64> = 500..5_000;

/// Additional clients at the first balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crowd {
    /// No additional clients.
    None,
    /// Idle connections.
    Idle(usize),
    /// Clients that send requests without pauses.
    Busy(usize),
    /// Clients that send batches without pauses; each batch is written one request at a time.
    Batches(usize),
}

/// A sequence of signals and admin commands to one balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Series {
    /// SIGHUP twice.
    ReloadTwice,
    /// SIGHUP, then SIGTERM.
    ReloadTerminate,
    /// SIGTERM.
    Terminate,
    /// SIGTERM twice.
    TerminateTwice,
    /// Drain, undrain, drain again, then SIGTERM.
    DrainUndrainDrainTerminate,
    /// Drain, then undrain.
    DrainUndrain,
}

/// All series, indexed by the drawn number.
const SERIES: [Series; 6] = [
    Series::ReloadTwice,
    Series::ReloadTerminate,
    Series::Terminate,
    Series::TerminateTwice,
    Series::DrainUndrainDrainTerminate,
    Series::DrainUndrain,
];

/// An event of a run. Balancers and cache nodes are given by number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// A balancer is sent a series of signals and admin commands, and is restarted after SIGTERM.
    Series(usize, Series),
    /// A balancer is sent SIGSTOP, and SIGCONT 0.15 s later.
    Pause(usize),
    /// A balancer is sent SIGKILL and is restarted.
    Kill(usize),
    /// The endpoints of a cache node change to this phase.
    ChangePhase(usize, Phase),
    /// A cache node does not answer for 1.2 s.
    Hang(usize),
    /// A cache node answers every command with an error for 1.2 s.
    Fail(usize),
    /// A cache node closes connections on accept for 1.2 s.
    Refuse(usize),
    /// A cache node loses its keys.
    ClearKeys(usize),
    /// The link of a balancer to a cache node is cut for 1.2 s.
    Cut(usize, usize),
    /// The connections of a balancer to a cache node are reset.
    Reset(usize, usize),
    /// The open discovery watches of a balancer receive nothing more, but stay open.
    SilenceWatches(usize),
    /// The discovery agent of a balancer publishes no changes for 1.2 s.
    PauseUpdates(usize),
    /// The open discovery watches of a balancer are reset.
    ResetWatches(usize),
    /// A balancer is sent SIGHUP with a new address of its discovery agent in the configuration.
    MoveDiscovery(usize),
    /// All discovery agents silence their open watches, and publish no changes for 1.2 s.
    DiscoveryOutage,
}

/// The plan of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The seed from which the plan was drawn.
    pub seed: u64,
    /// The number of balancers.
    pub balancers: usize,
    /// The number of cache nodes.
    pub cache_nodes: usize,
    /// The number of endpoint ids of each cache node.
    pub ids_per_cache_node: usize,
    /// The deadline of the requests of each class, in milliseconds.
    pub deadlines_ms: [u64; 3],
    /// The socket limit of each process.
    pub socket_limit: u64,
    /// Whether balancers watch the endpoint list; otherwise they poll it.
    pub pushed: bool,
    /// How discovery agents write lists.
    pub encoding: ListEncoding,
    /// The number of clients at each balancer.
    pub clients_per_balancer: usize,
    /// The additional clients at the first balancer.
    pub crowd: Crowd,
    /// The number of busy processes on the same machine.
    pub busy_processes: usize,
    /// The events with their times from the start of the run, in order of time.
    pub events: Vec<(Duration, Event)>,
}

impl Plan {
    /// Draws a plan from a seed.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let endpoints = ENDPOINT_COUNTS[rng.usize(..ENDPOINT_COUNTS.len())];
        let balancers = rng.usize(1..=9);
        let crowd = match rng.u8(..4) {
            0 => Crowd::Idle(CROWD_SIZE),
            1 => Crowd::Busy(CROWD_SIZE),
            _ => Crowd::None,
        };
        let deadlines_ms = [(); 3].map(|()| DEADLINES_MS[rng.usize(..DEADLINES_MS.len())]);
        let piece = rng.bool().then(|| 1 << rng.u32(6..14));
        let encoding = ListEncoding { indented: rng.bool(), whole: rng.bool(), piece };
        let mut events: Vec<_> = (0..rng.usize(EVENT_COUNTS))
            .map(|_| (Duration::from_millis(rng.u64(EVENT_TIMES_MS)), draw_event(&mut rng, balancers)))
            .collect();
        events.sort_by_key(|(at, _)| *at);
        Self {
            seed,
            balancers,
            cache_nodes: CACHE_NODES,
            ids_per_cache_node: endpoints / CACHE_NODES,
            deadlines_ms,
            socket_limit: SOCKET_LIMITS[usize::from(crowd == Crowd::None && rng.bool())],
            pushed: rng.bool(),
            encoding,
            clients_per_balancer: rng.usize(3..=8),
            crowd,
            busy_processes: if rng.u8(..4) == 0 { 3 } else { 0 },
            events,
        }
    }

    /// Draws a plan from a seed, and adds a busy crowd at the first balancer and a SIGTERM to that balancer 2 s after
    /// the start.
    #[must_use]
    pub fn draw_with_crowd(seed: u64) -> Self {
        const TERMINATE_AT: Duration = Duration::from_millis(2_000);
        let mut plan =
            Self { crowd: Crowd::Busy(CROWD_SIZE), socket_limit: SOCKET_LIMITS[0], ..Self::draw(seed) };
        plan.events.push((TERMINATE_AT, Event::Series(0, Series::Terminate)));
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Draws a plan from a seed, and adds a crowd that sends batches to the first balancer, a series of signals to that
    /// balancer 2 s after the start, and in half of the plans an outage of discovery.
    #[must_use]
    pub fn draw_with_batches(seed: u64) -> Self {
        const SERIES_AT: Duration = Duration::from_millis(2_000);
        const OUTAGE_AT_MS: std::ops::Range<u64> = 1_000..3_000;
        let mut rng = fastrand::Rng::with_seed(!seed);
        let mut plan =
            Self { crowd: Crowd::Batches(CROWD_SIZE), socket_limit: SOCKET_LIMITS[0], ..Self::draw(seed) };
        let series = SERIES[rng.usize(..SERIES.len())];
        plan.events.push((SERIES_AT, Event::Series(0, series)));
        if rng.bool() {
            plan.events.push((Duration::from_millis(rng.u64(OUTAGE_AT_MS)), Event::DiscoveryOutage));
        }
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Returns the values that the plan overrides in the configuration of each balancer.
    #[must_use]
    pub fn overrides(&self) -> Value {
        let classes = crate::config::CLASSES.iter().zip(self.deadlines_ms);
        let class = |((name, effect), deadline_ms): (&(&str, &str), u64)| {
            json!({"name": name, "effect": effect, "keyScope": "all", "memorySpanUs": 4_000_000, "worth": 1.0,
                   "lateWorth": 0.5, "onTimeUs": deadline_ms * 500, "deadlineUs": deadline_ms * 1_000})
        };
        let discovery = if self.pushed { "push" } else { "ask" };
        json!({"limits": {"sockets": self.socket_limit},
               "settings": {"profiles": classes.map(class).collect::<Vec<_>>(), "discovery": discovery}})
    }

    /// Returns the time between SIGTERM and SIGKILL: the shortest time that the protocol allows, which is the longest
    /// deadline, at most 3 s, plus 0.7 s.
    #[must_use]
    pub fn sigkill_delay(&self) -> Duration {
        const MAX_COUNTED_DEADLINE_MS: u64 = 3_000;
        const GRACE_MS: u64 = 700;
        let longest_deadline_ms = self.deadlines_ms.iter().copied().max().unwrap_or_default();
        Duration::from_millis(longest_deadline_ms.min(MAX_COUNTED_DEADLINE_MS) + GRACE_MS)
    }
}

/// Draws an event. Which numbers are drawn, and in which order, determines the plan of every seed.
fn draw_event(rng: &mut fastrand::Rng, balancers: usize) -> Event {
    let (balancer, node) = (rng.usize(..balancers), rng.usize(..CACHE_NODES));
    match rng.u8(..18) {
        number @ 0..6 => Event::Series(balancer, SERIES[usize::from(number)]),
        6 => Event::Pause(balancer),
        7 => Event::Kill(balancer),
        8 | 9 => Event::ChangePhase(node, Phase::Draining),
        10 => Event::ChangePhase(node, Phase::Gone),
        11 => Event::Hang(node),
        12 => [Event::Fail(node), Event::Refuse(node)][rng.usize(..2)],
        13 => [Event::ClearKeys(node), Event::Reset(balancer, node)][rng.usize(..2)],
        14 => Event::Cut(balancer, node),
        15 => [Event::SilenceWatches(balancer), Event::PauseUpdates(balancer)][rng.usize(..2)],
        16 => Event::ResetWatches(balancer),
        _ => Event::MoveDiscovery(balancer),
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, balancers, cache_nodes, ids_per_cache_node, deadlines_ms, socket_limit, .. } = self;
        write!(
            f,
            "seed {seed}: {balancers} balancers, {} endpoints, {deadlines_ms:?} ms, ",
            cache_nodes * ids_per_cache_node
        )?;
        write!(f, "{socket_limit} sockets, {}, ", if self.pushed { "pushed" } else { "asked for" })?;
        write!(f, "{:?}, {} callers, crowd {:?}, ", self.encoding, self.clients_per_balancer, self.crowd)?;
        write!(f, "{} busy processes", self.busy_processes)?;
        self.events.iter().try_for_each(|(at, event)| write!(f, "; {:.3} s {event:?}", at.as_secs_f64()))
    }
}
