//! Several processes of the program at once, with what goes wrong around them, judged by the referee.

use std::time::{Duration, Instant};
use testfleet::discovery::Phase;
use testfleet::process::Disk;
use testfleet::relay::Faults;
use testfleet::{builder::FleetBuilder, fleet::Fleet};

const STALLED: Faults = Faults {
    stalled: true,
    lost: 0.0,
    doubled: 0.0,
    reordered: 0.0,
    delay: Duration::ZERO,
    jitter: Duration::ZERO,
    cut: false,
};

fn fleet(seed: u64) -> FleetBuilder {
    Fleet::builder(env!("CARGO_BIN_EXE_spindlebeam")).folder(env!("CARGO_TARGET_TMPDIR")).seed(seed)
}

/// Attempts that a balancer sent to a host between two instants.
fn sent(fleet: &Fleet, balancer: usize, host: usize, from: Instant, until: Instant) -> usize {
    let name = fleet.cache_node(host).name();
    let so = |it: &&testfleet::cache_node::Attempt| {
        it.balancer == Some(balancer) && it.endpoint == name && (from..until).contains(&it.sent)
    };
    fleet.attempts().with_entries(|attempts| attempts.iter().filter(so).count())
}

#[test]
fn nothing_new_goes_to_a_draining_host_and_a_stalled_link_costs_no_answer() {
    let fleet = fleet(11).start().unwrap();
    let begun = Instant::now();
    fleet.clients().start_load(fleet.load(&["read", "keyed"], 300.0, 900));
    fleet.clients().await_sent(200);
    fleet.balancer(0).to_cache_nodes[0].set_faults(STALLED, Faults::default());
    fleet.clients().await_sent(300);
    fleet.set_phase(0, Phase::Draining);
    let told: Vec<_> = (0..3).map(|it| fleet.await_notification(it, 0, Phase::Draining)).collect();
    fleet.clients().await_sent(700);
    fleet.balancer(0).to_cache_nodes[0].heal();
    fleet.clients().await_answered(900);
    let verdict = fleet.verdict();
    verdict.assert_clean();
    assert!(verdict.served > 450 && verdict.failed == 0, "{verdict}");
    for (balancer, told) in told.iter().enumerate().skip(1) {
        assert!(sent(&fleet, balancer, 0, begun, *told) > 0, "it was used before: {verdict}");
    }
    assert!(sent(&fleet, 0, 1, told[0], Instant::now()) > 0, "another is used behind it: {verdict}");
}

#[test]
fn a_fragile_request_runs_once_though_two_of_three_balancers_are_killed_and_started_again() {
    let mut fleet = fleet(12).start().unwrap();
    fleet.origin().set_latency(Duration::from_millis(40)); // so that runs are out at any time
    fleet.clients().start_load(fleet.load(&["read", "keyed", "once"], 300.0, 1_200));
    fleet.clients().await_sent(200);
    fleet.kill(1).unwrap();
    fleet.kill(2).unwrap();
    fleet.clients().await_sent(400);
    fleet.restart(1, Disk::Kept).unwrap();
    fleet.restart(2, Disk::Empty).unwrap();
    let again = Instant::now();
    fleet.clients().await_answered(1_200);
    let verdict = fleet.verdict();
    verdict.assert_clean();
    assert!(verdict.lost_with_killed > 10, "{verdict}");
    let once = fleet.origin().runs().all();
    for balancer in 1..3 {
        let runs = once.iter().filter(|it| it.class == "once" && it.balancer == Some(balancer));
        assert!(runs.filter(|it| it.at > again).count() > 10, "it serves again: {verdict}");
    }
}

#[test]
fn a_balancer_that_stands_still_for_two_seconds_answers_all_it_had_and_keeps_to_what_it_was_told() {
    let mut fleet = fleet(13).start().unwrap();
    fleet.clients().start_load(fleet.load(&["read", "once"], 200.0, 1_000));
    fleet.clients().await_sent(200);
    fleet.pause(2).unwrap();
    fleet.set_phase(1, Phase::Gone);
    fleet.clients().await_sent(600); // two seconds of callers that do not wait
    fleet.resume(2).unwrap();
    fleet.clients().await_answered(1_000);
    let verdict = fleet.verdict();
    verdict.assert_clean();
    let slow = |calls: &[testfleet::clients::Call]| {
        let late = |it: &&testfleet::clients::Call| {
            it.balancer == 2 && it.answers[0].0 - it.at > Duration::from_secs(1)
        };
        calls.iter().filter(late).count()
    };
    assert!(fleet.clients().calls().with_entries(slow) > 10, "it did stand still: {verdict}");
}

#[test]
fn a_balancer_whose_watch_is_silent_asks_again_and_is_judged_by_when_it_was_told() {
    let fleet = fleet(14).start().unwrap();
    let watches = |paths: &[String]| paths.iter().filter(|it| it.contains("watch=1")).count();
    let asked = fleet.balancer(0).agent.requested_paths();
    asked.wait("a watch", |paths| (watches(paths) == 1).then_some(()));
    fleet.clients().start_load(fleet.load(&["read"], 150.0, 1_200));
    fleet.clients().await_sent(100);
    fleet.balancer(0).agent.silence_watches();
    fleet.set_phase(0, Phase::Draining);
    let at_once = fleet.await_notification(1, 0, Phase::Draining);
    asked.wait("a further watch", |paths| (watches(paths) == 2).then_some(()));
    let late = fleet.await_notification(0, 0, Phase::Draining);
    assert!(late > at_once + Duration::from_secs(1), "told only by the further watch");
    fleet.clients().await_answered(1_200);
    let verdict = fleet.verdict();
    verdict.assert_clean();
    let settled = at_once + testfleet::referee::NOTIFICATION_SLACK + testfleet::referee::MARGIN;
    assert!(sent(&fleet, 0, 0, settled, late) > 0, "it could not know: {verdict}");
    assert_eq!(sent(&fleet, 1, 0, settled, Instant::now()), 0, "it knew: {verdict}");
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
    fleet.restart_knowing(8, Disk::Empty, old).unwrap();
    fleet.clients().await_answered(2_250);
    let verdict = fleet.verdict();
    verdict.assert_clean();
    assert!(verdict.served > 1_100, "{verdict}");
    let told = fleet.notifications().all();
    let told =
        told.iter().filter(|it| it.balancer == 8 && it.endpoint == "s-2" && it.phase == Phase::Draining);
    assert_eq!(told.count(), 2, "the process that began with an old list was told by the watch");
}

#[test]
fn ten_balancers_tell_one_another_of_hosts_through_the_relay() {
    let fleet = fleet(17).balancers(10).with_peers(true).start().unwrap();
    let pairs = || (0..10).flat_map(|a| (0..10).map(move |b| (a, b))).filter(|(a, b)| a != b);
    let until = Instant::now() + testfleet::PATIENCE;
    while !pairs().all(|(a, b)| fleet.udp_relay().counts(a, b).sent > 1) {
        assert!(Instant::now() < until, "some pair is silent");
        std::thread::yield_now();
    }
}

#[test]
fn a_process_that_is_told_to_end_ends_well() {
    let mut fleet = fleet(16).balancers(1).cache_nodes(1).start().unwrap();
    fleet.balancer(0).process.terminate().unwrap();
    assert!(fleet.balancer_mut(0).process.wait_end().unwrap().success());
}
