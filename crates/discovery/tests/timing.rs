//! Timings of the endpoint list on a paused clock, with a test for each row of the table in `discovery::pace`.

mod fake_agent;

use discovery::Delivery;
use discovery::pace::REJECTED_BACKOFF_MAX;
use fake_agent::*;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep};

/// Row 1, at startup: a known list is updated by the watch alone; otherwise the complete list is requested first.
#[rstest]
#[case::known(Some(41))]
#[case::unknown(None)]
#[tokio::test(start_paused = true)]
async fn startup_requests_at_once_and_publishes_lines(#[case] known: Option<u64>) {
    run_local(async {
        let started = Instant::now();
        let mut agent = FakeAgent::start(Delivery::Push, known);
        if known.is_none() {
            let request = agent.next_request().await;
            assert_eq!(request.path, "/v1/endpoints");
            request.respond_with_list(41).await;
            agent.expect_revision(41).await;
        }
        let mut watch = agent.next_watch().await;
        assert_eq!((watch.path.as_str(), watch.at), ("/v1/endpoints?watch=1&from=41", started));
        watch.send_draining(42).await;
        assert_eq!(agent.expect_revision(42).await, started);
    })
    .await;
}

/// Row 2: changes that the agent receives at the end of an outage, or had before startup, are received within 250 ms
/// after it recovers, whether it answers the requests in flight or only new ones.
#[rstest]
#[case::start_answers_open_requests(None, true)]
#[case::start_answers_new_requests(None, false)]
#[case::outage_answers_open_requests(Some(1), true)]
#[case::outage_answers_new_requests(Some(1), false)]
#[tokio::test(start_paused = true)]
async fn pushed_change_is_received_when_agent_recovers(
    #[case] known: Option<u64>, #[case] answers_open_requests: bool,
) {
    for ms in [10, 2_000, 4_321, 8_000, 8_077, 20_111] {
        run_local(async {
            let mut agent = FakeAgent::start(Delivery::Push, known);
            if known.is_some() {
                let mut watch = agent.next_watch().await;
                watch.send_line("").await;
                std::mem::forget(watch.stream); // stays silent, and is never closed
            }
            let mut open = agent.unanswered_requests(Duration::from_millis(ms)).await;
            assert!(open.len() as u64 <= ms / 150 + 2, "{} requests in {ms} ms", open.len());
            let recovered_at = Instant::now();
            let mut request = match (answers_open_requests, open.pop()) {
                (true, Some(request)) => request,
                _ if known.is_some() && ms < 2_250 => return, // the silence is not detected yet: row 3
                _ => agent.next_request().await,
            };
            if known.is_some() {
                request.open_watch().await;
                request.send_draining(2).await;
            } else {
                request.respond_with_list(2).await;
            }
            let published = agent.expect_revision(2).await - recovered_at;
            assert!(published < DRAIN_GRACE, "{published:?} after an outage of {ms} ms");
        })
        .await;
    }
}

/// Row 3: changes that a silent watch misses are received within 4 s, which is less than the deadline of 6 s.
#[rstest]
#[case::push(Delivery::Push)]
#[case::poll(Delivery::Poll)]
#[tokio::test(start_paused = true)]
async fn silent_watch_is_replaced_without_losing_changes(#[case] delivery: Delivery) {
    run_local(async {
        let mut agent = FakeAgent::start(delivery, Some(41));
        let mut silent = agent.next_watch().await;
        for _ in 0..3 {
            sleep(Duration::from_secs(2)).await;
            silent.send_line("").await;
        }
        assert!(agent.requests.try_recv().is_err(), "a line each 2 s is no silence");
        silent.send_draining(42).await;
        agent.expect_revision(42).await;
        let silent_since = Instant::now();
        let mut second = agent.next_request().await;
        assert_eq!(second.path, "/v1/endpoints?watch=1&from=42");
        second.open_watch().await;
        second.send_draining(43).await;
        let published = agent.expect_revision(43).await - silent_since;
        assert!(published < Duration::from_secs(4), "{published:?}");
        assert!(silent.stream.write_all(b"x").await.is_err(), "the silent watch is closed");
    })
    .await;
}

