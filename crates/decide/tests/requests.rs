//! Requests from arrival to final answer: fetches, retries, hedging, load shedding, and rejection.

mod common;
use common::*;
use decide::api::*;

#[test]
fn miss_is_fetched_when_its_reserved_permit_is_free() {
    let mut router = TestRouter::new(settings(), 1, 3);
    assert_eq!(forwarded_to(&router.submit_and_miss(1, 0, 11)), [ORIGIN], "the first permit is free at once");
    let waiting = router.submit_and_miss(2, 0, 12);
    assert_eq!(forwarded_to(&waiting), [0; 0]);
    let [Action::Timer { delay_us, .. }] = waiting[..] else { panic!("expected one timer: {waiting:?}") };
    assert!(delay_us > 0 && delay_us < 500 * MS);
    assert_eq!(
        forwarded_to(&router.advance(delay_us - 1, &waiting)),
        [0; 0],
        "not before its permit is free"
    );
    assert_eq!(forwarded_to(&router.advance(delay_us, &waiting)), [ORIGIN]);
}

#[test]
fn fetch_beyond_its_time_left_is_rejected_at_the_miss() {
    let mut router = TestRouter::new(settings(), 1, 3);
    let first_rejection = (1..200).find(|&id| is_rejected(&router.submit_and_miss(id, 0, 100 + id)));
    assert!(
        first_rejection.is_some_and(|id| id > 2),
        "some wait, until the permits are reserved beyond the latency objective"
    );
}

#[test]
fn low_weight_fetch_is_rejected_instead_of_waiting() {
    let mut router = TestRouter::new(settings(), 1, 3);
    router.submit_and_miss(1, 0, 11);
    let (low, high) = (router.submit_and_miss(2, 3, 12), router.submit_and_miss(3, 0, 13));
    assert!(is_rejected(&low) && !is_rejected(&high), "weight 1 does not wait for a permit, weight 3 does");
}

#[test]
fn tenant_beyond_its_quota_counts_as_low_weight() {
    let mut tenants = settings();
    tenants.tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1e6 }];
    tenants.over_quota_weight = 0.1;
    let mut router = TestRouter::new(tenants, 1, 3);
    router.submit_and_miss(1, 0, 11);
    let mut over = request(0, 0, 0);
    for id in 10..20 {
        (over.id, over.key) = (RequestId(id), Some(Key(id)));
        router.submit(over);
    }
    let mut within = request(30, 0, 50);
    within.tenant = TenantId(1);
    router.submit(within);
    assert!(is_rejected(&router.end_attempt(19, 0, Outcome::Miss)));
    assert!(!is_rejected(&router.end_attempt(30, 0, Outcome::Miss)));
}

#[test]
fn concurrent_misses_of_a_key_share_one_fetch() {
    let mut router = TestRouter::new(settings(), 1, 3);
    let home = router.endpoint_for(request(1, 0, 7));
    router.submit(request(2, 0, 7));
    assert_eq!(forwarded_to(&router.end_attempt(1, 0, Outcome::Miss)), [ORIGIN]);
    assert_eq!(
        forwarded_to(&router.end_attempt(2, 0, Outcome::Miss)),
        [0; 0],
        "a fetch of the key is outstanding"
    );
    assert_eq!(
        forwarded_to(&router.end_attempt(1, 1, Outcome::Ok)),
        [home.unwrap()],
        "the endpoint where the fetch stored the value"
    );
}

#[test]
fn one_waiter_fetches_when_the_awaited_fetch_fails() {
    let mut router = TestRouter::new(settings(), 1, 3);
    for id in 1..4 {
        router.submit(request(id, 0, 7));
        router.end_attempt(id, 0, Outcome::Miss);
    }
    router.now += 400 * MS; // permits are free again
    let after = router.end_attempt(1, 1, Outcome::Error);
    assert_eq!(forwarded_to(&after), [ORIGIN], "one fetch, not two");
}

