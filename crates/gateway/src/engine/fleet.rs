//! The core in a fleet: the fence before new requests, the gate before new hosts, and the count of what was done under which version.

use super::Engine;
use crate::fleet_link::{AuditEvent, FleetLink, FleetUpdate};
use audit::counting::{ActivityCounter, CountKind as Counted, VersionId};
use audit::lease::{self, Lease};
use audit::version::Version;
use calendar::{
    Calendar, Change, ChangeKind, ChangeOutcome as Became, ChangeRecord, GateResult, HoldReason, LeaseState,
    ReleasePace, TopologyGate, Verdict,
};
use decide::api::{Micros, Outcome};
use proto::discovery::{EndpointList, EndpointRecord};
use std::sync::Arc;
use std::time::Duration;

/// How often it is looked whether the lease has ended and whether hosts that waited may be taken. Requests do not wait for it.
pub(super) const LOOKED: Duration = Duration::from_millis(50);
/// How often the fleet's thread is told what was counted.
const REPORTED: Micros = 1_000_000;
/// How what waited for the end of a freeze is taken: no host that is cold pays for all of them.
const STEPS: ReleasePace = ReleasePace { hosts: 8, pause: 1_000 };

/// What a try is counted under: the version that it began with, and whether it writes.
pub(super) type Under = Option<(VersionId, bool)>;

/// What the core holds of the fleet.
pub(super) struct Fleet {
    port: FleetLink,
    lease: Option<Lease>,
    calendar: Arc<Calendar>,
    gate: TopologyGate,
    /// From the first known fleet time on: spans without one could not be laid beside those of others.
    counting: Option<ActivityCounter>,
    /// The revision of the list last heard.
    list: u64,
    standing: LeaseState,
    /// Whether requests were taken at the last look.
    serves: bool,
    next_report: Micros,
    /// What could not be told, as the fleet's thread stood still.
    lost: u64,
}

impl Fleet {
    /// What the fleet's thread says next; none once it is gone.
    pub(super) async fn agreed(&mut self) -> Option<FleetUpdate> {
        self.port.updates.recv().await
    }

    fn serve_until(&self, now: Micros) -> Micros {
        self.lease.as_ref().map_or(0, |lease| lease.serve_until(now))
    }

    /// How things stand now: looked at for each change, so that a process that was stopped finds its lease past.
    fn moment(&self, now: Micros) -> calendar::GateContext {
        let standing = match self.lease.as_ref().map(|lease| lease.state(now).0) {
            Some(lease::LeaseState::Held) => LeaseState::Held,
            Some(lease::LeaseState::Orphaned) => LeaseState::Orphaned,
            Some(lease::LeaseState::Fenced) | None => LeaseState::Fenced,
        };
        let fleet_time = self.lease.as_ref().and_then(|lease| lease.fleet_time(now)).map(in_millis);
        calendar::GateContext { now: now / 1_000, fleet_time, lease: standing }
    }

    fn tell(&mut self, acted: AuditEvent) {
        // Guards the core: it waits for nobody.
        self.lost += u64::from(self.port.audit_events.try_send(acted).is_err());
    }

    fn version(&self) -> Version {
        Version {
            program: self.port.program,
            configuration: self.port.configuration,
            list_revision: self.list,
            calendar: self.calendar.revision(),
            ..Version::default()
        }
    }

    /// Counts on under the version that is in force now.
    fn turn(&mut self, now: Micros) {
        let Some(span) = self.lease.as_ref().and_then(|lease| lease.fleet_time(now)) else { return };
        let version = self.version();
        let port = &self.port;
        let counting = self
            .counting
            .get_or_insert_with(|| ActivityCounter::new(port.number, port.incarnation, version, span));
        if let Some(entry) = counting.switch_version(version, span) {
            self.tell(AuditEvent::Entry(entry));
        }
    }