/// Row 3: the first of two watches to send a line is kept; a later watch resumes from the last published revision.
#[tokio::test(start_paused = true)]
async fn watch_that_resumes_before_second_one_is_kept() {
    run_local(async {
        let mut agent = FakeAgent::start(Delivery::Poll, Some(41));
        let mut first = agent.next_watch().await;
        let second = agent.next_request().await;
        first.send_draining(42).await;
        agent.expect_revision(42).await;
        let mut second = second.stream;
        assert_eq!(second.read(&mut [0]).await.unwrap(), 0, "the request beside it is cancelled");
        let third = agent.next_request().await;
        assert_eq!(third.path, "/v1/endpoints?watch=1&from=42", "it is requested after another silence");
    })
    .await;
}

/// Row 4: a queued request is awaited, and is the only one in flight; a watch that the service closes is requested
/// again soon.
#[tokio::test(start_paused = true)]
async fn queued_request_is_awaited_as_only_one_in_flight() {
    run_local(async {
        let mut agent = FakeAgent::start(Delivery::Poll, None);
        let first = agent.next_request().await;
        let other_requests = agent.unanswered_requests(Duration::from_millis(2_100)).await;
        assert!(other_requests.is_empty(), "one request is in flight at a time");
        first.respond_with_list(41).await;
        agent.expect_revision(41).await;
        let watching = agent.next_request().await;
        assert!(agent.unanswered_requests(Duration::from_secs(2)).await.is_empty());
        let ended = Instant::now();
        drop(watching); // closed by the service
        let pause = agent.next_request().await.at - ended;
        assert!(pause < Duration::from_millis(100), "{pause:?}");
    })
    .await;
}

/// Row 5: a service that rejects requests gets fewer of them, but each balancer retries within 6 s for any number of
/// balancers.
#[rstest]
#[case::few(4)]
#[case::many(300)]
#[case::very_many(100_000)]
#[tokio::test(start_paused = true)]
async fn overloaded_service_gets_fewer_requests(#[case] balancers: u32) {
    run_local(async {
        let mut agent = FakeAgent::start_with_balancers(balancers, Delivery::Poll, Some(41));
        for attempt in 0..20 {
            agent.next_request().await.reject().await;
            let ended = Instant::now();
            let next = agent.next_request().await;
            let pause = next.at - ended;
            let min_pause_ms = if attempt > 4 || balancers >= 300 { 800 } else { 100 };
            assert!(
                pause >= Duration::from_millis(min_pause_ms) && pause <= REJECTED_BACKOFF_MAX.mul_f64(1.5),
                "{pause:?}"
            );
            next.reject().await;
        }
    })
    .await;
}

/// Row 6: after SIGHUP the complete list is requested from the new agent at once, and the previous agent is followed
/// until the list is received.
#[rstest]
#[case::push(Delivery::Push)]
#[case::poll(Delivery::Poll)]
#[tokio::test(start_paused = true)]
async fn previous_agent_is_followed_until_new_one_answers(#[case] delivery: Delivery) {
    run_local(async {
        let mut agent = FakeAgent::start(delivery, Some(41));
        let mut previous_watch = agent.next_watch().await;
        previous_watch.send_line("").await;
        let moved = Instant::now();
        agent.address.send(SECOND_ADDRESS).unwrap();
        let request = agent.next_request().await;
        assert_eq!(
            (request.address, request.path.as_str(), request.at),
            (SECOND_ADDRESS, "/v1/endpoints", moved)
        );
        previous_watch.send_draining(42).await;
        agent.expect_revision(42).await;
        request.respond_with_list(7).await;
        agent.expect_revision(7).await;
        assert!(agent.next_watch().await.path.ends_with("from=7"));
        assert!(
            previous_watch.stream.write_all(b"x").await.is_err(),
            "the watch of the previous agent is closed"
        );
        // An agent that does not answer is contacted again within 4 s after SIGHUP.
        agent.address.send(FIRST_ADDRESS).unwrap();
        let at = Instant::now();
        let lost = agent.next_request().await;
        std::mem::forget(lost.stream);
        let again = agent.next_request().await.at - at;
        assert!(again < Duration::from_millis(3_600), "{again:?}");
    })
    .await;
}
