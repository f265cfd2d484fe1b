//! The cost of one turn of the event loop for each kind of event, with 200 and with 3,200 endpoints: medians in
//! microseconds.
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

/// Timed runs of each kind of event.
const ROUNDS: usize = 41;
const BALANCERS: usize = 300;
/// Bytes of a read from a watch.
const READ: usize = 16 * 1024;

/// Returns the median time of `work` in microseconds; its input is made by `make` before each timed run.
fn median<T, R>(mut make: impl FnMut() -> T, mut work: impl FnMut(T) -> R) -> f64 {
    let mut times: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let input = make();
            let started = Instant::now();
            let output = black_box(work(input));
            let elapsed = started.elapsed();
            drop(output);
            elapsed.as_secs_f64() * 1e6
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

#[expect(clippy::too_many_lines, reason = "a list of table rows, each with its set-up")]
fn costs(endpoints: usize) -> Vec<(&'static str, f64)> {
    let (first, next) = (read(&line(endpoints, false, false)), read(&line(endpoints, true, false)));
    let (plain, indented) = (line(endpoints, true, false), line(endpoints, true, true));
    let piece = |text: &str| {
        let text = text.as_bytes()[..text.len() - 1].to_vec();
        // The time for all but the last byte, divided by the number of reads.
        let pieces = text.len().div_ceil(READ) as f64;
        let whole =
            median(|| BytesMut::from(&text[..]), |mut buffer| WatchReader::default().next(&mut buffer));
        whole / pieces
    };
    let last_byte = |text: &str| {
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
    let overridden = || {
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
    let published = loads();
    vec![
        ("a piece of 16 KiB of a list, plain", piece(&plain)),
        ("a piece of 16 KiB of a list, indented", piece(&indented)),
        ("the last byte of a whole list, plain", last_byte(&plain)),
        ("the last byte of a whole list, indented", last_byte(&indented)),
        ("orders of staff laid over it", median(overridden, |mut it| it.apply_list(&next))),
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
                |mut it| (it.publish(1_000_000, &published).weight_factors.len(), it),
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
