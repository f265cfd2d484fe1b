//! The end of client connections: clients that disconnect in any state, and requests that cross a shutdown.

mod platform;
use platform::sockets::is_in_state;
use platform::*;
use rstest::rstest;
use std::net::Shutdown;

/// More commands than may wait for answers on one connection.
const BATCH: usize = 100;
/// Maximum number of commands read on a connection before the first of them is answered.
const READ_AT_MOST: usize = 32;

/// Why the balancer has stopped reading from a client when it disconnects.
enum UnreadClient {
    /// It has sent more commands than may wait.
    Flooded,
    /// It has sent `QUIT` while a request is unanswered.
    Quit,
    /// Its large answer has begun and stalls, and then it writes another request.
    Streaming,
    /// Its large answer stalls while it is read for the client, which has written another request behind.
    Buffering,
}

/// Guards against attempts that outlive their client: the end of the connection lies behind data that the balancer does
/// not read.
#[rstest]
#[case::flooded(UnreadClient::Flooded)]
#[case::quit(UnreadClient::Quit)]
#[case::streams(UnreadClient::Streaming)]
#[case::buffers(UnreadClient::Buffering)]
fn attempts_of_unread_client_are_cancelled_when_it_leaves(#[case] state: UnreadClient) {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    match state {
        UnreadClient::Flooded => {
            client.send_writes("alta", BATCH);
            let unanswered: Vec<PeerRequest> =
                (0..READ_AT_MOST).map(|_| platform.origin.next_request()).collect();
            drop(client);
            (0..READ_AT_MOST)
                .for_each(|_| assert!(platform.origin.next_is_close(), "each attempt is cancelled"));
            drop(unanswered);
            assert!(platform.origin.has_no_more_requests(), "no unread command is forwarded");
        }
        UnreadClient::Quit => {
            client.get("leer", "1");
            client.send(&["QUIT"]);
            let _unanswered = platform.peers[0].next_request();
            drop(client);
            assert!(platform.peers[0].next_is_close());
        }
        UnreadClient::Streaming => {
            client.get_with_id("a1", "leer", "1");
            let mut request = platform.peers[0].next_request();
            request.write_part("*3\r\n$1000000\r\nabc");
            assert_eq!(client.read_line(), "$1000000");
            client.get_with_id("a2", "leer", "1");
            drop(client);
            assert!(platform.peers[0].next_is_close(), "the streamed attempt is cancelled");
            assert!(platform.peers[0].has_no_more_requests(), "the unread request is not forwarded");
        }
        UnreadClient::Buffering => {
            ["a1", "a2"].iter().for_each(|id| client.get_with_id(id, "leer", "1"));
            let mut request = [platform.peers[0].next_request(), platform.peers[0].next_request()];
            let first = request.iter_mut().find(|it| it.words[2] == "a1").unwrap();
            first.write_part("*3\r\n$1000000\r\nabc");
            drop(client);
            assert!(
                platform.peers[0].next_is_close() && platform.peers[0].next_is_close(),
                "both the attempt that is read and the one after it are cancelled"
            );
        }
    }
}

/// Guards against requests without an answer: a process that shut down accepted requests as long as it held
/// connections, and the platform ended it first (after SIGTERM, the longest deadline, counted as at most 3 s, plus 0.7
/// s).
#[rstest]
#[case::short_deadlines(1_300_000, 1_300 + 700)]
#[case::long_deadlines(50_000_000, 3_000 + 700)]
fn accepted_request_is_answered_before_process_is_ended(#[case] deadline_us: u64, #[case] within_ms: u128) {
    let mut platform = Platform::with_config(1, 1024, |config| {
        for class in config["settings"]["profiles"].as_array_mut().unwrap() {
            class["deadlineUs"] = deadline_us.into();
            class["onTimeUs"] = deadline_us.min(1_000_000).into();
        }
    });
    let (mut busy, mut short) = (platform.balancer.client(), platform.balancer.client());
    // Fragile writes whose answers never come: the first occupies its connection, the second fails after 1 s.
    busy.set("folio", "1");
    let _first = platform.origin.next_request();
    platform.balancer.terminate();
    platform.balancer.wait_for_log("shutting down gracefully");
    let signalled = std::time::Instant::now();
    short.send(&["CACHE.SET", "1", "aa", "c=folio,t=acme,d=1000,k=1", "v"]);
    let _second = platform.origin.next_request();
    assert!(short.read_answer().starts_with("-"), "its deadline has passed");
    busy.set("folio", "2");
    assert!(
        busy.read_answer().starts_with("-") && busy.read_answer().starts_with("-"),
        "both requests are answered"
    );
    assert!(busy.reads_end());
    assert!(platform.balancer.wait_for_exit().success());
    let elapsed_ms = signalled.elapsed().as_millis();
    assert!(elapsed_ms <= within_ms, "{elapsed_ms} ms");
}