#[test]
fn request_without_any_outcome_is_answered_once() {
    let mut router = TestRouter::new(settings(), 1, 3);
    router.submit_and_miss(1, 0, 7);
    let waiting = router.submit_and_miss(2, 0, 7);
    assert_eq!(count_final_answers(&waiting), 0);
    let late = router.advance(1_000 * MS, &waiting);
    assert_eq!(count_final_answers(&late), 1, "the waiter is answered at its deadline");
    let timed_out = router.end_attempt_after(1, 1, Outcome::Timeout, 1_000 * MS);
    assert_eq!(count_final_answers(&timed_out), 1, "the request whose fetch timed out is answered");
    assert_eq!(forwarded_to(&timed_out), [0; 0]);
    assert_eq!(
        count_final_answers(&router.advance(1_000 * MS, &waiting)),
        0,
        "nothing follows the final answer"
    );
}

#[test]
fn waiting_fetch_of_a_client_that_left_is_not_sent() {
    let mut router = TestRouter::new(settings(), 1, 3);
    router.submit_and_miss(1, 0, 11);
    let waiting = router.submit_and_miss(2, 0, 12);
    router.handle(Event::ClientLeft(RequestId(2)));
    assert_eq!(router.advance(1_000 * MS, &waiting), []);
}

#[test]
fn hedge_that_ends_during_the_fetch_does_not_lose_the_request() {
    // The end of the hedged attempt was ignored once the fetch had failed, and the request was never answered.
    let mut router = TestRouter::new(Settings { hedged_requests: true, max_attempts: 3, ..settings() }, 1, 3);
    let sent = router.submit(request(1, 0, 7));
    assert_eq!(
        forwarded_to(&router.advance(250 * MS, &sent)).len(),
        1,
        "hedged at half the latency objective"
    );
    assert_eq!(forwarded_to(&router.end_attempt(1, 0, Outcome::Miss)), [ORIGIN]);
    assert_eq!(
        count_final_answers(&router.end_attempt(1, 2, Outcome::Error)),
        0,
        "the hedged attempt may still answer"
    );
    assert_eq!(count_final_answers(&router.end_attempt(1, 1, Outcome::Timeout)), 1);
}

#[test]
fn without_hedging_no_two_attempts_are_outstanding() {
    let mut router = TestRouter::new(settings(), 1, 3);
    let sent = router.submit(request(1, 0, 7));
    assert!(
        matches!(sent[..], [Action::Forward { timeout_us: 1.., .. }]),
        "the attempt is cut short instead: {sent:?}"
    );
    assert_eq!(forwarded_to(&router.end_attempt_after(1, 0, Outcome::Timeout, 250 * MS)).len(), 1);
}

fn write_request(id: u64, class: u8) -> Request {
    Request { write: true, ..request(id, class, 7) }
}

#[test]
fn write_goes_to_the_origin_at_once_but_takes_a_permit() {
    let mut router = TestRouter::new(settings(), 1, 3);
    assert_eq!(forwarded_to(&router.submit(write_request(1, 2))), [ORIGIN]);
    assert_eq!(forwarded_to(&router.submit(write_request(2, 2))), [ORIGIN]);
    assert_eq!(forwarded_to(&router.submit_and_miss(3, 0, 9)), [0; 0], "a fetch waits behind the writes");
}

#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset] {
        let mut router = TestRouter::new(settings(), 1, 3);
        router.submit(write_request(1, 2));
        let end = router.end_attempt(1, 0, outcome);
        assert!(
            is_failed(&end) && !is_rejected(&end) && forwarded_to(&end).is_empty(),
            "{outcome:?}: {end:?}"
        );
    }
}

#[test]
fn non_idempotent_request_that_never_ran_is_retried() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut router = TestRouter::new(settings(), 1, 3);
        router.submit(write_request(1, 2));
        let wait = router.end_attempt(1, 0, outcome);
        assert_eq!(forwarded_to(&router.advance(400 * MS, &wait)), [ORIGIN], "{outcome:?}");
        assert!(
            is_failed(&router.end_attempt(1, 1, Outcome::Error)),
            "but not after an attempt that may have run"
        );
    }
}

