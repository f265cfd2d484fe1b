//! The memory that clients can make the balancer use: within its limit, whatever they send, read or leave half done.

mod platform;
use platform::*;
use rstest::rstest;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_LIMIT_MB: u64 = 32;
const CLIENTS: usize = 500;
/// Almost the largest value that is buffered.
const VALUE_BYTES: usize = 64 * 1024;
/// The most commands of a connection that are read before the first of them is answered.
const READ_AT_MOST: usize = 32;

/// The key of the client that is served beside the others, and the answer to it.
const USUAL_KEY: &str = "ab";
const VALUE: &str = "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";
/// How long the clients stay: clients that stop in a request get an error or a close within this time.
const HELD_FOR: Duration = Duration::from_secs(3);

/// What each of many clients does before it stays connected.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ClientAction {
    /// Write all but the end of a value.
    StopInValue,
    /// Write many short fields without the end of their word.
    StopInFields,
    /// Write a batch of reads with very many short fields.
    ManyShortFields,
    /// Write a batch of writes, whose answers do not come.
    WaitForReceipts,
    /// Write a batch of reads of long answers, and read none.
    LeaveAnswersUnread,
    /// Write two reads of an answer that is large, and read none: it is read whole for the second one's sake.
    LeaveLargeAnswersUnread,
}

impl ClientAction {
    fn input(self, client: usize) -> Vec<u8> {
        let id = |n: usize| format!("{client:x}-{n:x}");
        let write = |n: usize, length: usize| {
            encode_command(&["CACHE.SET", "7f", &id(n), WRITE_OPTIONS, &"v".repeat(length)])
        };
        let read = |n: usize, options: &str| encode_command(&["CACHE.GET", "7f", &id(n), options]);
        let fields = |count: usize| format!("c=leer,t=acme,d=60000{}", ",r=1".repeat(count));
        let batch = |command: &dyn Fn(usize) -> Vec<u8>| (0..READ_AT_MOST).flat_map(command).collect();
        match self {
            Self::StopInValue => {
                let command = write(0, VALUE_BYTES);
                command[..command.len() - 100].to_vec()
            }
            Self::StopInFields => {
                let command = read(0, &fields(15_000));
                command[..command.len() - 100].to_vec()
            }
            Self::ManyShortFields => batch(&|n| read(n, &fields(900))),
            Self::WaitForReceipts => batch(&|n| write(n, 4_000)),
            Self::LeaveAnswersUnread => batch(&|n| read(n, &fields(0))),
            Self::LeaveLargeAnswersUnread => (0..2).flat_map(|n| read(n, &fields(0))).collect(),
        }
    }

    /// Returns what a cache node answers to the reads of these clients.
    fn answer(self) -> String {
        let length = match self {
            Self::LeaveAnswersUnread => VALUE_BYTES - 100,
            Self::LeaveLargeAnswersUnread => 1 << 20,
            _ => 10,
        };
        format!("*3\r\n${length}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", "v".repeat(length))
    }
}

/// Connects a client that reads nothing. It writes on a thread of its own, since the balancer may leave input unread.
fn start_client(balancer: &Balancer, input: Vec<u8>) -> Client {
    let client = balancer.client_with_receive_buffer(4 * 1024);
    client.write_on_thread(input);
    client
}

/// Answers the reads at this cache node on threads of their own, since the balancer may leave answers unread.
fn answer_reads(peer: Peer, answer: String) {
    thread::spawn(move || {
        while let Some(mut request) = peer.next_request_within(WAIT_TIMEOUT) {
            let answer = if request.words[1] == USUAL_KEY { VALUE.to_owned() } else { answer.clone() };
            thread::spawn(move || request.write_part(&answer));
        }
    });
}

/// Guards against a balancer that is killed for memory: partial commands and answers of up to 64 KiB were bounded by the
/// number of connections alone, 600 of which exceed the limit.
#[rstest]
fn many_clients_stay_within_memory_limit(
    #[values(
        ClientAction::StopInValue,
        ClientAction::StopInFields,
        ClientAction::ManyShortFields,
        ClientAction::WaitForReceipts,
        ClientAction::LeaveAnswersUnread,
        ClientAction::LeaveLargeAnswersUnread
    )]
    action: ClientAction,
) {
    let mut platform = Platform::with_limits(1, MEMORY_LIMIT_MB, 1024, 1024);
    answer_reads(platform.peers.remove(0), action.answer());
    let clients: Vec<Client> =
        (0..CLIENTS).map(|client| start_client(&platform.balancer, action.input(client))).collect();
    let mut usual = platform.balancer.client();
    let (started_at, mut answers) = (Instant::now(), Vec::new());
    while started_at.elapsed() < HELD_FOR {
        usual.get("leer", USUAL_KEY);
        answers.push(usual.read_answer());
    }
    let peak_kb = platform.balancer.resident_kb();
    assert!(peak_kb < MEMORY_LIMIT_MB * 1024, "{peak_kb} KB with {} clients", clients.len());
    assert!(answers.iter().all(|answer| answer == "v" || answer.starts_with("-BUSY")), "{answers:?}");
}

/// Guards against calls whose heads take memory beyond all budgets: a head could have some hundred kilobytes of very many
/// short fields.
#[test]
fn long_heads_of_admin_calls_use_little_memory() {
    const CALLERS: usize = 16;
    const HEAD_BYTES: usize = 400_000;
    const ALLOWED_KB: u64 = 1024;
    let platform = Platform::with_admin_endpoint(1);
    let address = platform.balancer.admin_addr.unwrap();
    assert_eq!(call(address, "GET", "/ready", "").0, 200);
    let before_kb = platform.balancer.resident_kb();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            thread::spawn(move || {
                let mut stream = std::net::TcpStream::connect(address).unwrap();
                let head = format!("GET /ready HTTP/1.1\r\nx: {}", "a, ".repeat(HEAD_BYTES / 3));
                let _ = stream.write_all(head.as_bytes()); // may be reset
                let mut response = String::new();
                let _ = stream.read_to_string(&mut response);
                response
            })
        })
        .collect();
    for caller in callers {
        let response = caller.join().unwrap();
        assert!(response.is_empty() || response.starts_with("HTTP/1.1 4"), "{response}");
    }
    let peak_kb = platform.balancer.resident_kb();
    assert!(peak_kb < before_kb + ALLOWED_KB, "{before_kb} KB before, {peak_kb} KB at most");
    assert_eq!(call(address, "GET", "/ready", "").0, 200);
}
