//! Every event in every state (`docs/design/crossings-list.md`). From then on discovery can be reached and answers within 1 s what
//! is new to it: its changes must be published within 6 s, whatever happened before.

mod fake_agent;

use discovery::Way;
use fake_agent::*;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

const THIRD_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 3);
/// A change must be published by then.
const DEADLINE: Duration = Duration::from_secs(6);
/// How long a fault lasts: until the backoff has reached its maximum.
const FAULT_DURATION: Duration = Duration::from_secs(20);
const NEW_REVISION: u64 = 99;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    RequestingList,
    RequestingWatch,
    Watching,
    WatchSilent,
    SecondWatchOpened,
    Moved,
    MovedTwice,
}

/// What happens to the watch that sent the last line (after a move, that of the previous agent), to the request in flight and
/// those after it, or to the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    WatchChange,
    WatchKeepAlive,
    WatchPartialLine,
    WatchTrickles,
    WatchCutChunk,
    WatchReset,
    WatchListBack,
    WatchChangeBack,
    RequestHead,
    RequestAnswer,
    RequestPartial,
    RequestRejected,
    RequestRejectedLate,
    RequestReset,
    RequestHangs,
    RequestDialHangs,
    RequestDialRefused,
    RequestListBack,
    Sighup,
}

use Event::*;
use State::*;

struct Scenario {
    agent: FakeAgent,
    at: SocketAddr,
    known: Option<u64>,
    watch: Option<Request>,
    request: Option<Request>,
    /// Whether the response head of the request in flight has been sent.
    second_watch_opened: bool,
    /// Never closed, and silent.
    open_streams: Vec<DuplexStream>,
}

impl Scenario {
    async fn in_state(state: State, way: Way) -> Self {
        let known = (state != RequestingList).then_some(41);
        let (agent, second_watch_opened) = (FakeAgent::start(way, known), state == SecondWatchOpened);
        let mut it = Self {
            agent,
            at: FIRST_ADDRESS,
            known,
            watch: None,
            request: None,
            second_watch_opened,
            open_streams: Vec::new(),
        };
        if matches!(state, RequestingList | RequestingWatch) {
            it.request = Some(it.agent.next_request().await);
            return it;
        }
        let mut watch = it.agent.next_watch().await;
        watch.send_line("").await;
        it.watch = Some(watch);
        sleep(Duration::from_millis(1)).await;
        match state {
            WatchSilent => it.request = Some(it.agent.next_request().await),
            SecondWatchOpened => {
                it.request = Some(it.agent.next_watch().await);
                sleep(Duration::from_millis(1)).await;
            }
            Moved => it.move_to(SECOND_ADDRESS).await,
            MovedTwice => {
                it.move_to(SECOND_ADDRESS).await;
                it.move_to(THIRD_ADDRESS).await;
            }
            _ => {}
        }
        it
    }

    async fn move_to(&mut self, to: SocketAddr) {
        self.agent.address.send(to).unwrap();
        (self.at, self.known) = (to, None);
        let request = self.agent.next_request().await;
        assert_eq!((request.to, request.path.as_str()), (to, "/v1/endpoints"), "asked at once");
        self.open_streams.extend(self.request.replace(request).map(|it| it.stream));
    }

