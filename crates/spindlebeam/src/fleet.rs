//! The fleet's thread: the socket, the clock and the disk of this balancer's part in a fleet in agreement.
//!
//! It runs beside the core's thread, so that neither a vote nor a disk that stands still waits in a request's way; what the core
//! needs goes over as copies (`gateway::fleet_link`).

use agreement::{MemoryStore, Store, StoreChange, StoredState, VotingBlock};
use anyhow::{Context, Result, ensure};
use audit::lease::LeaseState;
use bytes::Bytes;
use fleet::{FleetFile, FleetMember, MemberConfig, Output, ProposalOutcome};
use gateway::fleet_link::{AuditEvent, Clock, FleetCall, FleetLink, FleetUpdate};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use storage::DiskStore;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::time::DelayQueue;

/// Calls of the door that wait for the thread at most; more are turned away.
const CALLS: usize = 64;
/// What the core tells that waits for the thread at most; more is dropped and counted by the ledger as missing.
const RECORDS: usize = 4_096;
/// How often spans of the ledger go to disk.
const SPANS_EVERY: Duration = Duration::from_secs(5);
/// Spans read back from disk at a time at a start; the ledger itself bounds what it holds of them.
const SPANS_READ: usize = 4_096;
/// How often the figures are logged.
const REPORT_EVERY: Duration = Duration::from_secs(10);
/// The program's version, as told to others.
const PROGRAM: &str = env!("CARGO_PKG_VERSION");

/// What the command line says of the fleet.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The file that names the balancers; no fleet without one.
    pub file: Option<PathBuf>,
    /// Where datagrams are received, if not at the address that the file gives.
    pub listen: Option<SocketAddr>,
    /// The folder that lasts, if there is such.
    pub keep: Option<PathBuf>,
}

/// Where a log is kept: on disk where there is one.
enum Memory {
    Disk(DiskStore),
    None(MemoryStore),
}

impl Store for Memory {
    type Error = storage::Error;
    fn load(&mut self) -> Result<StoredState, storage::Error> {
        match self {
            Memory::Disk(keep) => keep.load(),
            Memory::None(store) => store.load().map_err(|never| match never {}),
        }
    }
    fn write(&mut self, changes: &[StoreChange]) -> Result<(), storage::Error> {
        match self {
            Memory::Disk(keep) => keep.write(changes),
            Memory::None(store) => store.write(changes).map_err(|never| match never {}),
        }
    }
}

/// Starts the thread; `name` is this balancer's, `seed` that of all chance.
///
/// # Errors
/// When the file cannot be used, names no such balancer, or the socket or the disk cannot be had.
pub fn start(options: &Options, name: &str, seed: u64, clock: Clock) -> Result<Option<FleetLink>> {
    let Some(path) = &options.file else { return Ok(None) };
    let file = FleetFile::read(path)?;
    let me = file.find(name).with_context(|| format!("{}: no balancer is named {name:?}", path.display()))?;
    let (number, address, votes) = (me.node_id, options.listen.unwrap_or(me.address), me.is_founding_voter);
    let socket = std::net::UdpSocket::bind(address)
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .with_context(|| format!("fleet: listening on {address}"))?;
    let offset = clock_offset()?;
    log::info!("fleet: {} of {} balancers, leases of {:#}", file.name, file.balancers.len(), file.lease);
    log::info!("fleet: listening on {}", socket.local_addr()?);
    let (store, ledger) = open(options.keep.as_deref(), votes)?;
    let (agreed_to, agreed) = mpsc::unbounded_channel();
    let (calls, calls_in) = mpsc::channel(CALLS);
    let (acted, acted_in) = mpsc::channel(RECORDS);
    let unix = Unix { clock, offset };
    let incarnation = unix.now(); // grows from start to start, but for clocks that go back: membership sees to these
    let program = xxhash_rust::xxh3::xxh3_64(PROGRAM.as_bytes());
    let configuration = file.hash;
    let begin = MemberConfig { node_id: number, incarnation, store, seed: seed ^ incarnation };
    let thread = std::thread::Builder::new().name("fleet".into()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let part = FleetMember::new(file, begin, clock.now());
        let ended = runtime.map_err(anyhow::Error::from).and_then(|runtime| {
            // All of it inside: a socket is registered with the runtime that it is made in.
            runtime.block_on(async {
                Thread::new(part, socket, ledger, unix, agreed_to)?.run(calls_in, acted_in).await
            })
        });
        log::error!("fleet: the thread has ended: {ended:?}"); // the lease ends with it, and so does taking requests
    });
    thread.context("starting the fleet's thread")?;
    Ok(Some(FleetLink {
        updates: agreed,
        calls,
        audit_events: acted,
        clock,
        number,
        incarnation,
        program,
        configuration,
    }))
}