#[test]
fn retry_with_idempotency_key_stays_inside_its_span() {
    let mut router = TestRouter::new(settings(), 1, 3);
    router.submit(write_request(1, 1));
    router.now += 50 * MS;
    let wait = router.end_attempt(1, 0, Outcome::Error);
    assert_eq!(forwarded_to(&router.advance(100 * MS, &wait)), [ORIGIN], "retried within 400 ms");

    let mut router = TestRouter::new(settings(), 1, 3);
    router.submit(write_request(1, 1));
    router.now += 399 * MS;
    let mut end = router.end_attempt(1, 0, Outcome::Error);
    end.extend(router.advance(100 * MS, &end.clone()));
    assert!(
        forwarded_to(&end).is_empty() && is_rejected(&end),
        "not retried later, but rejected, as all endpoints drop repeats: {end:?}"
    );
}

#[test]
fn zone_scoped_request_that_may_have_run_is_not_rejected() {
    let mut router = TestRouter::new(settings(), 1, 3);
    router.submit(write_request(1, 4));
    router.now += 450 * MS;
    assert!(is_failed(&router.end_attempt(1, 0, Outcome::Error)));
}

#[test]
fn retry_with_zone_scoped_key_stays_inside_its_zone() {
    // In read-through mode writes go to cache endpoints. Each zone has two of them.
    let through = Settings { mode: Mode::ReadThrough, ..settings() };
    for seed in 0..20 {
        let mut router = TestRouter::new(through.clone(), seed, 0);
        let zoned = (1..=6).map(|id| EndpointEntry { zone: ZoneId((id % 3) as u8), ..entry(id) });
        router.apply_list(ListKind::Full, zoned.collect());
        let first = router.endpoint_for(Request { key: Some(Key(seed)), ..request(1, 4, 7) }).unwrap();
        for again in forwarded_to(&router.end_attempt(1, 0, Outcome::Error)) {
            assert_eq!(again % 3, first % 3);
        }
    }
}

/// Guards against a second execution after a rejection that was meant for an earlier request on the same connection.
#[test]
fn doubtful_rejection_does_not_prove_that_request_never_ran() {
    let mut router = TestRouter::new(settings(), 1, 3);
    router.submit(write_request(1, 2));
    assert!(is_failed(&router.end_attempt_in_doubt(1, 0, Outcome::Rejected)), "not to be executed twice");

    let through = Settings { mode: Mode::ReadThrough, ..settings() };
    for seed in 0..20 {
        let mut router = TestRouter::new(through.clone(), seed, 0);
        let zoned = (1..=6).map(|id| EndpointEntry { zone: ZoneId((id % 3) as u8), ..entry(id) });
        router.apply_list(ListKind::Full, zoned.collect());
        let first = router.endpoint_for(Request { key: Some(Key(seed)), ..request(1, 4, 7) }).unwrap();
        for again in forwarded_to(&router.end_attempt_in_doubt(1, 0, Outcome::Rejected)) {
            assert_eq!(again % 3, first % 3, "its key is known only in the zone");
        }
    }
}

#[test]
fn retry_budget_bounds_retries() {
    let mut router = TestRouter::new(settings(), 1, 5);
    let retries: usize = (1..=200)
        .map(|id| {
            router.submit(request(id, 0, id));
            forwarded_to(&router.end_attempt(id, 0, Outcome::Rejected)).len()
        })
        .sum();
    assert!((10..=60).contains(&retries), "ten saved and a quarter of 200: {retries}");
}

#[test]
fn attempt_is_cut_short_only_with_a_reserved_retry() {
    // More attempts were cut short than the budget had retries for, and the requests without a retry were rejected.
    let mut router = TestRouter::new(settings(), 1, 40);
    let cut: Vec<u64> = (1..=30)
        .filter(|&id| {
            matches!(router.submit(request(id, 0, id))[..], [Action::Forward { timeout_us: 1.., .. }])
        })
        .collect();
    assert!((5..=15).contains(&cut.len()), "only as many as the budget holds: {cut:?}");
    for id in 31..=60 {
        router.submit(request(id, 0, id));
        router.end_attempt(id, 0, Outcome::Rejected); // spends the budget for retries of failed attempts
    }
    for id in cut {
        assert_eq!(
            forwarded_to(&router.end_attempt_after(id, 0, Outcome::Timeout, 250 * MS)).len(),
            1,
            "{id}"
        );
    }
}