    /// Lets the event happen, and returns the revisions it publishes; `None` if it cannot happen in this state.
    async fn apply_event(&mut self, event: Event) -> Option<Vec<u64>> {
        let moved = self.at != FIRST_ADDRESS;
        match event {
            Sighup => {
                let to = if self.at == SECOND_ADDRESS { THIRD_ADDRESS } else { SECOND_ADDRESS };
                self.move_to(to).await;
                Some(vec![])
            }
            WatchChange | WatchKeepAlive | WatchPartialLine | WatchTrickles | WatchCutChunk | WatchReset
            | WatchListBack | WatchChangeBack => {
                let mut watch = self.watch.take()?;
                let (published, known) = match event {
                    WatchChange => {
                        watch.send_draining(42).await;
                        (Some(42), Some(42))
                    }
                    WatchCutChunk => {
                        let line = list(42, false, "draining");
                        let _ = watch
                            .stream
                            .write_all(format!("{:x}\r\n{line}\n", line.len() + 99).as_bytes())
                            .await;
                        (Some(42), Some(42))
                    }
                    WatchListBack => {
                        watch.send_line(&list(7, true, "ready")).await;
                        (Some(7), Some(7))
                    }
                    WatchChangeBack => {
                        watch.send_line(&list(7, false, "draining")).await;
                        (Some(7), None)
                    }
                    WatchKeepAlive => {
                        watch.send_line("").await;
                        (None, self.known)
                    }
                    WatchPartialLine => {
                        let _ = watch.stream.write_all(b"99\r\n{\"revision\":42,").await;
                        (None, self.known)
                    }
                    WatchTrickles => {
                        let _ = watch.stream.write_all(b"fff\r\n").await;
                        for _ in 0..40 {
                            let _ = watch.stream.write_all(b" ").await;
                            sleep(Duration::from_millis(100)).await;
                        }
                        (None, self.known)
                    }
                    _ => {
                        sleep(Duration::from_millis(1)).await;
                        return Some(vec![]); // reset
                    }
                };
                self.known = if moved { None } else { known };
                self.open_streams.push(watch.stream);
                Some(published.into_iter().collect())
            }
            RequestDialHangs | RequestDialRefused => {
                self.open_streams.push(self.request.take()?.stream);
                let dial_outcome =
                    if event == RequestDialHangs { DialOutcome::Hangs } else { DialOutcome::Refused };
                *self.agent.dial_outcome.borrow_mut() = dial_outcome;
                sleep(FAULT_DURATION).await;
                *self.agent.dial_outcome.borrow_mut() = DialOutcome::Connected;
                Some(vec![])
            }
            RequestAnswer | RequestListBack => {
                let request = self.request.take()?;
                let revision = if event == RequestAnswer { 42 } else { 7 };
                self.known = Some(revision);
                let watched = request.path.contains("watch");
                let answered =
                    answer(request, revision, event == RequestListBack, self.second_watch_opened).await;
                if watched {
                    self.open_streams.extend(answered);
                }
                Some(vec![revision])
            }
            _ => {
                let request = self.request.take()?;
                if self.second_watch_opened && event != RequestPartial {
                    self.open_streams.push(request.stream); // it stays silent, and the following requests fail
                } else {
                    self.fail(request, event).await;
                }
                let until = Instant::now() + FAULT_DURATION;
                while let Ok(request) = timeout_at(until, self.agent.requests.recv()).await {
                    self.fail(request.unwrap(), event).await;
                }
                // Discovery is back just after a request was sent.
                let last = self.agent.next_request().await;
                self.fail(last, event).await;
                Some(vec![])
            }
        }
    }

    async fn fail(&mut self, mut request: Request, event: Event) {
        let watched = request.path.contains("watch");
        match event {
            RequestHead | RequestPartial => {
                let head = match watched {
                    true => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    false => "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
                };
                let half = match (event, watched) {
                    (RequestHead, _) => "",
                    (_, true) => "99\r\n{\"revision\":42,",
                    (_, false) => "{\"revision\":42,",
                };
                let _ = request.stream.write_all(format!("{head}{half}").as_bytes()).await;
                self.open_streams.push(request.stream);
            }
            RequestRejected => request.reject().await,
            RequestRejectedLate => {
                spawn_local(async move {
                    sleep(Duration::from_secs(2)).await;
                    request.reject().await;
                });
            }
            RequestHangs => self.open_streams.push(request.stream),
            _ => drop(request),
        }
    }
}

