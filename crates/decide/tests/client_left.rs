//! A client that leaves while its request waits: no attempt is sent for the request afterwards.

mod common;
use common::*;
use decide::api::*;

/// What request 2 waits for when its client leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WaitingFor {
    Permit,
    LocalFetch,
    RemoteFetch,
    WriteRetry,
    Hedge,
    Attempt,
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left() {
    use WaitingFor::*;
    for (waiting_for, cancel) in [Permit, LocalFetch, RemoteFetch, WriteRetry, Hedge, Attempt]
        .into_iter()
        .flat_map(|waiting_for| [(waiting_for, false), (waiting_for, true)])
    {
        let hedged_requests = waiting_for == Hedge;
        let mut router =
            TestRouter::new(Settings { may_cancel: cancel, hedged_requests, ..settings() }, 1, 3);
        let id = RequestId(2);
        let mut timers = match waiting_for {
            Permit => {
                router.submit_and_miss(1, 0, 11);
                router.submit_and_miss(2, 0, 12)
            }
            LocalFetch => {
                router.submit_and_miss(1, 0, 11);
                router.submit_and_miss(2, 0, 11)
            }
            RemoteFetch => {
                router.submit(request(2, 0, 12));
                let (outcome, latency_us) = (Outcome::Miss, 10 * MS);
                let (attempt, finished, fetch_pending, stale) = (0, false, true, false);
                router.handle(Event::Outcome {
                    id,
                    attempt,
                    outcome,
                    latency_us,
                    finished,
                    fetch_pending,
                    doubtful: false,
                    stale,
                })
            }
            WriteRetry => {
                router.submit(Request { write: true, ..request(1, 1, 11) });
                router.end_attempt_after(1, 0, Outcome::Ok, 20 * MS); // the pause before a write is retried
                router.submit(Request { write: true, ..request(2, 1, 12) });
                router.end_attempt(2, 0, Outcome::ConnectFailed)
            }
            Hedge | Attempt => router.submit(request(2, 0, 12)),
        };
        let has_timer = timers.iter().any(|action| matches!(action, Action::Timer { .. }));
        assert!(has_timer || waiting_for == Attempt, "{waiting_for:?}: no timer was set");
        timers.extend(router.handle(Event::ClientLeft(id)));
        let mut after = router.advance(1_000 * MS, &timers);
        for outcome in [Outcome::NotSent, Outcome::ConnectFailed] {
            after.extend(router.end_attempt(2, 0, outcome)); // an outstanding attempt ends unsent
        }
        after.extend(router.end_attempt(1, 1, Outcome::Reset)); // the fetch that request 2 waited for fails
        let sent = |action: &Action| matches!(action, Action::Forward { id, .. } if id.0 == 2);
        assert!(!after.iter().any(sent), "{waiting_for:?}, cancel {cancel}: {after:?}");
        assert_eq!(
            count_final_answers(&after),
            usize::from(waiting_for == Permit || waiting_for == LocalFetch),
            "{waiting_for:?}, cancel {cancel}: only request 1 is answered"
        );
    }
}