/// Submits reads of the keys from `from` on until one is sent to `endpoint`. Returns that request's id, which is also
/// its key; its attempt is outstanding.
fn submit_until_sent_to(router: &mut TestRouter, endpoint: u64, from: u64) -> u64 {
    (from..from + 100)
        .find(|&id| {
            router.endpoint_for(request(id, 0, id)) == Some(endpoint) || {
                router.end_attempt(id, 0, Outcome::Ok);
                false
            }
        })
        .unwrap()
}

#[test]
fn only_an_attempt_that_looks_lost_is_cut_short() {
    // Attempts were cut short at endpoints that were only slow, which is the usual cause of a late answer.
    for overtaken in [true, false] {
        let mut router = TestRouter::new(Settings { may_cancel: true, ..settings() }, 1, 3);
        let earlier = submit_until_sent_to(&mut router, 1, 1_000);
        router.now += MS;
        let sent = router.submit(request(1, 0, earlier)); // the same key, so the same endpoint
        assert_eq!(forwarded_to(&sent), [1]);
        router.now += MS;
        router.end_attempt(earlier, 0, Outcome::Ok); // answers arrive in order
        if overtaken {
            for from in [2_000, 3_000] {
                let later = submit_until_sent_to(&mut router, 1, from);
                router.end_attempt(later, 0, Outcome::Ok);
            }
        }
        let after = router.advance(250 * MS, &sent);
        let cut = after.contains(&Action::Cancel { id: RequestId(1), attempt: 0 });
        assert_eq!(cut, overtaken, "{after:?}");
        if cut {
            let other = forwarded_to(&router.end_attempt(1, 0, Outcome::Cancelled));
            assert!(other.len() == 1 && other[0] != 1, "the retry goes to another endpoint: {other:?}");
        } else {
            assert!(
                matches!(after[..], [Action::Timer { .. }]),
                "the attempt is checked again later: {after:?}"
            );
        }
    }
}

#[test]
fn failed_fetch_is_retried_with_a_new_permit() {
    for outcome in [Outcome::Error, Outcome::Reset] {
        let mut router = TestRouter::new(settings(), 1, 3);
        assert_eq!(forwarded_to(&router.submit_and_miss(1, 0, 7)), [ORIGIN]);
        router.now += 400 * MS; // permits are free again
        assert_eq!(forwarded_to(&router.end_attempt(1, 1, outcome)), [ORIGIN]);
        assert_eq!(
            count_final_answers(&router.end_attempt(1, 2, Outcome::Timeout)),
            1,
            "a fetch that timed out is not retried"
        );
    }
}

#[test]
fn low_priority_fetch_may_wait_for_one_tick() {
    let fetch = |tick_us| {
        let mut router = TestRouter::new(Settings { tick_us, ..settings() }, 1, 3);
        router.submit_and_miss(1, 0, 11);
        is_rejected(&router.submit_and_miss(2, 3, 12))
    };
    assert!(fetch(5 * MS) && !fetch(200 * MS), "the second permit is some 100 ms away");
}

