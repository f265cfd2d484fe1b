//! Every event in every state (`docs/design/crossings-list.md`). After the event discovery is reachable and answers new
//! requests within 1 s: its changes must be published within 6 s, whatever happened before.

mod fake_agent;
mod scenario;

use discovery::Delivery;
use fake_agent::*;
use rstest::rstest;
use scenario::*;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

const NEW_REVISION: u64 = 99;

#[rstest]
#[tokio::test(start_paused = true)]
async fn changes_are_published_in_6_s_after_any_event_in_any_state(
    #[values(Delivery::Push, Delivery::Poll)] delivery: Delivery,
    #[values(RequestingList, RequestingWatch, Watching, WatchSilent, SecondWatchOpened, Moved, MovedTwice)]
    state: State,
    #[values(
        WatchChange,
        WatchKeepAlive,
        WatchPartialLine,
        WatchTrickles,
        WatchTruncatedChunk,
        WatchReset,
        WatchOlderList,
        WatchOlderChange,
        RequestHead,
        RequestAnswered,
        RequestPartial,
        RequestRejected,
        RequestRejectedLate,
        RequestReset,
        RequestHangs,
        RequestDialHangs,
        RequestDialRefused,
        RequestOlderList,
        Sighup
    )]
    event: Event,
) {
    run_local(async {
        let mut scenario = Scenario::in_state(state, delivery).await;
        let Some(published) = scenario.apply_event(event).await else {
            assert!(
                matches!(state, RequestingList | RequestingWatch | Watching),
                "the event can happen in this state"
            );
            return;
        };
        sleep(Duration::from_millis(1)).await;
        let mut received = Vec::new();
        while let Ok((revision, _)) = scenario.agent.published.try_recv() {
            received.push(revision);
        }
        assert_eq!(received, published);
        // Requests sent until now are never answered; later ones are answered within 1 s.
        while let Ok(request) = scenario.agent.requests.try_recv() {
            scenario.open_streams.push(request.stream);
        }
        let (since, mut request_paths) = (Instant::now(), Vec::new());
        let at = loop {
            tokio::select! {
                event = scenario.agent.published.recv() => match event.unwrap() {
                    (NEW_REVISION, at) => break at,
                    (other, _) => panic!("revision {other} was not sent by the agent"),
                },
                request = scenario.agent.requests.recv() => {
                    let request = request.unwrap();
                    if request.address != scenario.agent_address {
                        scenario.open_streams.push(request.stream); // the previous agent stays silent
                        continue;
                    }
                    request_paths.push(request.path.clone());
                    spawn_local(async move {
                        if delivery == Delivery::Poll {
                            sleep(Duration::from_secs(1)).await;
                        }
                        let open = answer(request, NEW_REVISION, false, false).await;
                        std::future::pending::<()>().await;
                        drop(open);
                    });
                }
                () = sleep_until(since + DEADLINE) => {
                    panic!("nothing published within {DEADLINE:?}; requested {request_paths:?}")
                }
            }
        };
        assert!(at - since < DEADLINE, "{:?}", at - since);
        let expected_path = scenario
            .known_revision
            .map_or("/v1/endpoints".into(), |revision| format!("/v1/endpoints?watch=1&from={revision}"));
        assert_eq!(request_paths[0], expected_path, "the request resumes from the known revision");
        // With poll delivery one request is in flight at a time: only two can have been answered within 6 s.
        assert!(delivery == Delivery::Push || request_paths.len() <= 3, "{request_paths:?}");
    })
    .await;
}

/// The number of open connections is bounded, however long discovery stays in a state.
#[rstest]
#[tokio::test(start_paused = true)]
async fn open_connections_are_bounded(
    #[values(RequestHead, RequestPartial, RequestHangs)] event: Event,
    #[values(WatchSilent, Moved, MovedTwice)] state: State,
) {
    run_local(async {
        let mut scenario = Scenario::in_state(state, Delivery::Push).await;
        scenario.apply_event(event).await.unwrap();
        let mut open = 0;
        for stream in &mut scenario.open_streams {
            let ended = tokio::time::timeout(Duration::from_millis(0), stream.read(&mut [0])).await;
            open += usize::from(ended.is_err());
        }
        let max_open = discovery::pace::MAX_REQUESTS_IN_FLIGHT + discovery::pace::MAX_WATCHES;
        assert!(open <= max_open && open > 0, "{open} open");
    })
    .await;
}