    fn report(&mut self, now: Micros) {
        let span = self.lease.as_ref().and_then(|lease| lease.fleet_time(now));
        let (Some(span), true) = (span, now >= self.next_report) else { return };
        self.next_report = now + REPORTED;
        if let Some(report) = self.counting.as_mut().map(|counting| counting.report(span)) {
            self.tell(AuditEvent::Report(report));
        }
        match std::mem::take(&mut self.lost) {
            0 => {}
            lost => log::warn!("the fleet's thread stands still: {lost} records or reports are lost"),
        }
    }

    fn note(&mut self, record: ChangeRecord) {
        let (host, kind, revision) = (&record.host, record.kind, record.revision);
        match &record.outcome {
            Became::InitialList => {
                log::debug!("topology: {host} {kind:?} first (calendar revision {revision})")
            }
            outcome => {
                log::info!("topology: {host} {kind:?} {} (calendar revision {revision})", worded(outcome))
            }
        }
        let accepted = !matches!(record.outcome, Became::Held { .. } | Became::QueueFull);
        if let Some(counting) = &mut self.counting {
            counting
                .record_topology_change(format!("{host}\n{kind:?}\n{}", record.list).as_bytes(), accepted);
        }
        self.tell(AuditEvent::Record(record));
    }

    fn noted(&mut self, heard: GateResult) -> EndpointList {
        let first = heard.records.iter().filter(|it| it.outcome == Became::InitialList).count();
        if first > 0 {
            log::info!("topology: {first} hosts of the first list are taken as they are");
        }
        heard.records.into_iter().for_each(|record| self.note(record));
        heard.list
    }

    /// What passes of a list.
    fn hear(&mut self, now: Micros, list: &EndpointList) -> EndpointList {
        self.list = list.revision;
        self.turn(now);
        let heard = self.gate.apply_list(&self.moment(now), &self.calendar, list);
        self.noted(heard)
    }

    /// What waited and passes now. Looked at when its step is due, or when `news` may let more pass.
    fn release(&mut self, now: Micros, news: bool) -> Option<EndpointList> {
        let due = self.gate.next_release_at().is_some_and(|wake| news || wake <= now / 1_000);
        let heard = due.then(|| self.gate.release(&self.moment(now), &self.calendar)).flatten()?;
        Some(self.noted(heard))
    }

    fn may_change(&mut self, now: Micros, kind: ChangeKind) -> Result<(), String> {
        let moment = self.moment(now);
        match self.calendar.check(moment.fleet_time, moment.lease, &Change::of_fleet(kind)) {
            Verdict::Hold { reason, until } => Err(worded(&Became::Held { reason, until })),
            Verdict::Allow { revision, override_id: under } => {
                let outcome = under.map_or(Became::Applied, Became::Override);
                self.note(ChangeRecord { host: "*".into(), kind, list: self.list, outcome, revision });
                Ok(())
            }
        }
    }
}

/// Fleet time in milliseconds, no narrower than it is in microseconds.
fn in_millis(span: lease::TimeInterval) -> calendar::TimeInterval {
    calendar::TimeInterval { earliest: span.earliest / 1_000, latest: span.latest.div_ceil(1_000) }
}

fn worded(outcome: &Became) -> String {
    match outcome {
        Became::Applied | Became::InitialList => "taken".into(),
        Became::Override(id) => format!("taken under override {id}"),
        Became::Replacement => "taken in place of what was lost".into(),
        Became::QueueFull => "neither taken nor kept: too many wait".into(),
        Became::Held { reason, until } => {
            let until = until.map_or_else(String::new, |ms| format!(" until {ms}"));
            let why = match reason {
                HoldReason::Freeze { id, reason } => format!("of freeze {id}: {reason}"),
                HoldReason::NoLease => "no lease is held, or fleet time is not known".into(),
                HoldReason::Queued => "others waited before it".into(),
            };
            format!("held{until} because {why}")
        }
    }
}

