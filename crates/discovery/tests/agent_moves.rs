//! Discovery moves to another agent: the changes of the previous agent still apply, and the new agent may lag behind
//! it.

mod fake_agent;
mod scenario;

use discovery::Delivery;
use fake_agent::*;
use rstest::rstest;
use scenario::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep};

/// Changes that the previous agent sent before the list of the new agent is read still apply. A lagging list does not
/// restore an endpoint that is draining or gone, unless the endpoint has started since, and does not restore an earlier
/// start.
#[rstest]
#[case::drains("draining", 0, 0, None)]
#[case::gone("gone", 0, 0, None)]
#[case::started_since("draining", 0, 5, Some(5))]
#[case::came_back("gone", 0, 5, Some(5))]
#[case::started_before("ready", 5, 0, Some(5))]
#[tokio::test(start_paused = true)]
async fn lagging_list_brings_back_no_endpoint(
    #[case] phase: &str, #[case] previous_start: u64, #[case] lagging_start: u64,
    #[case] expected_start: Option<u64>, #[values(Delivery::Push, Delivery::Poll)] delivery: Delivery,
) {
    for _ in 0..8 {
        run_local(async {
            let mut scenario = Scenario::in_state(Moved, delivery).await;
            let mut previous_watch = scenario.watch.take().unwrap();
            // The change and the list have both arrived when the client reads.
            previous_watch.send_line(&list_since(42, false, phase, previous_start)).await;
            scenario.request.take().unwrap().respond(&list_since(40, true, "ready", lagging_start)).await;
            scenario.agent.expect_revision(42).await;
            scenario.agent.expect_revision(40).await;
            let published =
                |scenario: &Scenario| scenario.agent.ready.borrow().first().map(|endpoint| endpoint.1);
            assert_eq!(published(&scenario), expected_start);
            // A lagging change does not restore an endpoint either; a change of an agent that has caught up does.
            let mut new_watch = scenario.agent.next_watch().await;
            for (revision, expected_start) in [(41, expected_start), (43, Some(lagging_start))] {
                new_watch.send_line(&list_since(revision, false, "ready", lagging_start)).await;
                scenario.agent.expect_revision(revision).await;
                assert_eq!(published(&scenario), expected_start, "revision {revision}");
            }
        })
        .await;
    }
}

/// An agent that lags for longer than a change can take to reach it uses revision numbers of its own.
#[tokio::test(start_paused = true)]
async fn permanently_lagging_agent_is_accepted() {
    run_local(async {
        let mut scenario = Scenario::in_state(Moved, Delivery::Push).await;
        let mut previous_watch = scenario.watch.take().unwrap();
        previous_watch.send_draining(42).await;
        scenario.agent.expect_revision(42).await;
        sleep(Duration::from_secs(20)).await; // both agents are silent, so the lag period has not begun
        scenario.request = None;
        let mut requests = scenario.agent.unanswered_requests(Duration::from_secs(1)).await;
        requests.pop().unwrap().respond_with_list(1).await;
        scenario.agent.expect_revision(1).await;
        assert!(scenario.agent.ready.borrow().is_empty());
        let mut new_watch = scenario.agent.next_watch().await;
        for _ in 0..3 {
            sleep(Duration::from_secs(2)).await;
            new_watch.send_line("").await;
        }
        new_watch.send_line(&list(2, false, "ready")).await;
        scenario.agent.expect_revision(2).await;
        assert!(!scenario.agent.ready.borrow().is_empty());
    })
    .await;
}

/// Discovery moves in the middle of a line: the rest of the line is read until the new agent has sent its list.
#[rstest]
#[case::one_move(Moved)]
#[case::two_moves(MovedTwice)]
#[tokio::test(start_paused = true)]
async fn partial_line_at_move_is_read_to_its_end(#[case] moved: State) {
    run_local(async {
        let mut scenario = Scenario::in_state(Watching, Delivery::Push).await;
        let mut previous_watch = scenario.watch.take().unwrap();
        let line = list(42, false, "draining");
        let (first, rest) = line.split_at(20);
        previous_watch.stream.write_all(format!("{:x}\r\n{first}", line.len() + 1).as_bytes()).await.unwrap();
        sleep(Duration::from_millis(1)).await;
        scenario.move_to(SECOND_ADDRESS).await;
        if moved == MovedTwice {
            scenario.move_to(THIRD_ADDRESS).await;
            let mut second_agent = scenario.open_streams.pop().unwrap();
            assert_eq!(
                second_agent.read(&mut [0]).await.unwrap(),
                0,
                "an agent that has sent nothing is not followed further"
            );
        }
        previous_watch.stream.write_all(format!("{rest}\n\r\n").as_bytes()).await.unwrap();
        scenario.agent.expect_revision(42).await;
        scenario.request.take().unwrap().respond_with_list(5).await;
        scenario.agent.expect_revision(5).await;
        assert!(
            previous_watch.stream.write_all(b"x").await.is_err(),
            "the previous agent is disconnected after the new list"
        );
    })
    .await;
}

/// Changes of the previous agent apply until 4 s after the move: until then, and not later, its watch is requested
/// again if it breaks.
#[rstest]
#[case::push(Delivery::Push)]
#[case::poll(Delivery::Poll)]
#[tokio::test(start_paused = true)]
async fn previous_agent_is_retried_for_retry_period(#[case] delivery: Delivery) {
    run_local(async {
        let mut scenario = Scenario::in_state(Moved, delivery).await;
        let moved = Instant::now();
        drop(scenario.watch.take());
        let mut resumed = loop {
            let request = scenario.agent.next_request().await;
            if request.address == FIRST_ADDRESS {
                break request;
            }
            assert!(
                request.at - moved < Duration::from_secs(4),
                "the previous agent is not contacted in its retry period"
            );
            scenario.open_streams.push(request.stream);
        };
        assert!(resumed.at - moved < Duration::from_millis(100) && resumed.path.ends_with("from=41"));
        resumed.open_watch().await;
        resumed.send_draining(42).await;
        scenario.agent.expect_revision(42).await;
        let requests = scenario.agent.unanswered_requests(Duration::from_secs(20)).await;
        assert!(
            requests
                .iter()
                .all(|request| request.address == SECOND_ADDRESS
                    || request.at - moved < Duration::from_secs(4))
        );
        assert!(requests.iter().any(|request| request.address == SECOND_ADDRESS));
    })
    .await;
}

/// The address changes and changes back before the client reads it: the open connections stay.
#[tokio::test(start_paused = true)]
async fn move_away_and_back_keeps_connections() {
    run_local(async {
        let mut scenario = Scenario::in_state(Watching, Delivery::Push).await;
        scenario.agent.address.send(SECOND_ADDRESS).unwrap();
        scenario.agent.address.send(FIRST_ADDRESS).unwrap();
        assert!(scenario.agent.unanswered_requests(Duration::from_secs(2)).await.is_empty());
        scenario.watch.as_mut().unwrap().send_draining(42).await;
        scenario.agent.expect_revision(42).await;
    })
    .await;
}
