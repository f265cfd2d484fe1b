//! The engine in a fleet, on a paused clock: lease, topology gate and audit.

mod support;

use audit::lease::{Lease, LeaseGrant, LeaseSettings};
use bytes::Bytes;
use calendar::{Calendar, ChangeOutcome, Entry, Freeze, Proposal, Scope, ScopeTarget};
use decide::api::{Outcome, RequestId};
use gateway::Answer;
use gateway::engine::testing::SteppedEngine;
use gateway::engine::{Handle, Ticket};
use gateway::fleet_link::{
    AuditEvent, ChangeKind, ChangeRecord, Clock, FleetCall, FleetLink, FleetRequest, FleetUpdate,
};
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use std::sync::Arc;
use std::time::Duration;
use support::{config, final_answer, submit};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{Instant, advance};
use upstream::connection::AttemptResult;

const LEASE: Duration = Duration::from_secs(3_600);
/// The fleet time at which tests start: 2030-01-01 00:05 UTC, five minutes after the start of the freeze.
const NOW_US: u64 = 1_893_456_300_000_000;

/// An engine that has joined a fleet, with the fleet thread's ends of its channels.
struct FleetBalancer {
    engine: SteppedEngine,
    handle: Handle,
    audit_events: mpsc::Receiver<AuditEvent>,
    _updates: mpsc::UnboundedSender<FleetUpdate>,
    _calls: mpsc::Receiver<FleetRequest>,
}

fn endpoint_record(id: &str, phase: Phase) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        host_port: ([127, 0, 0, 1], 1).into(),
        locality: String::new(),
        flavor: String::new(),
        cell: 0,
        phase,
        size: 1.0,
        up_since_ms: 1,
    }
}

fn list(revision: u64, members: &[(&str, Phase)]) -> EndpointList {
    let members = members.iter().map(|(id, phase)| endpoint_record(id, *phase)).collect();
    EndpointList { revision, complete: true, members }
}

/// Creates an engine that knows endpoint `a` from before the start, and joins a fleet.
fn start_in_fleet() -> FleetBalancer {
    let (mut engine, handle) = SteppedEngine::new(&config(Some(list(1, &[("a", Phase::Ready)]))));
    let (updates_sender, updates) = mpsc::unbounded_channel();
    let (calls, calls_receiver) = mpsc::channel(8);
    let (audit_sender, audit_events) = mpsc::channel(64);
    let clock = engine.clock();
    engine.join_fleet(FleetLink {
        updates,
        calls,
        audit_events: audit_sender,
        clock,
        number: 0,
        incarnation: 7,
        program: 1,
        configuration: 2,
    });
    FleetBalancer { engine, handle, audit_events, _updates: updates_sender, _calls: calls_receiver }
}

fn lease(clock: Clock) -> Lease {
    let now = clock.now();
    let span = LEASE.as_micros() as u64;
    let mut lease = Lease::new(0, 7, LeaseSettings::new(span, span, 3), now);
    let serial = lease.poll_request(now).unwrap().serial;
    lease.apply_grants(now, 1, NOW_US, &[LeaseGrant { number: 0, incarnation: 7, serial }]);
    lease
}

/// Returns a calendar that freezes the whole fleet from 2030-01-01 00:00 UTC for ten minutes.
fn frozen_calendar() -> Arc<Calendar> {
    let freeze = Freeze {
        id: "new-year".into(),
        reason: "nobody is there".into(),
        asked_by: "Ana Ruiz".into(),
        start: "2030-01-01T00:00".parse().unwrap(),
        end: "2030-01-01T00:10".parse().unwrap(),
        zone: "UTC".into(),
        exceptions: vec![],
        scope: Scope { kinds: vec![], place: ScopeTarget::Fleet },
        repeat: None,
    };
    let mut calendar = Calendar::new(0);
    calendar.apply(1, NOW_US / 1_000 - 3_600_000, &Proposal::Add(Entry::Freeze(freeze)));
    calendar.build_index();
    Arc::new(calendar)
}

fn served_result(value: &'static [u8]) -> AttemptResult {
    AttemptResult {
        outcome: Outcome::Ok,
        value: Bytes::from_static(value),
        memory: None,
        large: None,
        fetch_pending: false,
        doubtful: false,
        stale: false,
        connection: None,
    }
}

