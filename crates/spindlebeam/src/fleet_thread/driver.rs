//! The event loop of the fleet thread.

use super::answer::{AnswerSender, send_outcome, send_rejection, send_view, voting_block_text};
use super::stores::LogStore;
use super::unix_clock::UnixClock;
use anyhow::Result;
use audit::lease::LeaseState;
use bytes::Bytes;
use fleet::{FleetMember, Output};
use gateway::fleet_link::{AuditEvent, Clock, FleetCall, FleetRequest, FleetUpdate};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use storage::DiskStore;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::time::DelayQueue;

/// Interval at which new ledger records are written to disk.
const SAVE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of records read from disk at a time at the start; the ledger itself limits how many it holds.
const RECORDS_PER_READ: usize = 4_096;
/// Interval at which the datagram counters are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Passes datagrams, timers, calls and events to the fleet member, and carries out its outputs.
pub(super) struct Driver {
    member: FleetMember<LogStore>,
    socket: UdpSocket,
    /// The ledger's file; `None` without a folder and after a failed write.
    ledger: Option<DiskStore>,
    clock: Clock,
    unix_clock: UnixClock,
    updates: mpsc::UnboundedSender<FleetUpdate>,
    timers: DelayQueue<membership::Timer>,
    /// Calls that wait for the outcome of a proposal.
    pending_calls: HashMap<u64, AnswerSender>,
    /// The state of the lease that was logged last.
    logged_lease_state: Option<LeaseState>,
    has_joined: bool,
}

impl Driver {
    pub(super) fn new(
        member: FleetMember<LogStore>, socket: std::net::UdpSocket, ledger: Option<DiskStore>, clock: Clock,
        unix_clock: UnixClock, updates: mpsc::UnboundedSender<FleetUpdate>,
    ) -> Result<Self> {
        let mut driver = Self {
            member,
            socket: UdpSocket::from_std(socket)?,
            ledger,
            clock,
            unix_clock,
            updates,
            timers: DelayQueue::new(),
            pending_calls: HashMap::new(),
            logged_lease_state: None,
            has_joined: false,
        };
        driver.restore_ledger()?;
        Ok(driver)
    }

    fn restore_ledger(&mut self) -> Result<()> {
        let Some(ledger) = &self.ledger else { return Ok(()) };
        let mut from = 0;
        loop {
            let records = ledger.records(from, RECORDS_PER_READ)?;
            let Some(last) = records.last() else { return Ok(()) };
            from = last.number + 1;
            for record in &records {
                self.member.restore_entry(&record.bytes);
            }
        }
    }

