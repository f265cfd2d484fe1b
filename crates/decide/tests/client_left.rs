//! A client that leaves while its request waits: whatever it waited for, nothing is sent for it afterwards.

mod common;
use common::*;
use decide::api::*;

/// Where request 2 waits.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Waits {
    Permit,
    OthersFetch,
    OthersFetchElsewhere,
    BackOff,
    SecondCopy,
    Attempt,
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left() {
    use Waits::*;
    for (waits, cancel) in [Permit, OthersFetch, OthersFetchElsewhere, BackOff, SecondCopy, Attempt]
        .into_iter()
        .flat_map(|waits| [(waits, false), (waits, true)])
    {
        let hedged_requests = waits == SecondCopy;
        let mut rig = Rig::new(Settings { cancel, hedged_requests, ..settings() }, 1, 3);
        let id = RequestId(2);
        let mut timers = match waits {
            Permit => {
                rig.miss(1, 0, 11);
                rig.miss(2, 0, 12)
            }
            OthersFetch => {
                rig.miss(1, 0, 11);
                rig.miss(2, 0, 11)
            }
            OthersFetchElsewhere => {
                rig.ask(request(2, 0, 12));
                let (outcome, latency_us) = (Outcome::Miss, 10 * MS);
                let (attempt, finished, fetch_pending, stale) = (0, false, true, false);
                rig.feed(Event::Outcome { id, attempt, outcome, latency_us, finished, fetch_pending, stale })
            }
            BackOff => {
                rig.ask(Request { write: true, ..request(1, 1, 11) });
                rig.end_after(1, 0, Outcome::Ok, 20 * MS); // so long is waited
                rig.ask(Request { write: true, ..request(2, 1, 12) });
                rig.end(2, 0, Outcome::ConnectFailed)
            }
            SecondCopy | Attempt => rig.ask(request(2, 0, 12)),
        };
        let timer = timers.iter().any(|it| matches!(it, Action::Timer { .. }));
        assert!(timer || waits == Attempt, "{waits:?}: it waits");
        timers.extend(rig.feed(Event::ClientLeft(id)));
        let mut after = rig.pass(1_000 * MS, &timers);
        for outcome in [Outcome::NotSent, Outcome::ConnectFailed] {
            after.extend(rig.end(2, 0, outcome)); // what was out ends unsent
        }
        after.extend(rig.end(1, 1, Outcome::Reset)); // the fetch that it waited for fails
        let sent = |it: &Action| matches!(it, Action::Forward { id, .. } if id.0 == 2);
        assert!(!after.iter().any(sent), "{waits:?}, cancel {cancel}: {after:?}");
        assert_eq!(answers(&after), usize::from(waits == Permit || waits == OthersFetch), "only the other's");
    }
}
