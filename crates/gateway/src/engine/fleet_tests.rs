//! The core in a fleet, on a clock that only the tests move: fence, gate and counts.

use super::tests::{config, submitted};
use super::{Engine, Handle, Input, Ticket};
use crate::fleet_link::{AuditEvent, ChangeKind, ChangeRecord, Clock, FleetLink, FleetRequest, FleetUpdate};
use audit::lease::{Lease, LeaseGrant, Settings};
use bytes::Bytes;
use calendar::{Calendar, ChangeOutcome as Became, Entry, Freeze, Proposal, Scope, ScopeTarget};
use decide::api::{Outcome, RequestId};
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{Instant, advance, timeout};
use upstream::call::Answer;
use upstream::connection::AttemptResult;
use upstream::endpoints::endpoint_id;

const LEASE: Duration = Duration::from_secs(3_600);
/// 2030-01-01 00:05 UTC, five minutes into the freeze.
const STAMP: u64 = 1_893_456_300_000_000;

struct World {
    engine: Engine,
    handle: Handle,
    acted: mpsc::Receiver<AuditEvent>,
    _ways: (mpsc::UnboundedSender<FleetUpdate>, mpsc::Receiver<FleetRequest>),
}

fn member(id: &str, phase: Phase) -> EndpointRecord {
    let (locality, flavor) = Default::default();
    let host_port = ([127, 0, 0, 1], 1).into();
    EndpointRecord { id: id.into(), host_port, locality, flavor, cell: 0, phase, size: 1.0, up_since_ms: 1 }
}

fn list(revision: u64, members: &[(&str, Phase)]) -> EndpointList {
    let members = members.iter().map(|(id, phase)| member(id, *phase)).collect();
    EndpointList { revision, complete: true, members }
}

/// A core that knows host a from before, and has joined a fleet.
fn joined() -> World {
    let mut config = config();
    config.known = Some(list(1, &[("a", Phase::Ready)]));
    let (mut engine, handle) = Engine::new(&config);
    let (agreed_in, agreed) = mpsc::unbounded_channel();
    let (calls, calls_out) = mpsc::channel(8);
    let (acted_in, acted) = mpsc::channel(64);
    let clock = engine.clock();
    let port = FleetLink {
        updates: agreed,
        calls,
        audit_events: acted_in,
        clock,
        number: 0,
        incarnation: 7,
        program: 1,
        configuration: 2,
    };
    engine.join_fleet(port);
    World { engine, handle, acted, _ways: (agreed_in, calls_out) }
}

fn lease(clock: Clock) -> Lease {
    let now = clock.now();
    let span = LEASE.as_micros() as u64;
    let mut lease = Lease::new(0, 7, Settings::new(span, span, 3), now);
    let serial = lease.poll_request(now).unwrap().serial;
    lease.apply_grants(now, 1, STAMP, &[LeaseGrant { number: 0, incarnation: 7, serial }]);
    lease
}

/// All is frozen from 2030-01-01 00:00 UTC for ten minutes.
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
    calendar.apply(1, STAMP / 1_000 - 3_600_000, &Proposal::Add(Entry::Freeze(freeze)));
    calendar.build_index();
    Arc::new(calendar)
}

/// The clock runs on to the end of this wait at once where nothing else is to come.
async fn final_answer(ticket: Ticket) -> Answer {
    timeout(Duration::from_secs(10), ticket).await.expect("the answer is due already")
}

impl World {
    fn lease(&mut self) {
        let lease = lease(self.engine.clock());
        self.engine.agreed(FleetUpdate::Lease(Box::new(lease)));
    }

    async fn submit(&mut self, n: u64) -> Ticket {
        let ticket = submitted(&self.handle, n);
        let input = self.engine.inputs.recv().await.unwrap();
        self.engine.take(input);
        self.engine.settle();
        ticket
    }

