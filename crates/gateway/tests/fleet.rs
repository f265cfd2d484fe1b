//! The engine in a fleet, on a clock that only the tests move: lease, topology gate and audit.

mod support;

use audit::lease::{Lease, LeaseGrant, Settings};
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
/// 2030-01-01 00:05 UTC, five minutes into the freeze.
const NOW_US: u64 = 1_893_456_300_000_000;

/// An engine that has joined a fleet, with the other ends of its channels.
struct World {
    engine: SteppedEngine,
    handle: Handle,
    audit_events: mpsc::Receiver<AuditEvent>,
    _updates: mpsc::UnboundedSender<FleetUpdate>,
    _calls: mpsc::Receiver<FleetRequest>,
}

fn member(id: &str, phase: Phase) -> EndpointRecord {
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
    let members = members.iter().map(|(id, phase)| member(id, *phase)).collect();
    EndpointList { revision, complete: true, members }
}

/// An engine that knows endpoint a from before, and has joined a fleet.
fn joined() -> World {
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
    World { engine, handle, audit_events, _updates: updates_sender, _calls: calls_receiver }
}

fn lease(clock: Clock) -> Lease {
    let now = clock.now();
    let span = LEASE.as_micros() as u64;
    let mut lease = Lease::new(0, 7, Settings::new(span, span, 3), now);
    let serial = lease.poll_request(now).unwrap().serial;
    lease.apply_grants(now, 1, NOW_US, &[LeaseGrant { number: 0, incarnation: 7, serial }]);
    lease
}

