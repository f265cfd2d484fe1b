//! The graceful shutdown: its steps and their times, from SIGTERM until the process ends.
//!
//! The platform ends the process after the longest deadline (counted as [`COUNTED_DEADLINE`] if it is longer) plus
//! 0.7 s.

use super::parts::Parts;
use front::shutdown::FINAL_WRITE_PERIOD;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Upper limit of the deadline that the platform counts.
const COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Every request is answered within this time after the counted deadline; [`FINAL_WRITE_PERIOD`] is left for writing
/// the answer.
const LAST_ANSWER: Duration = Duration::from_millis(500);
/// A process that another one has replaced exits by itself this long after the counted deadline if the platform has not ended it before.
const LATEST_EXIT: Duration = Duration::from_millis(1_900);
/// New connections are accepted for this long after SIGTERM.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// If another process serves, idle connections are closed this long after SIGTERM: by then most of them have sent
/// another request, and were closed after its answer.
const IDLE_AT_REPLACEMENT: Duration = Duration::from_millis(1_500);

/// Answers every accepted request, closes all client connections once their answers are written, and returns when the
/// process may exit.
pub(super) async fn shut_down(parts: Parts) {
    let now = Instant::now();
    // The platform counts from when it sent the signal, which may have come while the event loop stalled.
    let signalled_at = now.checked_sub(parts.handle.stall_monitor.overdue(now)).unwrap_or(now);
    let deadline = signalled_at + parts.longest_deadline.min(COUNTED_DEADLINE) + LAST_ANSWER;
    let replaced = match parts.serving_file {
        Some(file) => file.names_another_process().await,
        None => false,
    };
    if replaced {
        log::info!("shutdown: another process serves; accepting no more");
        let _ = parts.stop_accepting.send(());
        parts.front.terminate(IDLE_AT_REPLACEMENT, deadline);
    } else {
        parts.front.announce_end();
        sleep(ACCEPT_AFTER_SIGTERM).await;
        parts.front.terminate(Duration::ZERO, deadline);
        let _ = parts.stop_accepting.send(());
        let _ = parts.accepting.await;
    }
    if timeout_at(deadline + FINAL_WRITE_PERIOD, parts.front.wait_until_empty()).await.is_err() {
        // Every request is answered by now, but answers may still be on their way: a server may still give a large value,
        // or a client may read slowly. Ending the process would cut them off. Each ends within the timeouts of its
        // connections, and the platform ends the process when it wants to.
        log::info!("shutdown: answers are still being written; waiting for them");
        parts.front.wait_until_empty().await;
    }
    log::info!("{}: done", parts.name);
    if replaced {
        // When a process exits by itself, the platform books all that it used in its lifetime in that second, and then
        // throttles the other process. This process holds nothing any more, so it waits to be ended.
        sleep_until(signalled_at + parts.longest_deadline.max(COUNTED_DEADLINE) + LATEST_EXIT).await;
    }
}