/// What a fleet file makes of the balancer with this name.
///
/// # Errors
/// When it cannot be used, or names no such balancer.
pub fn checked(file: &Path, name: &str) -> Result<String> {
    let fleet = FleetFile::read(file)?;
    let me =
        fleet.find(name).with_context(|| format!("{}: no balancer is named {name:?}", file.display()))?;
    let votes = if me.is_founding_voter { "one of the council" } else { "not of the council" };
    let (count, lease) = (fleet.balancers.len(), fleet.lease);
    Ok(format!(
        "fleet {}: {name} is number {} of {count}, {votes}; leases of {lease:#}",
        fleet.name, me.node_id
    ))
}

/// A clock set wrongly on purpose, for trials of fleets whose clocks differ.
fn clock_offset() -> Result<i64> {
    match std::env::var("SPINDLEBEAM_CLOCK_OFFSET_MS") {
        Ok(text) => {
            text.parse().with_context(|| format!("SPINDLEBEAM_CLOCK_OFFSET_MS: {text:?} is no number"))
        }
        Err(_) => Ok(0),
    }
}

fn open(folder: Option<&Path>, votes: bool) -> Result<(Memory, Option<DiskStore>)> {
    let Some(folder) = folder else { return Ok((Memory::None(MemoryStore::default()), None)) };
    std::fs::create_dir_all(folder).with_context(|| format!("--keep {}", folder.display()))?;
    ensure!(folder.is_dir(), "--keep {}: no folder", folder.display());
    let store = match votes {
        true => Memory::Disk(DiskStore::open(folder.join("council.redb"))?),
        false => Memory::None(MemoryStore::default()),
    };
    Ok((store, Some(DiskStore::open(folder.join("ledger.redb"))?)))
}

/// This machine's Unix time. Only a leader's is looked at, for stamps.
#[derive(Clone, Copy)]
struct Unix {
    clock: Clock,
    offset: i64,
}

impl Unix {
    fn now(&self) -> u64 {
        gateway::engine::unix_us().saturating_add_signed(self.offset.saturating_mul(1_000))
    }
}

struct Thread {
    part: FleetMember<Memory>,
    socket: UdpSocket,
    ledger: Option<DiskStore>,
    unix: Unix,
    agreed: mpsc::UnboundedSender<FleetUpdate>,
    timers: DelayQueue<membership::Timer>,
    asked: HashMap<u64, oneshot::Sender<(u16, String)>>,
    standing: Option<LeaseState>,
    joined: bool,
}

type Calls = mpsc::Receiver<gateway::fleet_link::FleetRequest>;

impl Thread {
    fn new(
        part: FleetMember<Memory>, socket: std::net::UdpSocket, ledger: Option<DiskStore>, unix: Unix,
        agreed: mpsc::UnboundedSender<FleetUpdate>,
    ) -> Result<Self> {
        let socket = UdpSocket::from_std(socket)?;
        let (timers, asked, standing, joined) = Default::default();
        let mut it = Self { part, socket, ledger, unix, agreed, timers, asked, standing, joined };
        let mut from = 0;
        while let Some(keep) = &it.ledger {
            let records = keep.records(from, SPANS_READ)?;
            let Some(last) = records.last() else { break };
            from = last.number + 1;
            records.iter().for_each(|record| it.part.restore_entry(&record.bytes));
        }
        Ok(it)
    }

