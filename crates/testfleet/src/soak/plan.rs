//! What a soak run is to be: shape, callers and events, all drawn from one seed. Pure: no clock, no socket.

use crate::inventory::{Form, Phase};
use serde_json::{Value, json};
use std::fmt;
use std::time::Duration;

/// How long callers ask.
pub const RUN: Duration = Duration::from_secs(6);
/// Cache hosts; each is listed under as many ids as the endpoints need.
const HOSTS: usize = 12;
/// Endpoints of a run: from a small fleet to sixteen times a usual one.
const ENDPOINTS: [usize; 5] = [12, 48, 204, 804, 3_204];
/// The time that requests give, in milliseconds.
const DEADLINES_MS: [u64; 6] = [80, 180, 400, 900, 3_000, 8_000];
/// Sockets of a process: those that bind leave 40 connection slots.
const SOCKETS: [u64; 2] = [100, 512];
/// Clients beyond the slots, where there is a crowd.
const CROWD: usize = 120;
/// Events of a run.
const EVENTS: std::ops::Range<usize> = 3..9;
/// When the first and the last of them come, in milliseconds.
const EVENTS_AT_MS: std::ops::Range<u64> = 500..5_000;

/// A crowd at one balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crowd {
    /// None.
    None,
    /// Connections on which nothing is asked.
    Idle(usize),
    /// Connections on which requests are asked without a pause.
    Busy(usize),
}

/// Signals and orders that follow one another at one balancer.
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
    /// A drain by operators, its end, a drain again, and SIGTERM.
    DrainUndrainDrainTerminate,
    /// A drain and its end.
    DrainUndrain,
}

/// Something that happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// Signals and orders at a balancer; one that ends is started again.
    Signals(usize, Series),
    /// SIGSTOP, and SIGCONT 0.15 s later.
    HoldUp(usize),
    /// SIGKILL and a restart.
    Kill(usize),
    /// A host's endpoints are listed so.
    Listed(usize, Phase),
    /// A host hangs for a while.
    Hang(usize),
    /// A host fails everything for a while.
    Fail(usize),
    /// A host ends connections as they come, for a while.
    Refuse(usize),
    /// A host forgets its keys.
    Forget(usize),
    /// The link of a balancer to a host is cut for a while.
    Cut(usize, usize),
    /// The connections of a balancer to a host are reset.
    Reset(usize, usize),
    /// The open watches of a balancer fall silent.
    SilentWatch(usize),
    /// Discovery learns nothing new for a while.
    HoldBack(usize),
    /// The open watches of a balancer are reset.
    ResetWatch(usize),
    /// Discovery moves: SIGHUP, with a new address in the configuration.
    MoveDiscovery(usize),
}

/// A run.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// Balancers.
    pub balancers: usize,
    /// Cache hosts.
    pub hosts: usize,
    /// Ids of each.
    pub ids: usize,
    /// The time that requests give, by class.
    pub deadlines_ms: [u64; 3],
    /// Sockets of each process.
    pub sockets: u64,
    /// Whether lists are pushed to the agents; else they are asked for.
    pub pushed: bool,
    /// In what form lists come.
    pub form: Form,
    /// Callers at each balancer.
    pub callers: usize,
    /// A crowd at the first balancer.
    pub crowd: Crowd,
    /// Busy processes beside it.
    pub busy_processes: usize,
    /// What happens, and when.
    pub events: Vec<(Duration, Event)>,
}

