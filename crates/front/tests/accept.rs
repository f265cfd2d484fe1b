//! The wait of new connections for a slot, and the time they have spent in the accept queue. No test waits in real
//! time.

use front::accept::{AcceptQueue, slot_wait};
use std::time::Duration;
use tokio::time::Instant;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn slot_wait_is_quarter_of_shortest_deadline_up_to_500_ms() {
    for (shortest, wait) in [(0, 0), (80, 20), (400, 100), (2_000, 500), (60_000, 500)] {
        assert_eq!(slot_wait(ms(shortest)), ms(wait), "{shortest} ms");
    }
}

#[test]
fn slot_wait_includes_time_in_accept_queue() {
    let start = Instant::now();
    let mut queue = AcceptQueue::empty(start);
    assert_eq!(queue.remaining_wait(start, ms(100)), ms(100));
    assert_eq!(
        queue.remaining_wait(start + ms(60), ms(100)),
        ms(40),
        "a connection queued after another one"
    );
    assert_eq!(queue.remaining_wait(start + ms(300), ms(100)), ms(0), "no time is left");
    assert_eq!(
        queue.waited(start + ms(300)),
        ms(300),
        "the whole wait counts against the deadline of its request"
    );
    queue.record_empty(start + ms(300));
    assert_eq!(queue.waited(start + ms(301)), ms(1));
    assert_eq!(queue.remaining_wait(start + ms(301), ms(100)), ms(99));
}