/// Answers a request; returns the stream of a watch, which stays open.
async fn answer(
    mut request: Request, revision: u64, complete: bool, head_given: bool,
) -> Option<DuplexStream> {
    if !request.path.contains("watch") {
        request.respond_with_list(revision).await;
        return None;
    }
    let line = list(revision, complete, "draining");
    let head = if head_given { "" } else { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" };
    let _ = request.stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await;
    Some(request.stream)
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn every_event_in_every_state_publishes_changes_within_six_seconds(
    #[values(Way::Pushed, Way::Asked)] way: Way,
    #[values(RequestingList, RequestingWatch, Watching, WatchSilent, SecondWatchOpened, Moved, MovedTwice)]
    state: State,
    #[values(
        WatchChange,
        WatchKeepAlive,
        WatchPartialLine,
        WatchTrickles,
        WatchCutChunk,
        WatchReset,
        WatchListBack,
        WatchChangeBack,
        RequestHead,
        RequestAnswer,
        RequestPartial,
        RequestRejected,
        RequestRejectedLate,
        RequestReset,
        RequestHangs,
        RequestDialHangs,
        RequestDialRefused,
        RequestListBack,
        Sighup
    )]
    event: Event,
) {
    run_local(async {
        let mut scenario = Scenario::in_state(state, way).await;
        let Some(published) = scenario.apply_event(event).await else {
            assert!(matches!(state, RequestingList | RequestingWatch | Watching), "the event can happen in this state");
            return;
        };
        sleep(Duration::from_millis(1)).await;
        let mut received = Vec::new();
        while let Ok((revision, _)) = scenario.agent.published.try_recv() {
            received.push(revision);
        }
        assert_eq!(received, published);
        // Requests sent before are never answered; those from now on are, within a second.
        while let Ok(request) = scenario.agent.requests.try_recv() {
            scenario.open_streams.push(request.stream);
        }
        let (since, mut bases) = (Instant::now(), Vec::new());
        let at = loop {
            tokio::select! {
                event = scenario.agent.published.recv() => match event.unwrap() {
                    (NEW_REVISION, at) => break at,
                    (other, _) => panic!("revision {other} was not sent by the agent"),
                },
                request = scenario.agent.requests.recv() => {
                    let request = request.unwrap();
                    if request.to != scenario.at {
                        scenario.open_streams.push(request.stream); // the previous agent stays silent
                        continue;
                    }
                    bases.push(request.path.clone());
                    spawn_local(async move {
                        if way == Way::Asked {
                            sleep(Duration::from_secs(1)).await;
                        }
                        let open = answer(request, NEW_REVISION, false, false).await;
                        std::future::pending::<()>().await;
                        drop(open);
                    });
                }
                () = sleep_until(since + DEADLINE) => panic!("nothing published within {DEADLINE:?}; requested {bases:?}"),
            }
        };
        assert!(at - since < DEADLINE, "{:?}", at - since);
        let base =
            scenario.known.map_or("/v1/endpoints".into(), |known| format!("/v1/endpoints?watch=1&from={known}"));
        assert_eq!(bases[0], base, "the request resumes from the known revision");
        // Where requests cost, one is in flight at a time: two can have been answered within 6 s.
        assert!(way == Way::Pushed || bases.len() <= 3, "{bases:?}");
    })
    .await;
}

/// The second watch has sent its head. Until it sends a line, the first one is still read, and the first to send a line is kept.
#[rstest]
#[tokio::test(start_paused = true)]
async fn response_head_alone_does_not_end_previous_watch(
    #[values(Way::Pushed, Way::Asked)] way: Way, #[values(true, false)] old_sends: bool,
) {
    run_local(async {
        let mut scenario = Scenario::in_state(SecondWatchOpened, way).await;
        let (mut old, mut second) = (scenario.watch.take().unwrap(), scenario.request.take().unwrap());
        let (sender, other) = if old_sends { (&mut old, &mut second) } else { (&mut second, &mut old) };
        sender.send_draining(42).await;
        scenario.agent.expect_revision(42).await;
        assert!(other.stream.write_all(b"x").await.is_err(), "the other watch is closed");
        sender.send_draining(43).await;
        scenario.agent.expect_revision(43).await;
    })
    .await;
}

