//! The heartbeat of the thread on a paused clock: a thread that keeps up ages nothing, one that was held up tells for how long.

use gateway::stall_monitor::{CHECK_INTERVAL, StallMonitor, run_stall_monitor};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, advance, sleep};

const HELD_UP: Duration = Duration::from_millis(150);

async fn beating() -> Rc<StallMonitor> {
    let heartbeat = Rc::new(StallMonitor::new(Instant::now()));
    spawn_local(run_stall_monitor(heartbeat.clone()));
    yield_now().await;
    heartbeat
}

#[tokio::test(start_paused = true)]
async fn a_thread_that_keeps_up_is_never_overdue() {
    LocalSet::new()
        .run_until(async {
            let heartbeat = beating().await;
            for _ in 0..1_000 {
                sleep(Duration::from_millis(1)).await;
                assert_eq!(heartbeat.overdue(Instant::now()), Duration::ZERO);
            }
            assert!(heartbeat.take_longest_stall() <= Duration::from_millis(2));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn what_is_read_as_a_hold_up_ends_is_as_old_as_that_but_for_a_beat() {
    LocalSet::new()
        .run_until(async {
            let heartbeat = beating().await;
            advance(HELD_UP).await; // nothing runs meanwhile
            let age = heartbeat.overdue(Instant::now());
            assert!(age >= HELD_UP - CHECK_INTERVAL && age <= HELD_UP, "{age:?}");
            sleep(2 * CHECK_INTERVAL).await;
            assert_eq!(heartbeat.overdue(Instant::now()), Duration::ZERO, "it is over");
            assert!(heartbeat.take_longest_stall() >= HELD_UP - CHECK_INTERVAL);
            assert_eq!(heartbeat.take_longest_stall(), Duration::ZERO, "told once");
        })
        .await;
}
