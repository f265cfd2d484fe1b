//! Several balancer processes under faults, checked by the referee.

use std::time::{Duration, Instant};
use testfleet::discovery::Phase;
use testfleet::process::Disk;
use testfleet::relay::Faults;
use testfleet::{builder::FleetBuilder, fleet::Fleet};

const STALLED: Faults = Faults {
    stalled: true,
    loss_probability: 0.0,
    duplication_probability: 0.0,
    reordering_probability: 0.0,
    delay: Duration::ZERO,
    jitter: Duration::ZERO,
    cut: false,
};

fn fleet(seed: u64) -> FleetBuilder {
    Fleet::builder(env!("CARGO_BIN_EXE_spindlebeam")).folder(env!("CARGO_TARGET_TMPDIR")).seed(seed)
}

/// Counts the attempts that a balancer sent to a cache node between two instants.
fn count_attempts(fleet: &Fleet, balancer: usize, cache_node: usize, from: Instant, until: Instant) -> usize {
    let name = fleet.cache_node(cache_node).name();
    let matches = |attempt: &&testfleet::cache_node::Attempt| {
        attempt.balancer == Some(balancer)
            && attempt.endpoint == name
            && (from..until).contains(&attempt.sent)
    };
    fleet.attempts().with_entries(|attempts| attempts.iter().filter(matches).count())
}

#[test]
fn drain_and_stalled_link_lose_no_answer() {
    let fleet = fleet(11).start().unwrap();
    let started = Instant::now();
    fleet.clients().start_load(fleet.load(&["read", "keyed"], 300.0, 900));
    fleet.clients().await_sent(200);
    fleet.balancer(0).to_cache_nodes[0].set_faults(STALLED, Faults::default());
    fleet.clients().await_sent(300);
    fleet.set_phase(0, Phase::Draining);
    let notified: Vec<_> =
        (0..3).map(|balancer| fleet.await_notification(balancer, 0, Phase::Draining)).collect();
    fleet.clients().await_sent(700);
    fleet.balancer(0).to_cache_nodes[0].heal();
    fleet.clients().await_answered(900);
    let verdict = fleet.verdict();
    verdict.assert_clean();
    assert!(verdict.served > 450 && verdict.failed == 0, "{verdict}");
    for (balancer, notified) in notified.iter().enumerate().skip(1) {
        assert!(
            count_attempts(&fleet, balancer, 0, started, *notified) > 0,
            "s-0 was not used before it drained: {verdict}"
        );
    }
    assert!(
        count_attempts(&fleet, 0, 1, notified[0], Instant::now()) > 0,
        "no other cache node was used after the drain: {verdict}"
    );
}

#[test]
fn fragile_requests_run_once_when_balancers_are_restarted() {
    let mut fleet = fleet(12).start().unwrap();
    fleet.origin().set_latency(Duration::from_millis(40)); // so that requests are always running at the origin
    fleet.clients().start_load(fleet.load(&["read", "keyed", "once"], 300.0, 1_200));
    fleet.clients().await_sent(200);
    fleet.kill(1).unwrap();
    fleet.kill(2).unwrap();
    fleet.clients().await_sent(400);
    fleet.restart(1, Disk::Kept).unwrap();
    fleet.restart(2, Disk::Empty).unwrap();
    let restarted = Instant::now();
    fleet.clients().await_answered(1_200);
    let verdict = fleet.verdict();
    verdict.assert_clean();
    assert!(verdict.lost_with_killed > 10, "{verdict}");
    let runs_at_origin = fleet.origin().executions().all();
    for balancer in 1..3 {
        let runs = runs_at_origin.iter().filter(|run| run.class == "once" && run.balancer == Some(balancer));
        assert!(
            runs.filter(|run| run.received > restarted).count() > 10,
            "a restarted balancer serves too few requests: {verdict}"
        );
    }
}

#[test]
fn paused_balancer_answers_all_and_follows_discovery() {
    let mut fleet = fleet(13).start().unwrap();
    fleet.clients().start_load(fleet.load(&["read", "once"], 200.0, 1_000));
    fleet.clients().await_sent(200);
    fleet.pause(2).unwrap();
    fleet.set_phase(1, Phase::Gone);
    fleet.clients().await_sent(600); // two seconds, since clients send at a fixed rate
    fleet.resume(2).unwrap();
    fleet.clients().await_answered(1_000);
    let verdict = fleet.verdict();
    verdict.assert_clean();
    let count_late = |calls: &[testfleet::clients::Call]| {
        let is_late = |call: &&testfleet::clients::Call| {
            call.balancer == 2 && call.answers[0].0 - call.at > Duration::from_secs(1)
        };
        calls.iter().filter(is_late).count()
    };
    assert!(
        fleet.clients().calls().with_entries(count_late) > 10,
        "the balancer was not stopped long enough: {verdict}"
    );
}