    /// Runs until the core has ended.
    pub(super) async fn run(
        mut self, mut calls: mpsc::Receiver<FleetRequest>, mut audit_events: mpsc::Receiver<AuditEvent>,
    ) -> Result<()> {
        let mut tick = interval(Duration::from_micros(agreement::TICK_INTERVAL_US));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut save = interval(SAVE_INTERVAL);
        let mut report = interval(REPORT_INTERVAL);
        let mut buffer = [0; fleet::wire::MAX_BYTES + 1];
        self.carry_out_outputs();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.handle_datagram(from, &buffer[..length]),
                    Err(_) => continue, // reports the failure of an earlier datagram, which counts as lost
                },
                _ = tick.tick() => self.handle_tick(),
                Some(expired) = poll_fn(|context| self.timers.poll_expired(context)), if !self.timers.is_empty() => {
                    self.member.handle_timer(self.clock.now(), expired.into_inner());
                }
                Some((call, answer)) = calls.recv() => self.handle_call(call, answer),
                event = audit_events.recv() => match event {
                    Some(event) => self.handle_audit_event(event),
                    None => return Ok(()),
                },
                _ = save.tick() => self.save_ledger(),
                _ = report.tick() => log::info!("fleet: datagrams: {}", self.member.counters()),
            }
            self.carry_out_outputs();
        }
    }

    fn handle_datagram(&mut self, from: SocketAddr, datagram: &[u8]) {
        self.member.handle_datagram(self.clock.now(), from, datagram);
    }

    fn handle_tick(&mut self) {
        self.member.tick(self.clock.now(), self.unix_clock.now());
        self.log_lease_state();
    }

    fn handle_call(&mut self, call: FleetCall, answer: AnswerSender) {
        let now = self.clock.now();
        match call {
            FleetCall::View => send_view(answer, &self.member.view(now)),
            FleetCall::Propose(proposal) => match self.member.propose(now, proposal) {
                Ok(id) => {
                    self.pending_calls.insert(id, answer);
                }
                Err(error) => send_rejection(answer, error),
            },
        }
    }

    fn handle_audit_event(&mut self, event: AuditEvent) {
        match event {
            AuditEvent::Report(report) => self.member.publish_report(self.clock.now(), report),
            AuditEvent::Entry(entry) => self.member.record_own_entry(entry),
            // The core has logged the record, and its digest is in the report.
            AuditEvent::Record(_) => {}
        }
    }

    fn carry_out_outputs(&mut self) {
        while let Some(output) = self.member.poll() {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, datagram } => {
                let _ = self.socket.try_send_to(&datagram, to); // a datagram that cannot be sent counts as lost
            }
            Output::SetTimer { after, timer } => {
                self.timers.insert(timer, Duration::from_micros(after));
            }
            Output::LeaseChanged(lease) => self.send_update(FleetUpdate::Lease(lease)),
            Output::CalendarChanged(calendar) => {
                self.send_update(FleetUpdate::Calendar(Arc::new(*calendar)));
            }
            Output::MembersChanged(count) => self.log_members(count),
            Output::CaughtUp(revision) => log::info!("fleet: caught up to revision {revision}"),
            Output::LeadershipChanged(true) => log::info!("fleet: became leader"),
            Output::LeadershipChanged(false) => log::info!("fleet: no longer leader"),
            Output::VotersChanged(voters) => log::info!("fleet: voters are {voters:?}"),
            Output::VotingBlocked(reason) => {
                log::error!("fleet: voting blocked: {}", voting_block_text(&reason));
            }
            Output::ProposalFinished { id, outcome } => {
                if let Some(answer) = self.pending_calls.remove(&id) {
                    send_outcome(answer, &outcome);
                }
            }
        }
    }

    fn send_update(&self, update: FleetUpdate) {
        let _ = self.updates.send(update); // fails only when the core has ended; then the loop ends too
    }

    fn log_members(&mut self, count: usize) {
        if count > 1 && !self.has_joined {
            self.has_joined = true;
            log::info!("fleet: joined");
        }
        log::info!("fleet: {count} members");
    }

    /// Logs each change of the lease's state once.
    fn log_lease_state(&mut self) {
        let (state, _) = self.member.lease().state(self.clock.now());
        if self.logged_lease_state.replace(state) == Some(state) {
            return;
        }
        match state {
            LeaseState::Held => log::info!("fleet: lease held"),
            LeaseState::Fenced => {
                log::warn!("fleet: fenced: no lease and the fault is local; new requests are rejected");
            }
            LeaseState::Orphaned => {
                log::error!("fleet: orphaned: quorum lost; requests are served, planned changes wait");
            }
        }
    }

    /// Writes the new records of the ledger to disk. After a failure the ledger stays in memory only.
    fn save_ledger(&mut self) {
        let entries = self.member.take_unsaved_entries();
        let Some(ledger) = self.ledger.as_mut().filter(|_| !entries.is_empty()) else { return };
        let records: Vec<Bytes> = entries.into_iter().map(Bytes::from).collect();
        if let Err(error) = ledger.append_records(&records) {
            log::error!("fleet: ledger no longer stored: {error}");
            self.ledger = None;
        }
    }
}