#[test]
fn endpoint_that_fails_intermittently_is_soon_ejected_again() {
    let mut router = TestRouter::new(settings(), 1, 4);
    let mut keys = Vec::new(); // of endpoint 1; none is read often enough to be spread
    while keys.len() < 20 {
        keys.push(submit_until_sent_to(&mut router, 1, 1_000 + 100 * keys.len() as u64));
        router.end_attempt(keys[keys.len() - 1], 0, Outcome::Ok);
    }
    let mut id = 0;
    let mut read = |router: &mut TestRouter, outcome| {
        id += 1;
        let endpoint = router.endpoint_for(request(id, 0, keys[id as usize])).unwrap();
        router.end_attempt(id, 0, if endpoint == 1 { outcome } else { Outcome::Ok });
        router.end_attempt(id, 1, Outcome::Ok);
        endpoint
    };
    while read(&mut router, Outcome::Timeout) == 1 {}
    router.now += 2_000 * MS;
    assert_eq!(read(&mut router, Outcome::Ok), 1, "on trial");
    let reads_until_ejection = (0..).take_while(|_| read(&mut router, Outcome::Timeout) == 1).count();
    assert_eq!(reads_until_ejection, 2, "one successful trial does not clear its failures");
}

/// Submits 200 reads of keys of endpoint 1, one after the other. Every `nth` request, if sent there, ends with
/// `outcome`. Returns the number of reads that were sent to endpoint 1.
fn count_reads_at_first_endpoint(nth: u64, outcome: Outcome, stale: bool) -> usize {
    let mut router = TestRouter::new(settings(), 1, 4);
    let mut keys = vec![1_000];
    while keys.len() <= 200 {
        keys.push(submit_until_sent_to(&mut router, 1, keys[keys.len() - 1] + 1));
        router.end_attempt(keys[keys.len() - 1], 0, Outcome::Ok);
        router.now += 50 * MS;
    }
    (1..=200)
        .filter(|&id| {
            let key = keys[id as usize];
            router.now += 50 * MS;
            let endpoint = router.endpoint_for(request(id, 0, key)).unwrap();
            if endpoint == 1 && id % nth == 0 {
                router.end_attempt_with_stale(id, 0, outcome, stale);
                router.end_attempt(id, 1, Outcome::Ok);
            } else {
                router.end_attempt(id, 0, Outcome::Ok);
            }
            endpoint == 1
        })
        .count()
}

#[test]
fn endpoint_is_ejected_only_if_it_answers_few_requests() {
    // Six of twelve endpoints that reset a quarter of their attempts were ejected.
    assert_eq!(count_reads_at_first_endpoint(4, Outcome::Error, false), 200);
    assert_eq!(count_reads_at_first_endpoint(4, Outcome::Reset, false), 200);
    assert!(count_reads_at_first_endpoint(1, Outcome::Error, false) < 100);
    assert_eq!(
        count_reads_at_first_endpoint(1, Outcome::Reset, true),
        200,
        "stale connections are no fault of the endpoint"
    );
}

#[test]
fn request_lost_with_a_stale_connection_is_retried_if_safe() {
    let mut router = TestRouter::new(settings(), 1, 4);
    let first = router.endpoint_for(request(1, 0, 7)).unwrap();
    let again = forwarded_to(&router.end_attempt_with_stale(1, 0, Outcome::Reset, true));
    assert_eq!(again, [first], "the endpoint still holds the value");
    let elsewhere = forwarded_to(&router.end_attempt(1, 1, Outcome::Reset));
    assert!(elsewhere.len() == 1 && elsewhere != [first]);
    router.submit(Request { write: true, ..request(2, 2, 7) });
    assert!(is_failed(&router.end_attempt_with_stale(2, 0, Outcome::Reset, true)), "it may have run");
    router.submit(Request { write: true, ..request(3, 2, 7) });
    let actions = router.end_attempt_with_stale(3, 0, Outcome::ConnectFailed, true);
    assert!(
        count_final_answers(&actions) == 0 && forwarded_to(&router.advance(10 * MS, &actions)).len() == 1,
        "it never ran"
    );
}

#[test]
fn failures_without_load_do_not_use_up_the_retry_budget() {
    let count_retried = |outcome| {
        let mut router = TestRouter::new(settings(), 1, 5);
        let retried = (1..=200).filter(|&id| {
            router.submit(request(id, 0, id));
            let again = !forwarded_to(&router.end_attempt(id, 0, outcome)).is_empty();
            router.end_attempt(id, 1, Outcome::Ok);
            again
        });
        retried.count()
    };
    assert_eq!(count_retried(Outcome::Reset), 200);
    assert!(count_retried(Outcome::Rejected) <= 60);
}

