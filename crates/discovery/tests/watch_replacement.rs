//! A silent or outdated watch is replaced by another one, and no change is lost.

mod fake_agent;
mod scenario;

use discovery::Delivery;
use fake_agent::*;
use rstest::rstest;
use scenario::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

/// The second watch has sent its head only. Both watches are read until one of them sends a line; that one is kept.
#[rstest]
#[tokio::test(start_paused = true)]
async fn response_head_alone_does_not_end_previous_watch(
    #[values(Delivery::Push, Delivery::Poll)] delivery: Delivery, #[values(true, false)] first_sends: bool,
) {
    run_local(async {
        let mut scenario = Scenario::in_state(SecondWatchOpened, delivery).await;
        let (mut first, mut second) = (scenario.watch.take().unwrap(), scenario.request.take().unwrap());
        let (sender, other) = if first_sends { (&mut first, &mut second) } else { (&mut second, &mut first) };
        sender.send_draining(42).await;
        scenario.agent.expect_revision(42).await;
        assert!(other.stream.write_all(b"x").await.is_err(), "the other watch is closed");
        sender.send_draining(43).await;
        scenario.agent.expect_revision(43).await;
    })
    .await;
}

/// Two faults in a row take less than the deadline: the watch falls silent, and the second watch sends only its head.
#[rstest]
#[case::push(Delivery::Push)]
#[case::poll(Delivery::Poll)]
#[tokio::test(start_paused = true)]
async fn silent_second_watch_is_replaced_in_time(#[case] delivery: Delivery) {
    run_local(async {
        let mut scenario = Scenario::in_state(Watching, delivery).await;
        let silent_since = Instant::now();
        let second = scenario.agent.next_watch().await;
        scenario.open_streams.push(second.stream);
        let third = loop {
            let request = scenario.agent.next_request().await; // with push delivery, other requests were in flight too
            if request.at > second.at + Duration::from_secs(1) {
                break request;
            }
            scenario.open_streams.push(request.stream);
        };
        let published = third.at + Duration::from_secs(1) - silent_since;
        assert!(published < DEADLINE, "{published:?}");
        assert_eq!(third.path, "/v1/endpoints?watch=1&from=41");
    })
    .await;
}

/// A change with a lower revision than the last list is relative to an unknown list.
#[tokio::test(start_paused = true)]
async fn revision_going_back_requests_complete_list() {
    run_local(async {
        let mut scenario = Scenario::in_state(Watching, Delivery::Poll).await;
        let mut watch = scenario.watch.take().unwrap();
        watch.send_line(&list(7, false, "draining")).await;
        scenario.agent.expect_revision(7).await;
        let complete_list = scenario.agent.next_request().await;
        assert_eq!(complete_list.path, "/v1/endpoints");
        assert!(watch.stream.write_all(b"x").await.is_err(), "the watch with the unknown base is closed");
        complete_list.respond_with_list(8).await;
        scenario.agent.expect_revision(8).await;
        assert!(scenario.agent.next_watch().await.path.ends_with("from=8"));
    })
    .await;
}

/// Lines may have arrived on both watches when one of them is closed: the lines of both are published.
#[rstest]
#[tokio::test(start_paused = true)]
async fn lines_received_on_closed_watch_are_published(
    #[values(Delivery::Push, Delivery::Poll)] delivery: Delivery,
    #[values(WatchSilent, SecondWatchOpened)] state: State, #[values(true, false)] first_sends: bool,
) {
    run_local(async {
        let mut scenario = Scenario::in_state(state, delivery).await;
        let (mut first, mut second) = (scenario.watch.take().unwrap(), scenario.request.take().unwrap());
        if state == WatchSilent {
            second.open_watch().await;
        }
        let (sender, other) = if first_sends { (&mut first, &mut second) } else { (&mut second, &mut first) };
        other.send_line("").await;
        sender.send_draining(42).await;
        let written = Instant::now();
        assert_eq!(scenario.agent.expect_revision(42).await, written);
        sender.send_draining(43).await;
        scenario.agent.expect_revision(43).await; // the watch with the latest revision is kept
    })
    .await;
}
