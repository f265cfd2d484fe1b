//! What one turn of the thread costs for each kind of event, at 200 and at 3,200 endpoints: medians, in microseconds.
//! `cargo bench -p spindlebeam --bench turns`; docs/design/thread-work.md has the table.

use bytes::BytesMut;
use decide::api::{
    Class, ClassId, Effect, Event, Key, ListKind, Mode, Request, RequestId, Settings, TenantId,
};
use decide::policy::Router;
use gossip::GossipState;
use maintenance::{OperatorOverrides, OverriddenList};
use proto::discovery::{EndpointList, WatchLine, WatchReader};
use std::hint::black_box;
use std::time::Instant;
use upstream::endpoints::EndpointSet;
use upstream::setup::Names;

const ROUNDS: usize = 41;
const BALANCERS: usize = 300;
const READ: usize = 16 * 1024;

/// The median of rounds, in microseconds, each of which gets what it needs made before it is timed.
fn median<T, R>(mut make: impl FnMut() -> T, mut work: impl FnMut(T) -> R) -> f64 {
    let mut times: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let made = make();
            let begun = Instant::now();
            let kept = black_box(work(made));
            let took = begun.elapsed();
            drop(kept);
            took.as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

fn line(endpoints: usize, draining: bool, indented: bool) -> String {
    let phase = |number: usize| if draining && number.is_multiple_of(4) { "draining" } else { "ready" };
    let member = |number: usize| {
        serde_json::json!({"id": format!("s-{number:08x}"), "host_port": "127.0.0.1:6379", "locality": "a",
            "flavor": "m", "cell": 0, "phase": phase(number), "size": 1.0, "up_since_ms": 0})
    };
    let list = serde_json::json!({"revision": 7, "complete": true, "members": (0..endpoints).map(member).collect::<Vec<_>>()});
    if indented { format!("{list:#}\n") } else { format!("{list}\n") }
}

fn read(text: &str) -> EndpointList {
    match WatchReader::default().next(&mut BytesMut::from(text.as_bytes())) {
        Ok(Some(WatchLine::Update(list))) => list,
        other => unreachable!("{other:?}"),
    }
}

fn settings() -> Settings {
    let class = Class {
        latency_objective_us: 500_000,
        deadline_us: 1_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
        effect: Effect::Idempotent,
    };
    let settings = Settings {
        classes: vec![class],
        mode: Mode::CacheAside,
        origin_kind: Some(1),
        ..Settings::default()
    };
    Settings { balancers: BALANCERS as u32, hedged_requests: false, ..settings }
}

fn router(list: &EndpointList) -> Router {
    let (mut router, mut out) = (Router::new(settings(), 1, 1), Vec::new());
    router.handle(1, Event::EndpointList(ListKind::Full, entries(list)), &mut out);
    router
}

fn entries(list: &EndpointList) -> Vec<decide::api::EndpointEntry> {
    let names =
        Names { kinds: vec!["m".into(), "origin".into()], zones: vec!["a".into()], ..Names::default() };
    EndpointSet::new(names, Some(1)).apply(list, false).1
}

fn request(id: u64) -> Event {
    let (class, tenant, key) = (ClassId(0), TenantId(0), Some(Key(id.wrapping_mul(0x9e37_79b9_7f4a_7c15))));
    Event::Request(Request { id: RequestId(id), class, tenant, key, write: false, remaining_us: 900_000 })
}

#[expect(clippy::too_many_lines, reason = "one row of the table after the other, each with its set-up")]
fn costs(endpoints: usize) -> Vec<(&'static str, f64)> {
    let (first, next) = (read(&line(endpoints, false, false)), read(&line(endpoints, true, false)));
    let (plain, indented) = (line(endpoints, true, false), line(endpoints, true, true));
    let scanned = |text: &str| {
        let text = text.as_bytes()[..text.len() - 1].to_vec();
        // All but the last byte, and of that the time for a piece as it is read.
        let pieces = text.len().div_ceil(READ) as f64;
        let whole =
            median(|| BytesMut::from(&text[..]), |mut buffer| WatchReader::default().next(&mut buffer));
        whole / pieces
    };
    let ended = |text: &str| {
        let almost = || {
            let (mut reader, mut buffer) =
                (WatchReader::default(), BytesMut::from(&text.as_bytes()[..text.len() - 1]));
            let _ = reader.next(&mut buffer);
            buffer.extend_from_slice(b"\n");
            (reader, buffer)
        };
        median(almost, |(mut reader, mut buffer)| reader.next(&mut buffer))
    };
    let mut out = Vec::new();
    let mut id = 0;
    let mut known = router(&first);
    let names = || Names { kinds: vec!["m".into()], zones: vec!["a".into()], ..Names::default() };
    let group = || {
        let mut group = EndpointSet::new(names(), Some(1));
        group.apply(&first, false);
        group
    };
    let laid = || {
        let mut maintenance = OverriddenList::new(None, OperatorOverrides::default());
        let _ = maintenance.apply_list(&first);
        maintenance
    };
    let loads = || {
        let mut out = Vec::new();
        let mut router = router(&first);
        router.handle(1_000_000, Event::PublishLoad, &mut out);
        match out.pop() {
            Some(decide::api::Action::PublishLoad(loads)) => loads,
            other => unreachable!("{other:?}"),
        }
    };
    let told = loads();
    vec![
        ("a piece of 16 KiB of a list, plain", scanned(&plain)),
        ("a piece of 16 KiB of a list, indented", scanned(&indented)),
        ("the last byte of a whole list, plain", ended(&plain)),
        ("the last byte of a whole list, indented", ended(&indented)),
        ("orders of staff laid over it", median(laid, |mut it| it.apply_list(&next))),
        ("the endpoint set", median(group, |mut it| it.apply(&next, false))),
        (
            "the module, a whole list",
            median(
                || (router(&first), entries(&next)),
                |(mut it, entries)| {
                    it.handle(2, Event::EndpointList(ListKind::Full, entries), &mut out);
                    out.clear();
                    it
                },
            ),
        ),
        (
            "the module, a first list",
            median(
                || (Router::new(settings(), 1, 1), entries(&first)),
                |(mut it, entries)| {
                    let mut out = Vec::new();
                    it.handle(2, Event::EndpointList(ListKind::Full, entries), &mut out);
                    it
                },
            ),
        ),
        (
            "a request for a new key",
            median(
                || (),
                |()| {
                    id += 1;
                    let mut out = Vec::new();
                    known.handle(1_000 + id, request(id), &mut out);
                },
            ),
        ),
        (
            "a tick of gossip, the module's part",
            median(
                || router(&first),
                |mut it| {
                    let mut out = Vec::new();
                    it.handle(1_000_000, Event::PublishLoad, &mut out);
                    it
                },
            ),
        ),
        (
            "a tick of gossip, the sum of what was heard",
            median(
                || GossipState::new(0, BALANCERS, 1),
                |mut it| (it.publish(1_000_000, &told).weight_factors.len(), it),
            ),
        ),
    ]
}

fn main() {
    let (usual, large) = (costs(200), costs(3_200));
    println!("{:<46} {:>10} {:>10}", "microseconds", "200", "3,200");
    for ((what, usual), (_, large)) in usual.iter().zip(&large) {
        println!("{what:<46} {usual:>10.1} {large:>10.1}");
    }
}