#[test]
fn burst_is_shed_only_while_earlier_reads_are_unanswered() {
    let mut router = TestRouter::new(settings(), 1, 12);
    let burst = |router: &mut TestRouter, from: u64| {
        let submitted = (from..from + 32).map(|id| router.submit(request(id, 0, id)));
        submitted.filter(|actions| is_rejected(actions)).count()
    };
    assert_eq!(burst(&mut router, 1), 0, "nothing is answered yet, but nothing was requested before");
    router.now += 300 * MS;
    assert!(burst(&mut router, 100) > 0, "nothing was answered in time");
    (1..200).for_each(|id| drop(router.end_attempt(id, 0, Outcome::Ok)));
    router.now += 5_000 * MS;
    assert_eq!(burst(&mut router, 200), 0, "after some idle seconds");
}

#[test]
fn every_rejection_reports_its_reason() {
    let reason_label = |actions: Vec<Action>| {
        actions.into_iter().find_map(|action| match action {
            Action::Reject { reason, .. } | Action::Fail { reason, .. } => Some(reason.label()),
            _ => None,
        })
    };
    let mut router = TestRouter::new(settings(), 1, 0);
    router.apply_list(ListKind::Delta, vec![EndpointEntry { state: EndpointState::Gone, ..entry(ORIGIN) }]);
    assert_eq!(reason_label(router.submit(request(1, 0, 7))), Some("no-server"));
    let mut router = TestRouter::new(Settings { max_attempts: 1, ..settings() }, 1, 3);
    router.submit(request(1, 0, 7));
    assert_eq!(reason_label(router.end_attempt(1, 0, Outcome::Reset)), Some("attempts"));
    router.submit(Request { write: true, ..request(2, 2, 7) });
    assert_eq!(reason_label(router.end_attempt(2, 0, Outcome::Reset)), Some("may-have-run"));
    router.submit(request(3, 0, 7));
    assert_eq!(reason_label(router.end_attempt(3, 0, Outcome::NotSent)), Some("not-sent"));
    let mut router = TestRouter::new(settings(), 1, 5);
    let shed = (1..=500).find_map(|id| reason_label(router.submit(request(id, 0, id))));
    assert_eq!(shed, Some("shed"));
}

#[test]
fn reads_are_shed_when_too_many_are_in_flight() {
    let mut router = TestRouter::new(settings(), 1, 5);
    let shed = (1..=500).filter(|&id| is_rejected(&router.submit(request(id, 0, id)))).count();
    assert!(shed > 300, "500 in flight and none answered: {shed}");
    // After the answers, reads are accepted again.
    for id in 1..=500 {
        router.end_attempt(id, 0, Outcome::Ok);
    }
    assert!(!is_rejected(&router.submit(request(1_000, 0, 1))));
}

#[test]
fn overloaded_endpoint_does_not_block_reads_of_an_idle_one() {
    // Incident i115d1f: a few hot endpoints held most of the reads in flight, and reads for all endpoints were shed.
    let mut router = TestRouter::new(settings(), 1, 5);
    let mut sent_to_idle = 0;
    let idle = router.endpoint_for(request(1, 0, 1)).unwrap();
    router.end_attempt(1, 0, Outcome::Ok);
    for id in 2..600 {
        // Reads at the other endpoints are not answered.
        router.now += MS;
        let to = router.endpoint_for(request(id, 0, id));
        if to == Some(idle) {
            router.end_attempt(id, 0, Outcome::Ok);
            sent_to_idle += 1;
        }
    }
    assert!(sent_to_idle > 60, "reads of its keys are still sent: {sent_to_idle}");
}