#[test]
fn balancer_with_a_silent_watch_opens_another() {
    let fleet = fleet(14).start().unwrap();
    let watches = |paths: &[String]| paths.iter().filter(|path| path.contains("watch=1")).count();
    let requested = fleet.balancer(0).agent.requested_paths();
    requested.wait("a watch", |paths| (watches(paths) == 1).then_some(()));
    fleet.clients().start_load(fleet.load(&["read"], 150.0, 1_200));
    fleet.clients().await_sent(100);
    fleet.balancer(0).agent.silence_watches();
    fleet.set_phase(0, Phase::Draining);
    let first_notified = fleet.await_notification(1, 0, Phase::Draining);
    requested.wait("a further watch", |paths| (watches(paths) == 2).then_some(()));
    let second_notified = fleet.await_notification(0, 0, Phase::Draining);
    assert!(
        second_notified > first_notified + Duration::from_secs(1),
        "the drain must be learned from the second watch"
    );
    fleet.clients().await_answered(1_200);
    let verdict = fleet.verdict();
    verdict.assert_clean();
    let settled = first_notified + testfleet::referee::NOTIFICATION_SLACK + testfleet::referee::MARGIN;
    assert!(
        count_attempts(&fleet, 0, 0, settled, second_notified) > 0,
        "balancer 0 could not know of the drain yet: {verdict}"
    );
    assert_eq!(
        count_attempts(&fleet, 1, 0, settled, Instant::now()),
        0,
        "balancer 1 knew of the drain: {verdict}"
    );
}

#[test]
fn nine_balancers_keep_the_rules_while_links_are_cut_reset_and_refused() {
    let mut fleet = fleet(15).balancers(9).cache_nodes(6).zones(3).start().unwrap();
    fleet.origin().set_latency(Duration::from_millis(40));
    fleet.clients().start_load(fleet.load(&["read", "keyed", "once"], 450.0, 2_250));
    fleet.clients().await_sent(450);
    fleet.balancer(0).to_cache_nodes[0].cut();
    fleet.balancer(1).to_cache_nodes[1].refuse();
    fleet.balancer(2).to_cache_nodes.iter().for_each(testfleet::relay::TcpLink::reset);
    fleet.balancer(3).to_origin.reset();
    fleet.clients().await_sent(900);
    let old = fleet.balancer(8).agent.list();
    fleet.set_phase(2, Phase::Draining);
    fleet.kill(8).unwrap();
    fleet.clients().await_sent(1_350);
    fleet.balancer(0).to_cache_nodes[0].heal();
    fleet.balancer(1).to_cache_nodes[1].heal();
    fleet.restart_with_known_list(8, Disk::Empty, old).unwrap();
    fleet.clients().await_answered(2_250);
    let verdict = fleet.verdict();
    verdict.assert_clean();
    assert!(verdict.served > 1_100, "{verdict}");
    let notified = fleet.notifications().all();
    let notified =
        notified.iter().filter(|it| it.balancer == 8 && it.endpoint == "s-2" && it.phase == Phase::Draining);
    assert_eq!(
        notified.count(),
        2,
        "the process that started with an old list must be notified by the watch"
    );
}

#[test]
fn ten_balancers_exchange_gossip_through_the_relay() {
    let fleet = fleet(17).balancers(10).with_peers(true).start().unwrap();
    let pairs = || (0..10).flat_map(|a| (0..10).map(move |b| (a, b))).filter(|(a, b)| a != b);
    let until = Instant::now() + testfleet::WAIT_TIMEOUT;
    while !pairs().all(|(a, b)| fleet.udp_relay().counts(a, b).sent > 1) {
        assert!(Instant::now() < until, "a pair of balancers exchanged no gossip");
        std::thread::yield_now();
    }
}

#[test]
fn sigterm_ends_the_process_with_success() {
    let mut fleet = fleet(16).balancers(1).cache_nodes(1).start().unwrap();
    fleet.balancer(0).process.terminate().unwrap();
    assert!(fleet.balancer_mut(0).process.wait_end().unwrap().success());
}
