//! More clients than connection slots: every command is answered in time, and before its connection ends.

mod platform;

use platform::*;
use std::time::{Duration, Instant};

/// Sockets of the process, and its resulting connection slots.
const SOCKETS: u64 = 100;
const SLOTS: usize = 40;
/// Number of clients without a slot.
const CROWD: usize = 60;

fn platform() -> Platform {
    Platform::with_config(1, 1024, |config| config["limits"]["sockets"] = SOCKETS.into())
}

#[test]
fn client_without_slot_is_refused_and_freed_slot_is_reused() {
    let platform = platform();
    let (mut busy, _unanswered) = platform.take_all_slots(SLOTS);
    let [mut first, mut second] = [(); 2].map(|()| platform.balancer.client());
    first.get("leer", "1");
    second.get("leer", "1");
    for client in [&mut first, &mut second] {
        assert!(client.read_answer().starts_with("-BUSY"));
        assert!(client.reads_end());
    }
    busy.pop(); // frees a slot
    let mut next = platform.balancer.client();
    next.send(&["PING"]);
    assert_eq!(next.read_answer(), "+PONG");
    next.get("leer", "1");
    platform.peers[0].next_request().respond_miss(); // served like any other request
}

/// Guards against refusals that delay each other: each client in the backlog waited for a slot after the one before it.
#[test]
fn clients_behind_a_slot_wait_are_refused_without_waiting() {
    const CLIENTS: u32 = 900;
    /// Resolution of a timer.
    const TIMER_RESOLUTION: Duration = Duration::from_millis(1);
    let platform = platform();
    let _busy = platform.take_all_slots(SLOTS);
    let mut crowd: Vec<Client> = (0..CLIENTS).map(|_| platform.balancer.client()).collect();
    crowd.iter_mut().for_each(|client| client.get("leer", "1"));
    let mut first_refused = None;
    for mut client in crowd {
        assert!(client.read_answer().starts_with("-BUSY"));
        first_refused.get_or_insert_with(Instant::now);
    }
    let elapsed = first_refused.unwrap().elapsed();
    assert!(elapsed < CLIENTS * TIMER_RESOLUTION, "{elapsed:?} from the first refusal to the last");
}

/// Guards against requests without an answer: closing the listener resets connections in its backlog, on which requests
/// may already be written. Such a request counts as accepted.
#[test]
fn sigterm_refuses_requests_of_clients_without_slot() {
    let mut platform = platform();
    let (mut busy, _unanswered) = platform.take_all_slots(SLOTS);
    let mut crowd: Vec<Client> = (0..CROWD).map(|_| platform.balancer.client()).collect();
    crowd.iter_mut().for_each(|client| client.get("leer", "1"));
    platform.balancer.wait_for_log("client connections are busy");
    platform.balancer.terminate();
    let signalled = Instant::now();
    for (number, client) in crowd.iter_mut().enumerate() {
        let answer = client.read_answer();
        assert!(
            answer.starts_with("-BUSY"),
            "client {number} of the crowd: {answer:?}, {:?} after SIGTERM",
            signalled.elapsed()
        );
        assert!(client.reads_end());
    }
    for client in &mut busy {
        assert!(client.read_answer().starts_with('-'), "its fetch hangs");
    }
    assert!(platform.balancer.wait_for_exit().success());
}