    fn sends_to(&self, host: &str) -> bool {
        self.engine.group.endpoint(endpoint_id(host)).is_some_and(|peer| peer.ready())
    }

    fn told(&self) -> String {
        self.handle.counters.borrow().to_string()
    }
}

#[tokio::test(start_paused = true)]
async fn what_comes_before_the_first_lease_or_after_its_end_is_fenced_though_nothing_ran_between() {
    let run = async {
        let mut world = joined();
        world.engine.awaits.list = false;
        assert!(matches!(final_answer(world.submit(1).await).await, Answer::Refused(0)));
        assert!(world.told().contains("1 refused (fenced 1)"), "{}", world.told());
        world.lease();
        world.engine.become_ready();
        assert!(world.handle.ready());
        let _taken = world.submit(2).await;
        assert_eq!(world.engine.contexts.len(), 1, "taken under the lease");
        advance(LEASE).await;
        assert!(!world.handle.ready(), "also before the core has looked");
        assert!(matches!(final_answer(world.submit(3).await).await, Answer::Refused(0)));
        assert!(world.told().contains("2 refused (fenced 2)"), "{}", world.told());
        world.engine.become_ready();
        assert!(!*world.handle.ready.borrow());
        world.lease();
        world.engine.become_ready();
        assert!(world.handle.ready(), "a new lease opens it again");
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn a_request_taken_before_the_fence_fell_is_finished_with_one_answer() {
    let run = async {
        let mut world = joined();
        let short = Duration::from_secs(1);
        world.lease();
        advance(LEASE - LEASE / 1_000 - short).await;
        let ticket = world.submit(1).await;
        let sent = Instant::now();
        assert_eq!(world.engine.contexts[&RequestId(0)].out.len(), 1, "its try is out");
        let under = world.engine.under(false);
        advance(short).await;
        assert!(world.engine.fenced());
        let peer = world.engine.group.endpoint(endpoint_id("a")).unwrap().clone();
        let value = Bytes::from_static(b"value");
        let ended = AttemptResult {
            outcome: Outcome::Ok,
            value,
            large: None,
            pending: false,
            stale: false,
            connection: None,
        };
        let id = RequestId(0);
        world.engine.take(Input::TryEnded { id, attempt: 0, peer, sent, ended, under });
        world.engine.settle();
        assert!(matches!(final_answer(ticket).await, Answer::Served(value) if value == "value"));
        assert!(world.engine.contexts.is_empty());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn in_a_freeze_a_host_that_joins_waits_for_its_end_and_one_that_drains_is_out_at_once() {
    let run = async {
        let mut world = joined();
        world.engine.agreed(FleetUpdate::Calendar(frozen()));
        world.lease();
        let all = |a| list(2, &[("a", a), ("b", Phase::Ready), ("c", Phase::Ready)]);
        let sent_to = |world: &World| ["a", "b", "c"].map(|host| world.sends_to(host));
        world.engine.told(&all(Phase::Ready), false);
        assert_eq!(sent_to(&world), [true, false, false]);
        let mut held = Vec::new();
        while let Ok(acted) = world.acted.try_recv() {
            if let AuditEvent::Record(ChangeRecord { host, outcome: Became::Held { .. }, .. }) = acted {
                held.push(host);
            }
        }
        assert_eq!(held, ["b", "c"], "and the fleet's thread is told");
        assert!(world.engine.may_change(ChangeKind::Discovery).unwrap_err().contains("new-year"));
        world.engine.told(&all(Phase::Draining), false);
        assert_eq!(sent_to(&world), [false, true, false], "b replaces what was lost, and no more");
        advance(Duration::from_secs(360)).await;
        world.engine.look_at_fleet(false);
        assert_eq!(sent_to(&world), [false, true, true], "the freeze is over");
        assert!(world.engine.may_change(ChangeKind::Discovery).is_ok());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn a_planned_change_is_held_without_a_lease_and_nothing_is_held_without_a_fleet() {
    let run = async {
        let more = list(2, &[("a", Phase::Ready), ("b", Phase::Ready)]);
        let mut world = joined();
        world.engine.told(&more, false);
        assert!(world.sends_to("a") && !world.sends_to("b"));
        world.lease();
        assert!(world.sends_to("b"), "the lease says that all agreed is known");

        let mut config = config();
        config.known = Some(list(1, &[("a", Phase::Ready)]));
        let (mut alone, handle) = Engine::new(&config);
        alone.told(&more, false);
        assert!(alone.group.endpoint(endpoint_id("b")).is_some());
        assert!(!alone.fenced() && handle.check_change(ChangeKind::Discovery).await.is_ok());
        assert!(handle.call_fleet(crate::fleet_link::FleetCall::View).await.is_none());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn tries_are_counted_under_the_version_that_they_began_with() {
    let run = async {
        let mut world = joined();
        world.lease();
        let under = world.engine.under(false);
        world.engine.agreed(FleetUpdate::Calendar(frozen()));
        world.engine.count_try(under, false, Outcome::Timeout);
        world.engine.count_try(world.engine.under(true), false, Outcome::Ok);
        advance(Duration::from_secs(1)).await;
        world.engine.look_at_fleet(false);
        let mut last = None;
        while let Ok(acted) = world.acted.try_recv() {
            last = if let AuditEvent::Report(report) = acted { Some(report) } else { last };
        }
        let pieces = last.unwrap().pieces;
        let told: Vec<_> = pieces
            .iter()
            .map(|it| (it.version.calendar, it.counts[3], it.counts[5], it.version.program))
            .collect();
        assert_eq!(told, [(0, 1, 0, 1), (1, 0, 1, 1)]);
    };
    LocalSet::new().run_until(run).await;
}

/// Balancers of other versions show the digest of the same changes, so that staff can lay them side by side.
#[tokio::test(start_paused = true)]
async fn the_digest_of_topology_changes_keeps_its_value() {
    let run = async {
        let mut world = joined();
        world.lease();
        let mut moved = list(4, &[("b", Phase::Ready)]);
        moved.members[0].locality = "elsewhere".into();
        let mut lighter = list(5, &[("b", Phase::Ready)]);
        lighter.members[0].size = 0.5;
        let mut heavier = list(6, &[("b", Phase::Ready)]);
        heavier.members[0].size = 4.0;
        let lists = [
            list(2, &[("a", Phase::Ready), ("b", Phase::Ready), ("c", Phase::Ready)]),
            list(3, &[("a", Phase::Draining), ("b", Phase::Ready)]),
            moved,
            lighter,
            heavier,
        ];
        lists.iter().for_each(|it| world.engine.told(it, false));
        for kind in [ChangeKind::Discovery, ChangeKind::Configuration] {
            assert!(world.engine.may_change(kind).is_ok());
        }
        world.engine.agreed(FleetUpdate::Calendar(frozen()));
        world.engine.told(&list(7, &[("b", Phase::Ready), ("d", Phase::Ready)]), false);
        assert!(world.engine.may_change(ChangeKind::Restart).is_err());
        advance(Duration::from_secs(1)).await;
        world.engine.look_at_fleet(false);
        let (mut text, mut last) = (String::new(), None);
        while let Ok(acted) = world.acted.try_recv() {
            match acted {
                AuditEvent::Record(it) => text += &format!("{} {} {}\n", it.host, it.list, it.revision),
                AuditEvent::Report(report) => last = Some(report),
                AuditEvent::Entry(_) => {}
            }
        }
        for piece in last.unwrap().pieces {
            text += &format!("digest {:016x}, counts {:?}\n", piece.digest, piece.counts);
        }
        expect_test::expect_file!["../../tests/golden/topology-digest.txt"].assert_eq(&text);
    };
    LocalSet::new().run_until(run).await;
}
