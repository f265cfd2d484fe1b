//! Clients that leave with requests unread or unanswered, and requests that come again under the same id.

mod platform;
use platform::*;
use rstest::rstest;
use std::net::Shutdown;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// As many as fit into the receive buffer of a connection: the end of a connection cannot be seen before it arrives.
const COMMANDS: usize = 1_000;
/// How long after the end of a connection attempts for its client may begin.
const GRACE: Duration = Duration::from_millis(100);
const VALUE: &str = "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";

/// How a client ends its connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Departure {
    Close,
    Reset,
    /// It ends its sending, and stays.
    HalfClose,
}

impl Departure {
    /// Ends the client's connection. Returns what must stay open.
    fn carry_out(self, mut client: Client) -> Option<Client> {
        match self {
            Self::Close => None,
            Self::Reset => {
                client.reset_on_close();
                None
            }
            Self::HalfClose => {
                client.shutdown(Shutdown::Write);
                Some(client)
            }
        }
    }
}

/// Guards against attempts for a client that has left: commands were read and forwarded one buffer after the other until
/// the end of the connection, which lies behind them.
#[rstest]
fn unread_commands_of_departed_client_are_not_forwarded(
    #[values(Departure::Close, Departure::Reset, Departure::HalfClose)] departure: Departure,
) {
    let mut platform = Platform::start(1);
    let peer = platform.peers.remove(0);
    let (arrivals, arrived) = channel();
    thread::spawn(move || {
        while let Some(request) = peer.next_request_within(WAIT_TIMEOUT) {
            let _ = arrivals.send(Instant::now());
            thread::park_timeout(Duration::from_micros(500));
            request.respond(VALUE);
        }
    });
    let mut client = platform.balancer.client();
    client.write_raw(&(0..COMMANDS).flat_map(|n| read_command(&format!("{n:x}"))).collect::<Vec<u8>>());
    (0..10).for_each(|_| assert!(arrived.recv_timeout(WAIT_TIMEOUT).is_ok()));
    let left_at = Instant::now();
    let _kept = departure.carry_out(client);
    let mut latest = left_at;
    while let Ok(at) = arrived.recv_timeout(5 * GRACE) {
        latest = latest.max(at);
    }
    let after = latest.saturating_duration_since(left_at);
    assert!(after < GRACE, "an attempt began {after:?} after its client had left");
}

/// What has become of a write when its client leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteState {
    /// The origin has it, and has not answered.
    Unanswered,
    /// It was answered, and the client has left without reading the answer.
    Answered,
}

/// Guards against writes that run twice: the id of a request was free as soon as its client had left or was answered, and
/// a client may send a request once more whose connection has ended.
#[rstest]
fn write_that_comes_again_after_its_client_left_does_not_run_twice(
    #[values("folio", "alta")] class: &str,
    #[values(WriteState::Unanswered, WriteState::Answered)] state: WriteState,
    #[values(Departure::Close, Departure::Reset, Departure::HalfClose)] departure: Departure,
) {
    let platform = Platform::with_admin_endpoint(1);
    let command =
        encode_command(&["CACHE.SET", "7f", "a1", &format!("c={class},t=acme,d=60000,k=5c0f"), "solicitud"]);
    let mut client = platform.balancer.client();
    client.write_raw(&command);
    let request = platform.origin.next_request();
    let mut unanswered = None;
    match state {
        WriteState::Unanswered => unanswered = Some(request),
        WriteState::Answered => {
            request.respond_http("200 OK", "recibo");
            wait_until(|| platform.metric(&format!("served.{class}")) == 1);
        }
    }
    let _kept = departure.carry_out(client);
    if unanswered.is_some() {
        wait_until(|| platform.metric("in_flight") == 0);
    }
    let mut again = platform.balancer.client();
    again.write_raw(&command);
    assert_eq!(again.read_answer(), "-ERR a request with this id is open");
    assert!(platform.origin.has_no_more_requests(), "the write has not run a second time");
}

/// A write that never ran may come again under its id.
#[test]
fn write_that_never_ran_may_come_again() {
    let platform = Platform::start(1);
    let command = encode_command(&["CACHE.SET", "7f", "a1", "c=folio,t=acme,d=1000,k=5c0f", "solicitud"]);
    let mut client = platform.balancer.client();
    for _ in 0..2 {
        client.write_raw(&command);
        platform
            .origin
            .next_request()
            .respond("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
        while let Some(request) = platform.origin.next_request_within(GRACE) {
            request
                .respond("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
        }
        let answer = client.read_answer();
        assert!(answer.starts_with("-BUSY"), "{answer}");
    }
}

/// Guards against the same write running twice because the client comes again at the process that has taken over.
#[test]
fn write_that_comes_again_at_other_process_does_not_run_twice() {
    let env = ProcessEnv::with_socket();
    let platform = Platform::with_inherited_socket(&env, |config| config["operator"] = "127.0.0.1:0".into());
    let command = encode_command(&["CACHE.SET", "7f", "a1", "c=folio,t=acme,d=60000,k=5c0f", "solicitud"]);
    let mut client = env.client();
    client.write_raw(&command);
    let _unanswered = platform.origin.next_request();
    let new = Balancer::start_in(&env, &platform.config);
    new.wait_for_log("accepting from the inherited socket");
    platform.balancer.terminate();
    platform.balancer.wait_for_log("another process serves");
    drop(client);
    wait_until(|| platform.metric("in_flight") == 0);
    let mut again = env.client();
    again.write_raw(&command);
    let second_run = platform.origin.next_request_within(Duration::from_secs(1));
    assert!(second_run.is_none(), "the write has run a second time, at the other process");
}