    async fn run(mut self, mut calls: Calls, mut acted: mpsc::Receiver<AuditEvent>) -> Result<()> {
        let mut tick = interval(Duration::from_micros(agreement::TICK_INTERVAL_US));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (mut spans, mut report) = (interval(SPANS_EVERY), interval(REPORT_EVERY));
        let mut buffer = [0; fleet::wire::MAX_BYTES + 1];
        self.carry_out();
        loop {
            let clock = self.unix.clock;
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((n, from)) => self.part.handle_datagram(clock.now(), from, &buffer[..n]),
                    Err(_) => continue, // an answer of the system to what was sent: as lost as other datagrams
                },
                _ = tick.tick() => {
                    self.part.tick(clock.now(), self.unix.now());
                    self.look();
                }
                Some(due) = std::future::poll_fn(|cx| self.timers.poll_expired(cx)), if !self.timers.is_empty() => {
                    self.part.handle_timer(clock.now(), due.into_inner());
                }
                Some((call, answer)) = calls.recv() => self.called(call, answer),
                told = acted.recv() => match told {
                    Some(AuditEvent::Report(told)) => self.part.publish_report(clock.now(), told),
                    Some(AuditEvent::Entry(span)) => self.part.record_own_entry(span),
                    Some(AuditEvent::Record(_)) => {} // the core has logged it, and its digest is in the report
                    None => return Ok(()), // the core is gone, and the program with it
                },
                _ = spans.tick() => self.keep_spans(),
                _ = report.tick() => log::info!("fleet: datagrams: {}", self.part.counters()),
            }
            self.carry_out();
        }
    }

    fn carry_out(&mut self) {
        while let Some(output) = self.part.poll() {
            match output {
                Output::Send { to, datagram } => {
                    let _ = self.socket.try_send_to(&datagram, to); // one that does not go out is lost, as others are
                }
                Output::SetTimer { after, timer } => {
                    self.timers.insert(timer, Duration::from_micros(after));
                }
                Output::LeaseChanged(lease) => {
                    let _ = self.agreed.send(FleetUpdate::Lease(lease));
                }
                Output::CalendarChanged(calendar) => {
                    let _ = self.agreed.send(FleetUpdate::Calendar(Arc::new(*calendar)));
                }
                Output::MembersChanged(count) => {
                    if count > 1 && !std::mem::replace(&mut self.joined, true) {
                        log::info!("fleet: joined");
                    }
                    log::info!("fleet: {count} balancers are in");
                }
                Output::CaughtUp(revision) => log::info!("fleet: caught up to revision {revision}"),
                Output::LeadershipChanged(leads) => {
                    log::info!(
                        "fleet: {}",
                        if leads { "leads the council" } else { "leads the council no more" }
                    );
                }
                Output::VotersChanged(numbers) => log::info!("fleet: the council is {numbers:?}"),
                Output::VotingBlocked(why) => log::error!("fleet: does not vote: {}", worded(&why)),
                Output::ProposalFinished { id, outcome } => {
                    let Some(answer) = self.asked.remove(&id) else { continue };
                    let _ = answer.send(match outcome {
                        ProposalOutcome::Committed { revision, applied } => {
                            let refused = matches!(applied, Some(calendar::Applied::Refused(_)));
                            let body = json!({"revision": revision, "came_to": format!("{applied:?}")});
                            (if refused { 409 } else { 200 }, body.to_string())
                        }
                        ProposalOutcome::TimedOut => {
                            (504, json!({"error": "not agreed in time; it may still be"}).to_string())
                        }
                    });
                }
            }
        }
    }

    fn called(&mut self, call: FleetCall, answer: oneshot::Sender<(u16, String)>) {
        let now = self.unix.clock.now();
        match call {
            FleetCall::View => {
                let _ = answer.send((200, self.part.view(now).to_string()));
            }
            FleetCall::Propose(proposal) => match self.part.propose(now, proposal) {
                Ok(id) => {
                    self.asked.insert(id, answer);
                }
                Err(error) => {
                    let _ = answer.send((503, json!({"error": error.to_string()}).to_string()));
                }
            },
        }
    }

    /// Tells once of each change of what this balancer may do.
    fn look(&mut self) {
        let (standing, _) = self.part.lease().state(self.unix.clock.now());
        if self.standing.replace(standing) == Some(standing) {
            return;
        }
        match standing {
            LeaseState::Held => log::info!("fleet: lease held"),
            LeaseState::Fenced => {
                log::warn!("fleet: fenced: no lease, and the fault is here: nothing new is taken")
            }
            LeaseState::Orphaned => {
                log::error!("fleet: orphaned: the council is lost; requests go on, planned changes wait");
            }
        }
    }

    fn keep_spans(&mut self) {
        let spans: Vec<Bytes> = self.part.take_unsaved_entries().into_iter().map(Bytes::from).collect();
        if let Some(keep) = self.ledger.as_mut().filter(|_| !spans.is_empty())
            && let Err(error) = keep.append_records(&spans)
        {
            log::error!("fleet: the ledger is not kept any more: {error}");
            self.ledger = None;
        }
    }
}

fn worded(why: &VotingBlock) -> String {
    match why {
        VotingBlock::LostState => {
            "it starts without memory, and others have some: it may have voted before".into()
        }
        VotingBlock::StaleStore { ours, heard } => {
            format!("its disk counts {ours} writes, and others have heard of {heard}: it is an old one")
        }
        VotingBlock::StorageFailed(error) => format!("its disk failed: {error}"),
    }
}