/// What a try is counted as; one that was never sent, or ended by ourselves, is not.
fn counted(outcome: Outcome, at_origin: bool, write: bool) -> Option<Counted> {
    use Counted::*;
    let [ok, error, full, timeout, unreachable] = match (write, at_origin) {
        (true, _) => [WriteOk, WriteError, WriteFull, WriteTimeout, WriteUnreachable],
        (false, true) => [FetchOk, FetchError, FetchFull, FetchTimeout, FetchUnreachable],
        (false, false) => [ReadOk, ReadError, ReadFull, ReadTimeout, ReadUnreachable],
    };
    match outcome {
        Outcome::Ok | Outcome::Miss => Some(ok),
        Outcome::Error | Outcome::Reset => Some(error),
        Outcome::Rejected => Some(full),
        Outcome::Timeout => Some(timeout),
        Outcome::ConnectFailed => Some(unreachable),
        Outcome::Cancelled | Outcome::NotSent => None,
    }
}

impl Engine {
    /// From now on requests are taken under the fleet's lease, and hosts by its calendar; fenced until a lease comes. To be called
    /// before [`Engine::run`].
    pub fn join_fleet(&mut self, port: FleetLink) {
        let known: Option<Vec<EndpointRecord>> = self.known.take().map(|list| list.members);
        self.clock = port.clock;
        self.handle.join(port.clock, port.calls.clone());
        self.fleet = Some(Box::new(Fleet {
            port,
            lease: None,
            calendar: Arc::new(Calendar::new(0)),
            gate: TopologyGate::new(known, STEPS),
            counting: None,
            list: 0,
            standing: LeaseState::Fenced,
            serves: false,
            next_report: 0,
            lost: 0,
        }));
    }

    /// Whether nothing new may be taken. Looked at for each request: nothing need have run since the lease ended.
    pub(super) fn fenced(&self) -> bool {
        self.fleet.as_ref().is_some_and(|fleet| {
            let now = self.clock.now();
            now >= fleet.serve_until(now)
        })
    }

    pub(super) fn agreed(&mut self, agreed: FleetUpdate) {
        let Some(fleet) = &mut self.fleet else { return };
        let news = match agreed {
            FleetUpdate::Lease(lease) => {
                fleet.lease = Some(*lease);
                false
            }
            FleetUpdate::Calendar(calendar) => {
                fleet.calendar = calendar;
                true
            }
        };
        self.look_at_fleet(news);
    }

    /// Notes whether the lease is held still, lets in what waited and may come, and reports.
    pub(super) fn look_at_fleet(&mut self, news: bool) {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else { return };
        let until = fleet.serve_until(now);
        self.handle.fence_at(until);
        let serves = now < until;
        if std::mem::replace(&mut fleet.serves, serves) != serves {
            match serves {
                true => log::info!("the lease is held again"),
                false => log::warn!("fenced: nothing new is taken"),
            }
        }
        let standing = fleet.moment(now).lease;
        let news = news || std::mem::replace(&mut fleet.standing, standing) != standing;
        fleet.turn(now);
        fleet.report(now);
        if let Some(list) = fleet.release(now, news) {
            self.let_in(&list, false);
            self.dial_listed(&list);
        }
    }

    /// What passes of discovery's list; nothing is held without a fleet.
    pub(super) fn gated(&mut self, list: &EndpointList) -> Option<EndpointList> {
        let now = self.clock.now();
        self.fleet.as_mut().map(|fleet| fleet.hear(now, list))
    }

    pub(super) fn may_change(&mut self, kind: ChangeKind) -> Result<(), String> {
        let now = self.clock.now();
        self.fleet.as_mut().map_or(Ok(()), |fleet| fleet.may_change(now, kind))
    }

    pub(super) fn count_refused(&mut self) {
        if let Some(counting) = self.fleet.as_mut().and_then(|fleet| fleet.counting.as_mut()) {
            counting.count(Counted::Refused);
        }
    }

    /// What a try that begins now is to be counted under.
    pub(super) fn under(&self, write: bool) -> Under {
        let counting = self.fleet.as_ref()?.counting.as_ref()?;
        Some((counting.version(), write))
    }

    pub(super) fn count_try(&mut self, under: Under, at_origin: bool, outcome: Outcome) {
        let Some((version, write)) = under else { return };
        let counting = self.fleet.as_mut().and_then(|fleet| fleet.counting.as_mut());
        if let (Some(counting), Some(kind)) = (counting, counted(outcome, at_origin, write)) {
            counting.count_under(version, kind);
        }
    }
}