/// All times of two faults in a row: the watch fell silent, and the one requested beside it sends only its head.
#[rstest]
#[case::pushed(Way::Pushed)]
#[case::asked(Way::Asked)]
#[tokio::test(start_paused = true)]
async fn silent_second_watch_is_replaced_in_time(#[case] way: Way) {
    run_local(async {
        let mut scenario = Scenario::in_state(Watching, way).await;
        let silent_since = Instant::now();
        let second = scenario.agent.next_watch().await;
        scenario.open_streams.push(second.stream);
        let third = loop {
            let request = scenario.agent.next_request().await; // push: other requests were in flight beside the second
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

/// A change whose revision goes back is relative to an unknown list.
#[tokio::test(start_paused = true)]
async fn revision_going_back_requests_complete_list() {
    run_local(async {
        let mut scenario = Scenario::in_state(Watching, Way::Asked).await;
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

/// Lines may have arrived on either of two watches when one of them is closed: both are published.
#[rstest]
#[tokio::test(start_paused = true)]
async fn lines_received_on_closed_watch_are_published(
    #[values(Way::Pushed, Way::Asked)] way: Way, #[values(WatchSilent, SecondWatchOpened)] state: State,
    #[values(true, false)] old_sends: bool,
) {
    run_local(async {
        let mut scenario = Scenario::in_state(state, way).await;
        let (mut old, mut second) = (scenario.watch.take().unwrap(), scenario.request.take().unwrap());
        if state == WatchSilent {
            second.open_watch().await;
        }
        let (sender, quiet) = if old_sends { (&mut old, &mut second) } else { (&mut second, &mut old) };
        quiet.send_line("").await;
        sender.send_draining(42).await;
        let written = Instant::now();
        assert_eq!(scenario.agent.expect_revision(42).await, written);
        sender.send_draining(43).await;
        scenario.agent.expect_revision(43).await; // the watch with the latest revision is kept
    })
    .await;
}

/// What the previous agent had sent when the list of the new one is read still applies. A list that lags behind it brings back no
/// endpoint that is draining or gone, unless the endpoint has started since, and no start before the last one.
#[rstest]
#[case::drains("draining", 0, 0, None)]
#[case::gone("gone", 0, 0, None)]
#[case::started_since("draining", 0, 5, Some(5))]
#[case::came_back("gone", 0, 5, Some(5))]
#[case::started_before("ready", 5, 0, Some(5))]
#[tokio::test(start_paused = true)]
async fn lagging_list_brings_back_no_endpoint(
    #[case] phase: &str, #[case] since: u64, #[case] late: u64, #[case] up: Option<u64>,
    #[values(Way::Pushed, Way::Asked)] way: Way,
) {
    for _ in 0..8 {
        run_local(async {
            let mut scenario = Scenario::in_state(Moved, way).await;
            let mut old = scenario.watch.take().unwrap();
            // Both have arrived when the client reads.
            old.send_line(&list_since(42, false, phase, since)).await;
            scenario.request.take().unwrap().respond(&list_since(40, true, "ready", late)).await;
            scenario.agent.expect_revision(42).await;
            scenario.agent.expect_revision(40).await;
            let published = |scenario: &Scenario| scenario.agent.ready.borrow().first().map(|it| it.1);
            assert_eq!(published(&scenario), up);
            // A lagging change brings back none either; one that has caught up does.
            let mut new = scenario.agent.next_watch().await;
            for (revision, up) in [(41, up), (43, Some(late))] {
                new.send_line(&list_since(revision, false, "ready", late)).await;
                scenario.agent.expect_revision(revision).await;
                assert_eq!(published(&scenario), up, "revision {revision}");
            }
        })
        .await;
    }
}

/// An agent that lags for longer than discovery can be late counts its own revisions.
#[tokio::test(start_paused = true)]
async fn permanently_lagging_agent_is_accepted() {
    run_local(async {
        let mut scenario = Scenario::in_state(Moved, Way::Pushed).await;
        let mut old = scenario.watch.take().unwrap();
        old.send_draining(42).await;
        scenario.agent.expect_revision(42).await;
        sleep(Duration::from_secs(20)).await; // both are silent, so the lag period has not begun
        scenario.request = None;
        let mut requests = scenario.agent.unanswered_requests(Duration::from_secs(1)).await;
        requests.pop().unwrap().respond_with_list(1).await;
        scenario.agent.expect_revision(1).await;
        assert!(scenario.agent.ready.borrow().is_empty());
        let mut new = scenario.agent.next_watch().await;
        for _ in 0..3 {
            sleep(Duration::from_secs(2)).await;
            new.send_line("").await;
        }
        new.send_line(&list(2, false, "ready")).await;
        scenario.agent.expect_revision(2).await;
        assert!(!scenario.agent.ready.borrow().is_empty());
    })
    .await;
}

/// A move in the middle of a line: the rest of it is read until the new agent has sent its list, and not after.
#[rstest]
#[case::one_move(Moved)]
#[case::two_moves(MovedTwice)]
#[tokio::test(start_paused = true)]
async fn partial_line_at_move_is_read_to_its_end(#[case] moved: State) {
    run_local(async {
        let mut scenario = Scenario::in_state(Watching, Way::Pushed).await;
        let mut old = scenario.watch.take().unwrap();
        let line = list(42, false, "draining");
        let (first, rest) = line.split_at(20);
        old.stream.write_all(format!("{:x}\r\n{first}", line.len() + 1).as_bytes()).await.unwrap();
        sleep(Duration::from_millis(1)).await;
        scenario.move_to(SECOND_ADDRESS).await;
        if moved == MovedTwice {
            scenario.move_to(THIRD_ADDRESS).await;
            let mut between = scenario.open_streams.pop().unwrap();
            assert_eq!(
                between.read(&mut [0]).await.unwrap(),
                0,
                "an agent that has sent nothing is not followed further"
            );
        }
        old.stream.write_all(format!("{rest}\n\r\n").as_bytes()).await.unwrap();
        scenario.agent.expect_revision(42).await;
        scenario.request.take().unwrap().respond_with_list(5).await;
        scenario.agent.expect_revision(5).await;
        assert!(
            old.stream.write_all(b"x").await.is_err(),
            "the previous agent is disconnected after the new list"
        );
    })
    .await;
}

/// Changes of the previous agent apply until 4 s after the move: its watch is requested again if it breaks by then, and not later.
#[rstest]
#[case::pushed(Way::Pushed)]
#[case::asked(Way::Asked)]
#[tokio::test(start_paused = true)]
async fn previous_agent_is_retried_for_retry_period(#[case] way: Way) {
    run_local(async {
        let mut scenario = Scenario::in_state(Moved, way).await;
        let moved = Instant::now();
        drop(scenario.watch.take());
        let mut anew = loop {
            let request = scenario.agent.next_request().await;
            if request.to == FIRST_ADDRESS {
                break request;
            }
            assert!(
                request.at - moved < Duration::from_secs(4),
                "the previous agent is not contacted in its retry period"
            );
            scenario.open_streams.push(request.stream);
        };
        assert!(anew.at - moved < Duration::from_millis(100) && anew.path.ends_with("from=41"));
        anew.open_watch().await;
        anew.send_draining(42).await;
        scenario.agent.expect_revision(42).await;
        let late = scenario.agent.unanswered_requests(Duration::from_secs(20)).await;
        assert!(
            late.iter()
                .all(|request| request.to == SECOND_ADDRESS || request.at - moved < Duration::from_secs(4))
        );
        assert!(late.iter().any(|request| request.to == SECOND_ADDRESS));
    })
    .await;
}

/// The address changes and changes back before anybody looks: the open connections stay.
#[tokio::test(start_paused = true)]
async fn move_away_and_back_keeps_connections() {
    run_local(async {
        let mut scenario = Scenario::in_state(Watching, Way::Pushed).await;
        scenario.agent.address.send(SECOND_ADDRESS).unwrap();
        scenario.agent.address.send(FIRST_ADDRESS).unwrap();
        assert!(scenario.agent.unanswered_requests(Duration::from_secs(2)).await.is_empty());
        scenario.watch.as_mut().unwrap().send_draining(42).await;
        scenario.agent.expect_revision(42).await;
    })
    .await;
}

/// However long discovery stays in a state, the number of open connections is bounded.
#[rstest]
#[tokio::test(start_paused = true)]
async fn open_connections_are_bounded(
    #[values(RequestHead, RequestPartial, RequestHangs)] event: Event,
    #[values(WatchSilent, Moved, MovedTwice)] state: State,
) {
    run_local(async {
        let mut scenario = Scenario::in_state(state, Way::Pushed).await;
        scenario.apply_event(event).await.unwrap();
        let mut open = 0;
        for stream in &mut scenario.open_streams {
            let ended = tokio::time::timeout(Duration::from_millis(0), stream.read(&mut [0])).await;
            open += usize::from(ended.is_err());
        }
        let most = discovery::pace::MAX_REQUESTS_IN_FLIGHT + discovery::pace::MAX_WATCHES;
        assert!(open <= most && open > 0, "{open} open");
    })
    .await;
}
