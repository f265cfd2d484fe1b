//! The timers of the engine.

mod support;

use gateway::Answer;
use gateway::engine::testing::SteppedEngine;
use support::{config, submit};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn answered_requests_leave_no_timers_behind() {
    let (mut engine, handle) = SteppedEngine::new(&config(None));
    for n in 0..1_000 {
        let ticket = submit(&handle, n, &format!("{n:x}"), Instant::now());
        engine.handle_next_input().await;
        assert!(matches!(ticket.await, Answer::Rejected(0)), "rejected because there is no endpoint");
    }
    assert_eq!(engine.timer_count(), 0, "timers of answered requests are cancelled, not kept for a minute");
    let counters = engine.counters();
    assert!(counters.starts_with("0 served, 1000 rejected (no-server 1000), 0 failed"), "{counters}");
}