impl Plan {
    /// The run of this seed.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let endpoints = ENDPOINTS[rng.usize(..ENDPOINTS.len())];
        let balancers = rng.usize(1..=9);
        let crowd = match rng.u8(..4) {
            0 => Crowd::Idle(CROWD),
            1 => Crowd::Busy(CROWD),
            _ => Crowd::None,
        };
        let deadlines_ms = [(); 3].map(|()| DEADLINES_MS[rng.usize(..DEADLINES_MS.len())]);
        let piece = rng.bool().then(|| 1 << rng.u32(6..14));
        let form = Form { indented: rng.bool(), whole: rng.bool(), piece };
        let mut events: Vec<_> = (0..rng.usize(EVENTS))
            .map(|_| (Duration::from_millis(rng.u64(EVENTS_AT_MS)), event(&mut rng, balancers)))
            .collect();
        events.sort_by_key(|(at, _)| *at);
        Self {
            seed,
            balancers,
            hosts: HOSTS,
            ids: endpoints / HOSTS,
            deadlines_ms,
            sockets: SOCKETS[usize::from(crowd == Crowd::None && rng.bool())],
            pushed: rng.bool(),
            form,
            callers: rng.usize(3..=8),
            crowd,
            busy_processes: if rng.u8(..4) == 0 { 3 } else { 0 },
            events,
        }
    }

    /// The run of this seed with a busy crowd at the first balancer, which is told to end in the middle of it.
    #[must_use]
    pub fn draw_with_crowd(seed: u64) -> Self {
        const TERMINATED: Duration = Duration::from_millis(2_000);
        let mut plan = Self { crowd: Crowd::Busy(CROWD), sockets: SOCKETS[0], ..Self::draw(seed) };
        plan.events.push((TERMINATED, Event::Signals(0, Series::Terminate)));
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    /// What goes over the configuration of each balancer.
    #[must_use]
    pub fn overrides(&self) -> Value {
        let classes = crate::config::CLASSES.iter().zip(self.deadlines_ms);
        let class = |((name, effect), deadline_ms): (&(&str, &str), u64)| {
            json!({"name": name, "effect": effect, "keyScope": "all", "memorySpanUs": 4_000_000, "worth": 1.0,
                   "lateWorth": 0.5, "onTimeUs": deadline_ms * 500, "deadlineUs": deadline_ms * 1_000})
        };
        let discovery = if self.pushed { "push" } else { "ask" };
        json!({"limits": {"sockets": self.sockets},
               "settings": {"profiles": classes.map(class).collect::<Vec<_>>(), "discovery": discovery}})
    }

    /// When SIGKILL follows SIGTERM, at the earliest that the protocol page allows.
    #[must_use]
    pub fn killed_after(&self) -> Duration {
        const LONGEST_COUNTED_MS: u64 = 3_000;
        const BEHIND_MS: u64 = 700;
        let longest = self.deadlines_ms.iter().copied().max().unwrap_or_default();
        Duration::from_millis(longest.min(LONGEST_COUNTED_MS) + BEHIND_MS)
    }
}

fn event(rng: &mut fastrand::Rng, balancers: usize) -> Event {
    let (balancer, host) = (rng.usize(..balancers), rng.usize(..HOSTS));
    match rng.u8(..18) {
        0 => Event::Signals(balancer, Series::ReloadTwice),
        1 => Event::Signals(balancer, Series::ReloadTerminate),
        2 => Event::Signals(balancer, Series::Terminate),
        3 => Event::Signals(balancer, Series::TerminateTwice),
        4 => Event::Signals(balancer, Series::DrainUndrainDrainTerminate),
        5 => Event::Signals(balancer, Series::DrainUndrain),
        6 => Event::HoldUp(balancer),
        7 => Event::Kill(balancer),
        8 | 9 => Event::Listed(host, Phase::Draining),
        10 => Event::Listed(host, Phase::Gone),
        11 => Event::Hang(host),
        12 => [Event::Fail(host), Event::Refuse(host)][rng.usize(..2)],
        13 => [Event::Forget(host), Event::Reset(balancer, host)][rng.usize(..2)],
        14 => Event::Cut(balancer, host),
        15 => [Event::SilentWatch(balancer), Event::HoldBack(balancer)][rng.usize(..2)],
        16 => Event::ResetWatch(balancer),
        _ => Event::MoveDiscovery(balancer),
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, balancers, hosts, ids, deadlines_ms, sockets, .. } = self;
        write!(f, "seed {seed}: {balancers} balancers, {} endpoints, {deadlines_ms:?} ms, ", hosts * ids)?;
        write!(f, "{sockets} sockets, {}, ", if self.pushed { "pushed" } else { "asked for" })?;
        write!(f, "{:?}, {} callers, crowd {:?}, ", self.form, self.callers, self.crowd)?;
        write!(f, "{} busy processes", self.busy_processes)?;
        self.events.iter().try_for_each(|(at, event)| write!(f, "; {:.3} s {event:?}", at.as_secs_f64()))
    }
}