/// A calendar that freezes everything from 2030-01-01 00:00 UTC for ten minutes.
fn frozen() -> Arc<Calendar> {
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

fn served(value: &'static [u8]) -> AttemptResult {
    AttemptResult {
        outcome: Outcome::Ok,
        value: Bytes::from_static(value),
        large: None,
        fetch_pending: false,
        stale: false,
        connection: None,
    }
}

impl World {
    fn grant_lease(&mut self) {
        let lease = lease(self.engine.clock());
        self.engine.apply_fleet_update(FleetUpdate::Lease(Box::new(lease)));
    }

    async fn submit(&mut self, n: u64) -> Ticket {
        let ticket = submit(&self.handle, n, &format!("{n:x}"), Instant::now());
        self.engine.handle_next_input().await;
        ticket
    }

    /// The last report of activity among the pending audit events.
    fn last_report(&mut self) -> audit::ledger::ActivityReport {
        let mut last = None;
        while let Ok(event) = self.audit_events.try_recv() {
            last = if let AuditEvent::Report(report) = event { Some(report) } else { last };
        }
        last.expect("a report was sent")
    }
}

#[tokio::test(start_paused = true)]
async fn requests_outside_lease_are_rejected_even_before_engine_runs_again() {
    let run = async {
        let mut world = joined();
        world.engine.skip_first_list();
        assert!(matches!(final_answer(world.submit(1).await).await, Answer::Rejected(0)));
        let counters = world.engine.counters();
        assert!(counters.contains("1 rejected (fenced 1)"), "{counters}");
        world.grant_lease();
        world.engine.update_readiness();
        assert!(world.handle.ready());
        let _accepted = world.submit(2).await;
        assert_eq!(world.engine.request_count(), 1, "accepted under the lease");
        advance(LEASE).await;
        assert!(!world.handle.ready(), "also before the engine has run");
        assert!(matches!(final_answer(world.submit(3).await).await, Answer::Rejected(0)));
        let counters = world.engine.counters();
        assert!(counters.contains("2 rejected (fenced 2)"), "{counters}");
        world.engine.update_readiness();
        assert!(!world.engine.last_readiness());
        world.grant_lease();
        world.engine.update_readiness();
        assert!(world.handle.ready(), "a new lease opens it again");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn request_accepted_before_fencing_is_completed_with_one_answer() {
    let run = async {
        let mut world = joined();
        let short = Duration::from_secs(1);
        world.grant_lease();
        advance(LEASE - LEASE / 1_000 - short).await;
        let ticket = world.submit(1).await;
        assert_eq!(world.engine.attempts_in_flight(RequestId(0)), 1, "its attempt is in flight");
        let attempt = world.engine.first_attempt(RequestId(0), "a");
        advance(short).await;
        assert!(world.engine.is_fenced());
        world.engine.end_attempt(attempt, served(b"value"));
        assert!(matches!(final_answer(ticket).await, Answer::Served(value) if value == "value"));
        assert_eq!(world.engine.request_count(), 0);
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn freeze_holds_joining_endpoints_and_applies_drains_at_once() {
    let run = async {
        let mut world = joined();
        world.engine.apply_fleet_update(FleetUpdate::Calendar(frozen()));
        world.grant_lease();
        let all = |a| list(2, &[("a", a), ("b", Phase::Ready), ("c", Phase::Ready)]);
        let sent_to = |world: &World| ["a", "b", "c"].map(|host| world.engine.accepts_requests(host));
        world.engine.apply_list(&all(Phase::Ready));
        assert_eq!(sent_to(&world), [true, false, false]);
        let mut held = Vec::new();
        while let Ok(event) = world.audit_events.try_recv() {
            if let AuditEvent::Record(ChangeRecord { host, outcome: ChangeOutcome::Held { .. }, .. }) = event
            {
                held.push(host);
            }
        }
        assert_eq!(held, ["b", "c"], "and the fleet thread is told");
        let error = world.engine.check_change(ChangeKind::Discovery).unwrap_err().to_string();
        assert!(error.contains("new-year"), "{error}");
        world.engine.apply_list(&all(Phase::Draining));
        assert_eq!(sent_to(&world), [false, true, false], "b replaces what was lost, and no more");
        advance(Duration::from_secs(360)).await;
        world.engine.poll_fleet();
        assert_eq!(sent_to(&world), [false, true, true], "the freeze is over");
        assert!(world.engine.check_change(ChangeKind::Discovery).is_ok());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn planned_change_is_held_without_lease_and_never_without_fleet() {
    let run = async {
        let more = list(2, &[("a", Phase::Ready), ("b", Phase::Ready)]);
        let mut world = joined();
        world.engine.apply_list(&more);
        assert!(world.engine.accepts_requests("a") && !world.engine.accepts_requests("b"));
        world.grant_lease();
        assert!(world.engine.accepts_requests("b"), "the lease implies that everything agreed is known");

        let (mut alone, handle) = SteppedEngine::new(&config(Some(list(1, &[("a", Phase::Ready)]))));
        alone.apply_list(&more);
        assert!(alone.is_listed("b"));
        assert!(!alone.is_fenced() && handle.check_change(ChangeKind::Discovery).await.is_ok());
        assert!(handle.call_fleet(FleetCall::View).await.is_none());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn attempts_are_counted_under_the_version_they_started_with() {
    let run = async {
        let mut world = joined();
        world.grant_lease();
        let before = world.engine.audited_version(false);
        world.engine.apply_fleet_update(FleetUpdate::Calendar(frozen()));
        world.engine.audit_attempt(before, Outcome::Timeout);
        world.engine.audit_attempt(world.engine.audited_version(true), Outcome::Ok);
        advance(Duration::from_secs(1)).await;
        world.engine.poll_fleet();
        let periods = world.last_report().periods;
        let counted: Vec<_> = periods
            .iter()
            .map(|it| (it.version.calendar, it.counts[3], it.counts[5], it.version.program))
            .collect();
        assert_eq!(counted, [(0, 1, 0, 1), (1, 0, 1, 1)]);
    };
    LocalSet::new().run_until(run).await;
}

/// Lists with changes of each kind that the topology gate distinguishes.
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

/// Balancers of other versions show the same digest for the same changes, so that operators can compare them.
#[tokio::test(start_paused = true)]
async fn digest_of_topology_changes_keeps_its_value() {
    let run = async {
        let mut world = joined();
        world.grant_lease();
        changing_lists().iter().for_each(|it| world.engine.apply_list(it));
        for kind in [ChangeKind::Discovery, ChangeKind::Configuration] {
            assert!(world.engine.check_change(kind).is_ok());
        }
        world.engine.apply_fleet_update(FleetUpdate::Calendar(frozen()));
        world.engine.apply_list(&list(7, &[("b", Phase::Ready), ("d", Phase::Ready)]));
        assert!(world.engine.check_change(ChangeKind::Restart).is_err());
        advance(Duration::from_secs(1)).await;
        world.engine.poll_fleet();
        let (mut text, mut last) = (String::new(), None);
        while let Ok(event) = world.audit_events.try_recv() {
            match event {
                AuditEvent::Record(it) => text += &format!("{} {} {}\n", it.host, it.list, it.revision),
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
