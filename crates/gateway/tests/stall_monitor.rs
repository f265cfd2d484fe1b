//! The stall monitor on a paused clock: an event loop that keeps up is never overdue, and a stall shows how long it
//! was.

use gateway::stall_monitor::{CHECK_INTERVAL, StallMonitor, run_stall_monitor};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, advance, sleep};

const STALL: Duration = Duration::from_millis(150);

async fn start_monitor() -> Rc<StallMonitor> {
    let monitor = Rc::new(StallMonitor::new(Instant::now()));
    spawn_local(run_stall_monitor(monitor.clone()));
    yield_now().await;
    monitor
}

#[tokio::test(start_paused = true)]
async fn event_loop_that_keeps_up_is_never_overdue() {
    LocalSet::new()
        .run_until(async {
            let monitor = start_monitor().await;
            for _ in 0..1_000 {
                sleep(Duration::from_millis(1)).await;
                assert_eq!(monitor.overdue(Instant::now()), Duration::ZERO);
            }
            assert!(monitor.take_longest_stall() <= Duration::from_millis(2));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn overdue_time_after_stall_is_its_length_within_one_interval() {
    LocalSet::new()
        .run_until(async {
            let monitor = start_monitor().await;
            advance(STALL).await; // no task runs meanwhile
            let overdue = monitor.overdue(Instant::now());
            assert!(overdue >= STALL - CHECK_INTERVAL && overdue <= STALL, "{overdue:?}");
            sleep(2 * CHECK_INTERVAL).await;
            assert_eq!(monitor.overdue(Instant::now()), Duration::ZERO, "the stall is over");
            assert!(monitor.take_longest_stall() >= STALL - CHECK_INTERVAL);
            assert_eq!(monitor.take_longest_stall(), Duration::ZERO, "the longest stall is reset when taken");
        })
        .await;
}