impl FleetBalancer {
    fn grant_lease(&mut self) {
        let lease = lease(self.engine.clock());
        self.engine.apply_fleet_update(FleetUpdate::Lease(Box::new(lease)));
    }

    async fn submit(&mut self, n: u64) -> Ticket {
        let ticket = submit(&self.handle, n, &format!("{n:x}"), Instant::now());
        self.engine.handle_next_input().await;
        ticket
    }

    /// Returns the last activity report among the pending audit events.
    fn last_report(&mut self) -> audit::ledger::ActivityReport {
        let mut last = None;
        while let Ok(event) = self.audit_events.try_recv() {
            last = if let AuditEvent::Report(report) = event { Some(report) } else { last };
        }
        last.expect("the audit events contain no activity report")
    }
}

#[tokio::test(start_paused = true)]
async fn requests_without_lease_are_rejected_before_next_engine_run() {
    let run = async {
        let mut balancer = start_in_fleet();
        balancer.engine.skip_first_list();
        assert!(matches!(final_answer(balancer.submit(1).await).await, Answer::Rejected(0)));
        let counters = balancer.engine.counters();
        assert!(counters.contains("1 rejected (fenced 1)"), "{counters}");
        balancer.grant_lease();
        balancer.engine.update_readiness();
        assert!(balancer.handle.is_ready());
        let _accepted = balancer.submit(2).await;
        assert_eq!(balancer.engine.request_count(), 1, "request 2 is accepted under the lease");
        advance(LEASE).await;
        assert!(!balancer.handle.is_ready(), "not ready even before the engine has run again");
        assert!(matches!(final_answer(balancer.submit(3).await).await, Answer::Rejected(0)));
        let counters = balancer.engine.counters();
        assert!(counters.contains("2 rejected (fenced 2)"), "{counters}");
        balancer.engine.update_readiness();
        assert!(!balancer.engine.last_readiness());
        balancer.grant_lease();
        balancer.engine.update_readiness();
        assert!(balancer.handle.is_ready(), "ready again under a new lease");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn request_accepted_before_fencing_is_completed_with_one_answer() {
    let run = async {
        let mut balancer = start_in_fleet();
        let time_left = Duration::from_secs(1);
        balancer.grant_lease();
        advance(LEASE - LEASE / 1_000 - time_left).await;
        let ticket = balancer.submit(1).await;
        assert_eq!(balancer.engine.attempts_in_flight(RequestId(0)), 1, "the attempt is in flight");
        let attempt = balancer.engine.first_attempt(RequestId(0), "a");
        advance(time_left).await;
        assert!(balancer.engine.is_fenced());
        balancer.engine.end_attempt(attempt, served_result(b"value"));
        assert!(matches!(final_answer(ticket).await, Answer::Served(value) if value.bytes == "value"));
        assert_eq!(balancer.engine.request_count(), 0);
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn freeze_holds_joining_endpoints_and_applies_drains_at_once() {
    let run = async {
        let mut balancer = start_in_fleet();
        balancer.engine.apply_fleet_update(FleetUpdate::Calendar(frozen_calendar()));
        balancer.grant_lease();
        let all = |a| list(2, &[("a", a), ("b", Phase::Ready), ("c", Phase::Ready)]);
        let accepting = |balancer: &FleetBalancer| {
            ["a", "b", "c"].map(|endpoint| balancer.engine.accepts_requests(endpoint))
        };
        balancer.engine.apply_list(&all(Phase::Ready));
        assert_eq!(accepting(&balancer), [true, false, false]);
        let mut held = Vec::new();
        while let Ok(event) = balancer.audit_events.try_recv() {
            if let AuditEvent::Record(ChangeRecord { host, outcome: ChangeOutcome::Held { .. }, .. }) = event
            {
                held.push(host);
            }
        }
        assert_eq!(held, ["b", "c"], "the fleet thread receives a record of each held change");
        let error = balancer.engine.check_change(ChangeKind::Discovery).unwrap_err().to_string();
        assert!(error.contains("new-year"), "{error}");
        balancer.engine.apply_list(&all(Phase::Draining));
        assert_eq!(accepting(&balancer), [false, true, false], "only b is applied, as the replacement of a");
        advance(Duration::from_secs(360)).await;
        balancer.engine.poll_fleet();
        assert_eq!(accepting(&balancer), [false, true, true], "c is applied after the end of the freeze");
        assert!(balancer.engine.check_change(ChangeKind::Discovery).is_ok());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn planned_change_is_held_without_lease_and_never_without_fleet() {
    let run = async {
        let more = list(2, &[("a", Phase::Ready), ("b", Phase::Ready)]);
        let mut balancer = start_in_fleet();
        balancer.engine.apply_list(&more);
        assert!(balancer.engine.accepts_requests("a") && !balancer.engine.accepts_requests("b"));
        balancer.grant_lease();
        assert!(balancer.engine.accepts_requests("b"), "a lease implies that all agreed changes are known");

        let (mut standalone, handle) = SteppedEngine::new(&config(Some(list(1, &[("a", Phase::Ready)]))));
        standalone.apply_list(&more);
        assert!(standalone.is_listed("b"));
        assert!(!standalone.is_fenced() && handle.check_change(ChangeKind::Discovery).await.is_ok());
        assert!(handle.call_fleet(FleetCall::View).await.is_none());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn attempts_are_counted_under_the_version_they_started_with() {
    let run = async {
        let mut balancer = start_in_fleet();
        balancer.grant_lease();
        let before = balancer.engine.audited_version(false);
        balancer.engine.apply_fleet_update(FleetUpdate::Calendar(frozen_calendar()));
        balancer.engine.audit_attempt(before, Outcome::Timeout);
        balancer.engine.audit_attempt(balancer.engine.audited_version(true), Outcome::Ok);
        advance(Duration::from_secs(1)).await;
        balancer.engine.poll_fleet();
        let periods = balancer.last_report().periods;
        let counted: Vec<_> = periods
            .iter()
            .map(|period| {
                (period.version.calendar, period.counts[3], period.counts[5], period.version.program)
            })
            .collect();
        assert_eq!(counted, [(0, 1, 0, 1), (1, 0, 1, 1)]);
    };
    LocalSet::new().run_until(run).await;
}

/// Returns lists with endpoint changes of several kinds that the topology gate distinguishes.
fn changing_lists() -> [EndpointList; 5] {
    let mut moved = list(4, &[("b", Phase::Ready)]);
    moved.members[0].locality = "elsewhere".into();
    let mut lighter = list(5, &[("b", Phase::Ready)]);
    lighter.members[0].size = 0.5;
    let mut heavier = list(6, &[("b", Phase::Ready)]);
    heavier.members[0].size = 4.0;
    [
        list(2, &[("a", Phase::Ready), ("b", Phase::Ready), ("c", Phase::Ready)]),
        list(3, &[("a", Phase::Draining), ("b", Phase::Ready)]),
        moved,
        lighter,
        heavier,
    ]
}

/// Guards against a digest that differs between versions: operators compare the digests of balancers of different
/// versions.
#[tokio::test(start_paused = true)]
async fn digest_of_topology_changes_keeps_its_value() {
    let run = async {
        let mut balancer = start_in_fleet();
        balancer.grant_lease();
        changing_lists().iter().for_each(|list| balancer.engine.apply_list(list));
        for kind in [ChangeKind::Discovery, ChangeKind::Configuration] {
            assert!(balancer.engine.check_change(kind).is_ok());
        }
        balancer.engine.apply_fleet_update(FleetUpdate::Calendar(frozen_calendar()));
        balancer.engine.apply_list(&list(7, &[("b", Phase::Ready), ("d", Phase::Ready)]));
        assert!(balancer.engine.check_change(ChangeKind::Restart).is_err());
        advance(Duration::from_secs(1)).await;
        balancer.engine.poll_fleet();
        let (mut text, mut last) = (String::new(), None);
        while let Ok(event) = balancer.audit_events.try_recv() {
            match event {
                AuditEvent::Record(record) => {
                    text +=
                        &format!("{} {} {}\n", record.host, record.list_revision, record.calendar_revision);
                }
                AuditEvent::Report(report) => last = Some(report),
                AuditEvent::Entry(_) => {}
            }
        }
        for period in last.unwrap().periods {
            text += &format!("digest {:016x}, counts {:?}\n", period.digest, period.counts);
        }
        expect_test::expect_file!["golden/topology-digest.txt"].assert_eq(&text);
    };
    LocalSet::new().run_until(run).await;
}