/// A command arrives while its connection is being closed and an answer is in flight. The command stays unread, and the
/// answer is not lost to a reset.
#[test]
fn command_crossing_close_does_not_reset_answer() {
    let mut platform = Platform::start(1);
    let mut client = platform.balancer.client_with_receive_buffer(4 * 1024);
    client.get("leer", "1");
    let value = "v".repeat(60_000); // more than the client's receive buffer, less than the balancer's send buffer
    platform.peers[0].next_request().respond_value(&value);
    platform.balancer.terminate();
    platform.balancer.wait_for_log("closing");
    client.get("leer", "2");
    assert_eq!(client.read_answer(), value);
    assert!(client.reads_end());
    assert!(
        platform.peers[0].has_no_more_requests(),
        "a command that arrives after the close is not forwarded"
    );
    client.shutdown(Shutdown::Write);
    assert!(platform.balancer.wait_for_exit().success());
}

/// Idle clients send a request at the moment of SIGTERM.
#[test]
fn request_crossing_sigterm_is_answered() {
    let mut platform = Platform::start(1);
    let mut idle: Vec<Client> = (0..8).map(|_| platform.balancer.client()).collect();
    for client in &mut idle {
        client.send(&["PING"]);
        assert_eq!(client.read_answer(), "+PONG");
    }
    // The process sees the signal and the requests at once.
    platform.balancer.while_stopped(|| {
        platform.balancer.terminate();
        idle.iter_mut().for_each(|client| client.get("leer", "1"));
    });
    idle.iter().for_each(|_| platform.peers[0].next_request().respond_value("v"));
    for client in &mut idle {
        assert_eq!((client.read_answer().as_str(), client.reads_end()), ("v", true));
    }
    assert!(platform.balancer.wait_for_exit().success());
}

/// Sends commands and disconnects; returns when the stopped balancer's system has received the end of the connection.
fn send_writes_and_disconnect(platform: &Platform, mut client: Client, count: usize) {
    const CLOSE_WAIT: &str = "08";
    client.send_writes("alta", count);
    let port = client.port();
    drop(client);
    wait_until(|| is_in_state(platform.balancer.addr, port, CLOSE_WAIT));
}

/// The process reads commands and the end of their connection at once.
#[rstest]
fn commands_read_with_disconnect_are_not_forwarded(#[values(1, READ_AT_MOST, BATCH)] count: usize) {
    let platform = Platform::start(1);
    let (mut leaves, mut stays) = (platform.balancer.client(), platform.balancer.client());
    leaves.send(&["PING"]);
    assert_eq!(leaves.read_answer(), "+PONG");
    platform.balancer.while_stopped(|| send_writes_and_disconnect(&platform, leaves, count));
    stays.set("alta", "stays");
    assert_eq!(
        platform.origin.next_request().words.last().unwrap(),
        "stays",
        "no command of the other client is forwarded before it"
    );
    assert!(platform.origin.has_no_more_requests());
}

/// A client connects, sends commands and disconnects while its connection is in the listener's backlog.
#[test]
fn client_gone_before_accept_causes_no_attempt() {
    let platform = Platform::start(1);
    for count in [1, READ_AT_MOST, BATCH] {
        let mut stays = platform.balancer.client();
        platform
            .balancer
            .while_stopped(|| send_writes_and_disconnect(&platform, platform.balancer.client(), count));
        stays.set("alta", "stays");
        assert_eq!(
            platform.origin.next_request().words.last().unwrap(),
            "stays",
            "no command of the other client is forwarded before it"
        );
        assert!(platform.origin.has_no_more_requests(), "{count} commands");
    }
}

/// At SIGTERM more commands have arrived than are read. Those that were read are answered, and the connection is closed
/// without a reset, since a reset because of unread commands would discard answers.
#[test]
fn partly_read_batch_is_answered_without_reset_at_shutdown() {
    let mut platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.send_writes("folio", BATCH);
    let _unanswered: Vec<PeerRequest> = (0..READ_AT_MOST).map(|_| platform.origin.next_request()).collect();
    platform.balancer.terminate();
    let next_line = |client: &mut Client| client.try_read_line().expect("the connection was reset");
    let answers = (0..).take_while(|_| !next_line(&mut client).is_empty()).count();
    assert!((READ_AT_MOST..BATCH).contains(&answers), "{answers}");
    drop(client);
    assert!(platform.balancer.wait_for_exit().success());
    assert!(platform.origin.has_no_more_requests(), "commands read during the close are not forwarded");
}