#[test]
fn most_urgent_class_is_not_shed_before_a_less_urgent_one() {
    let mut mixed = settings();
    mixed.classes[3] =
        Class { latency_objective_us: 1_000 * MS, priority_weight: 3.0, ..mixed.classes[3].clone() };
    let mut router = TestRouter::new(mixed, 1, 1);
    let mut shed = [0, 0];
    for id in 0..2_000 {
        router.now += MS;
        let kind = (id % 2) as usize;
        shed[kind] += usize::from(is_rejected(&router.submit(request(id, [0, 3][kind], id))));
        if id % 3 == 0 {
            router.end_attempt(id / 3, 0, Outcome::Ok); // a third of the reads is answered
        }
    }
    assert!(
        shed[0] > 100 && shed[0].abs_diff(shed[1]) < shed[0] / 10,
        "shed of the urgent and the less urgent class: {shed:?}"
    );
}

#[test]
fn late_repeated_and_unknown_ids_are_ignored() {
    let mut router = TestRouter::new(settings(), 1, 3);
    assert_eq!(router.end_attempt(77, 0, Outcome::Ok), []);
    assert_eq!(router.handle(Event::ClientLeft(RequestId(77))), []);
    assert_eq!(router.handle(Event::Timer(Token(77))), []);
    assert_eq!(router.handle(Event::FirstByte(RequestId(77))), []);
    router.submit(request(1, 0, 7));
    assert_eq!(router.submit(request(1, 0, 7)), [], "the same id again");
    assert_eq!(router.end_attempt(1, 9, Outcome::Ok), [], "an attempt never made");
    router.end_attempt(1, 0, Outcome::Ok);
    assert_eq!(router.end_attempt(1, 0, Outcome::Ok), []);
}

#[test]
fn started_stream_is_neither_hedged_nor_cancelled() {
    // The module cancelled a stream that had started, and the client got no answer.
    let mut router =
        TestRouter::new(Settings { hedged_requests: true, may_cancel: true, ..settings() }, 1, 3);
    let sent = router.submit(request(1, 0, 7));
    assert_eq!(router.handle(Event::FirstByte(RequestId(1))), []);
    assert_eq!(router.advance(900 * MS, &sent), [], "neither a hedged attempt nor a final answer");
    assert_eq!(router.end_attempt(1, 0, Outcome::Ok), []);
}

#[test]
fn losing_hedge_is_cancelled_if_permitted() {
    let mut router =
        TestRouter::new(Settings { hedged_requests: true, may_cancel: true, ..settings() }, 1, 3);
    let sent = router.submit(request(1, 0, 7));
    router.advance(250 * MS, &sent);
    assert_eq!(router.end_attempt(1, 1, Outcome::Ok), [Action::Cancel { id: RequestId(1), attempt: 0 }]);
    assert_eq!(router.end_attempt(1, 0, Outcome::Cancelled), []);
}

#[test]
fn every_request_is_answered_without_endpoints_or_origin() {
    let mut router = TestRouter { router: decide::policy::Router::new(settings(), 1, 0), now: 0 };
    assert!(is_rejected(&router.submit(request(1, 0, 7))), "no endpoint list yet");
    router.apply_list(ListKind::Full, vec![]);
    assert!(is_rejected(&router.submit(request(2, 0, 7))), "an empty endpoint list");
    router.apply_list(ListKind::Full, vec![entry(1)]);
    assert!(is_rejected(&router.submit_and_miss(3, 0, 7)), "no origin for the fetch");
    assert!(is_rejected(&router.submit(write_request(4, 2))), "no origin for the write");
}

#[test]
fn fetch_rate_rises_with_good_fetches_and_falls_with_failed() {
    // Counts the fetches that a steady flow of misses sends after 3 s in which each fetch ends with `outcome`.
    let count_fetches = |outcome: Option<Outcome>| {
        let mut router = TestRouter::new(Settings { balancers: 4, ..settings() }, 1, 4);
        let mut count = 0;
        router.submit(request(0, 0, 1)); // weight 3: next to it, fetches of weight 1 do not wait for permits
        for id in 1..=600 {
            router.now += 10 * MS;
            let after = router.submit_and_miss(id, 3, 1_000 + id);
            let out = forwarded_to(&after).len();
            count += if id > 300 { out } else { 0 };
            if out > 0 {
                if let Some(outcome) = outcome {
                    router.end_attempt_after(id, 1, outcome, 5 * MS);
                }
            } else {
                router.handle(Event::ClientLeft(RequestId(id)));
            }
        }
        count
    };
    let (good, none, bad) =
        (count_fetches(Some(Outcome::Ok)), count_fetches(None), count_fetches(Some(Outcome::Error)));
    assert!(good > 2 * none, "good {good}, no outcomes {none}");
    assert!(2 * bad < none, "failing {bad}, no outcomes {none}: rejections by the limiter cut nothing");
}

#[test]
fn single_bad_fetch_does_not_cut_the_rate() {
    // Any bad fetch brought the smoothed share of bad outcomes above its limit, however long ago the last one was.
    let wait_after = |last: Outcome| {
        let mut router = TestRouter::new(settings(), 1, 4);
        for (id, outcome) in
            [(1, Outcome::Error), (2, Outcome::Ok), (3, Outcome::Ok), (4, Outcome::Ok), (5, last)]
        {
            router.now += 1_000 * MS;
            assert_eq!(forwarded_to(&router.submit_and_miss(id, 0, 100 + id)), [ORIGIN]);
            router.end_attempt(id, 1, outcome);
        }
        // The next permit costs its interval at the new rate, which delays the caller after it.
        router.now += 1_000 * MS;
        assert_eq!(forwarded_to(&router.submit_and_miss(6, 0, 106)), [ORIGIN]);
        match router.submit_and_miss(7, 0, 107)[..] {
            [Action::Timer { delay_us, .. }] => delay_us,
            ref other => panic!("expected one timer for the next permit: {other:?}"),
        }
    };
    assert_eq!(wait_after(Outcome::Error), wait_after(Outcome::Ok));
}

#[test]
fn idle_origin_connections_close_only_after_repeated_errors() {
    // After one late fetch, each of the next ten opened a new connection: half of all connections.
    let mut router = TestRouter::new(settings(), 1, 3);
    let mut closes_idle = |id: u64, outcome| {
        router.now += 500 * MS;
        router.submit(request(id, 0, 100 + id));
        assert_eq!(forwarded_to(&router.end_attempt(id, 0, Outcome::Miss)), [ORIGIN]);
        router.end_attempt(id, 1, outcome).iter().any(|a| matches!(a, Action::CloseIdle(EndpointId(ORIGIN))))
    };
    assert!(!closes_idle(1, Outcome::Error) && !closes_idle(2, Outcome::Ok), "one bad fetch closes nothing");
    assert!(
        closes_idle(3, Outcome::Error) && closes_idle(4, Outcome::Error),
        "several bad fetches in a row close them"
    );
}

#[test]
fn fetch_delayed_by_a_slow_cache_node_does_not_cut_the_rate() {
    // Every answer of the origin comes after the latency objective, because of a late miss or of a slow fetch.
    let wait_after = |miss_ms: u64, fetch_ms: u64| {
        let mut router = TestRouter::new(Settings { balancers: 100, ..settings() }, 1, 60);
        for id in 0..40 {
            router.submit(request(id, 0, 1_000 + id));
            router.now += miss_ms * MS;
            router.end_attempt(id, 0, Outcome::Miss);
            router.now += fetch_ms * MS;
            router.end_attempt_after(id, 1, Outcome::Ok, fetch_ms * MS);
            router.now += 500 * MS;
        }
        router.submit_and_miss(100, 0, 2_000);
        let next = router.submit_and_miss(101, 0, 2_001);
        next.iter().find_map(|a| match a {
            Action::Timer { delay_us, token: Token(101) } => Some(*delay_us),
            _ => None,
        })
    };
    let (late_miss, slow_fetch) = (wait_after(498, 5), wait_after(5, 520));
    let late_miss = late_miss.expect("the next fetch did not wait for its permit");
    assert!(slow_fetch.is_none_or(|wait| wait > 2 * late_miss), "{late_miss} {slow_fetch:?}");
}
