//! Drains: whatever state a client connection is in when the drain begins, it is closed in time, and every command that
//! was read on it is answered. The cases are the cells of the table in `docs/design/crossings-drain.md`.

mod platform;
use platform::sockets::{is_held, is_open};
use platform::*;
use rstest::rstest;
use std::io::Read;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time after which no client connection may be open that is idle or whose request was accepted in the last 2 s.
const DRAINED_WITHIN: Duration = Duration::from_secs(4);
/// Duration of a wait in which nothing is expected.
const SHORT_WAIT: Duration = Duration::from_millis(20);
/// More commands than may wait for answers on one connection.
const BATCH: usize = 100;
/// Maximum number of commands read on a connection before the first of them is answered.
const READ_AT_MOST: usize = 32;

/// The state of a client connection when the drain begins. None of these clients closes its connection.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Connection {
    /// It is idle after a command.
    Idle,
    /// It is idle after a command, and a further command crosses the close.
    IdleThenCommandCrossesClose,
    /// No command was sent on it.
    Silent,
    /// Its client sends `PING` without a pause.
    PingsWithoutPause,
    /// Part of a command has arrived, and the rest does not follow.
    PartOfCommand,
    /// Part of a command arrives after the drain began, and the rest does not follow.
    PartOfCommandAfterDrain,
    /// A large value arrives byte by byte.
    LargeValueTrickles,
    /// A large value arrives byte by byte and is skipped, since there was no memory for it.
    LargeValueIsSkipped,
    /// As many requests wait at a hung origin as may be read, and its client keeps sending.
    AllAnswersDue,
    /// One request waits at a hung cache node, and its client keeps sending.
    AnswerDue,
    /// Its client sent a malformed command and keeps sending.
    Malformed,
}

const PART_OF_COMMAND: &[u8] = b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\n7\r\n$2";
const VALUE: &str = "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

impl Connection {
    /// Brings a client's connection into this state; returns its unanswered requests.
    fn prepare(self, platform: &Platform, client: &mut Client) -> Vec<PeerRequest> {
        let large = "*5\r\n$9\r\nCACHE.SET\r\n$1\r\n7\r\n$2\r\na1\r\n$28\r\nc=alta,t=acme,d=60000,k=5c0f\r\n$4000000\r\nv";
        if self != Connection::Silent {
            client.send(&["PING"]);
            assert_eq!(client.read_answer(), "+PONG");
        }
        match self {
            Connection::PartOfCommand => client.write_raw(PART_OF_COMMAND),
            Connection::LargeValueTrickles => client.write_raw(large.as_bytes()),
            Connection::LargeValueIsSkipped => {
                client.write_raw(large.as_bytes());
                assert_eq!(client.read_answer(), "-BUSY");
            }
            Connection::AllAnswersDue => {
                client.send_writes("folio", BATCH);
                return (0..READ_AT_MOST).map(|_| platform.origin.next_request()).collect();
            }
            Connection::AnswerDue => {
                client.get("leer", "1");
                return vec![platform.peers[0].next_request()];
            }
            Connection::Malformed => {
                client.write_raw(b"*x\r\n");
                assert!(client.read_answer().starts_with("-ERR"));
            }
            _ => {}
        }
        vec![]
    }

    /// Returns the bytes that the client sends repeatedly during the drain, and the delay after which it begins.
    fn later_sends(self) -> Option<(Duration, &'static [u8])> {
        match self {
            Connection::LargeValueTrickles | Connection::LargeValueIsSkipped | Connection::Malformed => {
                Some((Duration::ZERO, b"v"))
            }
            Connection::AllAnswersDue | Connection::AnswerDue => Some((DRAINED_WITHIN / 2, PING)),
            Connection::IdleThenCommandCrossesClose => Some((DRAINED_WITHIN.mul_f64(0.7), PING)),
            _ => None,
        }
    }

    /// Returns the minimum and the maximum number of answers after the drain began, and how the last of them starts.
    fn expected_answers(self) -> (usize, usize, &'static str) {
        match self {
            Connection::PartOfCommand
            | Connection::PartOfCommandAfterDrain
            | Connection::LargeValueTrickles => (1, 1, "-BUSY"),
            Connection::PingsWithoutPause => (1, usize::MAX, "-"),
            Connection::AllAnswersDue => (READ_AT_MOST, BATCH, "-"),
            Connection::AnswerDue => (1, 1, "-ERR failed"),
            _ => (0, 0, ""),
        }
    }
}

/// The calls and signals that make up a drain.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Order {
    Once,
    Twice,
    /// Ended and started again at once.
    AfterUndrain,
    /// Called at a second process of this balancer, which passes it to the process that holds the connection.
    AtOtherProcess,
    ThenReload,
    ThenTerminate,
    AfterTerminate,
}

impl Order {
    /// Starts a second process if this case needs one.
    fn second_process(self, env: &ProcessEnv, platform: &Platform) -> Option<Balancer> {
        (self == Order::AtOtherProcess).then(|| {
            let second = Balancer::start_in(env, &platform.config);
            second.wait_for_log("accepting from the inherited socket");
            second
        })
    }

    fn carry_out(self, platform: &Platform, second: Option<&Balancer>) {
        let drain = || second.unwrap_or(&platform.balancer).post_admin("/drain", "");
        if self == Order::AfterTerminate {
            platform.balancer.terminate();
            platform.balancer.wait_for_log("SIGTERM");
        }
        drain();
        match self {
            Order::Twice => drain(),
            Order::AfterUndrain => {
                platform.balancer.post_admin("/undrain", "");
                drain();
            }
            Order::ThenReload => {
                platform.balancer.reload(&platform.config.to_string());
                platform.balancer.wait_for_log("SIGHUP");
            }
            Order::ThenTerminate => {
                platform.balancer.terminate();
                platform.balancer.wait_for_log("SIGTERM");
            }
            Order::Once | Order::AtOtherProcess | Order::AfterTerminate => {}
        }
    }
}

#[rstest]
fn drain_closes_every_connection_in_time(
    #[values(
        Connection::Idle,
        Connection::IdleThenCommandCrossesClose,
        Connection::Silent,
        Connection::PingsWithoutPause,
        Connection::PartOfCommand,
        Connection::PartOfCommandAfterDrain,
        Connection::LargeValueTrickles,
        Connection::LargeValueIsSkipped,
        Connection::AllAnswersDue,
        Connection::AnswerDue,
        Connection::Malformed
    )]
    state: Connection,
    #[values(
        Order::Once,
        Order::Twice,
        Order::AfterUndrain,
        Order::AtOtherProcess,
        Order::ThenReload,
        Order::ThenTerminate,
        Order::AfterTerminate
    )]
    order: Order,
) {
    let env = ProcessEnv::with_socket();
    let platform = Platform::with_inherited_socket(&env, |config| {
        config["operator"] = "127.0.0.1:0".into();
        if state == Connection::LargeValueIsSkipped {
            config["limits"]["memory_mb"] = 12.into(); // leaves 2 MiB for values
        }
    });
    let mut client = env.client();
    let _waiting = state.prepare(&platform, &mut client);
    let second = order.second_process(&env, &platform);
    order.carry_out(&platform, second.as_ref());
    let drained = Instant::now();
    match state {
        Connection::PartOfCommandAfterDrain => client.write_raw(PART_OF_COMMAND),
        Connection::PingsWithoutPause => client.send_without_pause(PING.repeat(1_000)),
        _ => {}
    }
    let answers = client.collect_answers();
    wait_until(|| {
        if let Some((after, bytes)) = state.later_sends()
            && drained.elapsed() >= after
        {
            client.try_write_raw(bytes);
        }
        !is_held(platform.balancer.addr, client.port())
    });
    let elapsed = drained.elapsed();
    assert!(elapsed < DRAINED_WITHIN, "{state:?}: open for {elapsed:?}");
    let answers: Vec<String> = answers.join().unwrap();
    let (least, most, last) = state.expected_answers();
    assert!((least..=most).contains(&answers.len()), "{state:?}: {answers:?}");
    assert!(answers.last().is_none_or(|answer| answer.starts_with(last)), "{state:?}: {answers:?}");
    let mut after_first_no = answers.iter().skip_while(|answer| *answer == "+PONG");
    assert!(!after_first_no.any(|answer| answer == "+PONG"), "{state:?}: +PONG after the first refusal");
    assert!(platform.peers[0].has_no_more_requests() && platform.origin.has_no_more_requests());
}

/// A client that pipelines so that an answer is always due: its cache node answers each request when the next one
/// arrives.
struct Pipelining {
    client: Client,
    answers: JoinHandle<Vec<String>>,
    forwarded: JoinHandle<usize>,
}

impl Pipelining {
    fn start(peer: Peer, mut client: Client) -> Self {
        let forwarded = thread::spawn(move || {
            let (mut waiting, mut count) = (None, 0);
            while let Some(request) = peer.next_request_within(DRAINED_WITHIN / 4) {
                count += 1;
                if let Some(before) = waiting.replace(request) {
                    before.respond_value("v");
                }
            }
            if let Some(mut last) = waiting {
                last.write_part(VALUE);
            }
            count
        });
        let answers = client.collect_answers();
        (0..2).for_each(|_| client.get("leer", "1"));
        Self { client, answers, forwarded }
    }

    /// Keeps sending until the connection is closed, which must be in time; each request that was read must be
    /// answered.
    fn assert_closed_within(mut self, server: SocketAddr, time: Duration) {
        let started = Instant::now();
        wait_until(|| {
            self.client.try_get("leer", "1");
            !is_held(server, self.client.port())
        });
        let elapsed = started.elapsed();
        assert!(elapsed < time, "open for {elapsed:?}");
        let (answers, forwarded) = (self.answers.join().unwrap(), self.forwarded.join().unwrap());
        let count = |wanted: &str| answers.iter().filter(|answer| answer.starts_with(wanted)).count();
        let (served, failed, refused) = (count("v"), count("-ERR failed"), count("-BUSY"));
        // A request that waited in the balancer when the others failed was not forwarded.
        assert!((served..=served + failed).contains(&forwarded), "{forwarded} were forwarded: {answers:?}");
        assert!(
            failed <= READ_AT_MOST && served > failed,
            "only requests that were unanswered at the end may fail: {answers:?}"
        );
        assert_eq!(served + failed + refused, answers.len(), "{answers:?}");
    }
}

/// Every request that was read is answered, and one that was forwarded gets the answer of the cache node.
#[test]
fn drain_answers_and_closes_pipelining_client_in_time() {
    let mut platform = Platform::with_admin_endpoint(1);
    let pipelining = Pipelining::start(platform.peers.remove(0), platform.balancer.client());
    platform.balancer.post_admin("/drain", "");
    pipelining.assert_closed_within(platform.balancer.addr, DRAINED_WITHIN);
}

/// The replaced process answers every request within 3.5 s after SIGTERM, and closes its remaining connections 0.1 s
/// later.
#[test]
fn replaced_process_answers_and_closes_pipelining_client() {
    let env = ProcessEnv::with_socket();
    let mut platform =
        Platform::with_inherited_socket(&env, |config| config["operator"] = "127.0.0.1:0".into());
    let pipelining = Pipelining::start(platform.peers.remove(0), env.client());
    let new = Balancer::start_in(&env, &platform.config);
    new.wait_for_log("accepting from the inherited socket");
    platform.balancer.terminate();
    pipelining.assert_closed_within(platform.balancer.addr, DRAINED_WITHIN);
}

/// A request accepted before the drain waits at a hung cache node. Its client sends nothing more, so the drain waits
/// for the answer.
#[test]
fn drain_waits_for_late_answer_of_quiet_client() {
    let platform = Platform::with_admin_endpoint(1);
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    let request = platform.peers[0].next_request();
    platform.balancer.post_admin("/drain", "");
    assert!(
        !client.has_answer_within(DRAINED_WITHIN),
        "an answer, or the end of the connection, came too early"
    );
    request.respond_value("v");
    assert_eq!(client.read_answer(), "v");
    assert!(client.reads_end());
    wait_until(|| !is_held(platform.balancer.addr, client.port()));
}

/// What a request waits for when the drain begins.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WaitsFor {
    /// The answer of a hung cache node.
    CacheNode,
    /// Its fetch from a hung origin.
    Origin,
    /// The fetch of another request for the same key.
    OtherFetch,
    /// A connection to its cache node that is not established.
    Dial,
}

/// A request whose deadline is shorter than the drain is answered by its deadline, and its connection is closed.
#[rstest]
fn drain_answers_waiting_request_by_its_deadline(
    #[values(WaitsFor::CacheNode, WaitsFor::Origin, WaitsFor::OtherFetch, WaitsFor::Dial)] waits: WaitsFor,
) {
    let (narrow, admit) = Peer::with_short_backlog(false);
    admit.send(()).unwrap();
    let platform = Platform::with_servers(vec![narrow], Peer::start(true), 1024, |config| {
        config["operator"] = "127.0.0.1:0".into();
    });
    let [mut first, mut client] = [(); 2].map(|()| platform.balancer.client());
    let mut waiting = Vec::new();
    if matches!(waits, WaitsFor::OtherFetch | WaitsFor::Dial) {
        first.get("leer", "1");
        waiting.push(platform.peers[0].next_request());
    }
    if waits == WaitsFor::OtherFetch {
        waiting.pop().unwrap().respond_miss();
        waiting.push(platform.origin.next_request());
        wait_until_rested(); // the second read uses the only connection to the cache node
    }
    client.get_with_deadline("leer", "1", Duration::from_millis(800));
    match waits {
        WaitsFor::CacheNode => waiting.push(platform.peers[0].next_request()),
        WaitsFor::Origin => {
            platform.peers[0].next_request().respond_miss();
            waiting.push(platform.origin.next_request());
        }
        WaitsFor::OtherFetch => platform.peers[0].next_request().respond_miss(),
        WaitsFor::Dial => {}
    }
    platform.balancer.post_admin("/drain", "");
    let drained = Instant::now();
    assert!(client.read_answer().starts_with('-'), "{waits:?}: its deadline has passed");
    assert!(client.reads_end());
    wait_until(|| !is_held(platform.balancer.addr, client.port()));
    assert!(drained.elapsed() < DRAINED_WITHIN);
    assert!(waits != WaitsFor::OtherFetch || platform.origin.has_no_more_requests(), "one fetch for both");
}

/// Discovery is silent and no list has been received: the drain does not wait for one.
#[test]
fn drain_before_first_list_closes_connections_in_time() {
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut waiting = config(silent.local_addr().unwrap(), 1024, serde_json::Value::Null);
    waiting["operator"] = "127.0.0.1:0".into();
    let balancer = Balancer::start(&waiting, 1024);
    let [mut idle, mut unfinished, mut reading] = [(); 3].map(|()| balancer.client());
    idle.send(&["PING"]);
    assert!(idle.read_answer().starts_with("-LOADING"));
    unfinished.write_raw(PART_OF_COMMAND);
    balancer.post_admin("/drain", "");
    let drained = Instant::now();
    reading.get("leer", "1");
    assert!(reading.read_answer().starts_with("-BUSY"), "no cache node is known");
    assert_eq!(unfinished.read_answer(), "-BUSY");
    let ports = [idle.port(), unfinished.port(), reading.port()];
    wait_until(|| !ports.iter().any(|port| is_held(balancer.addr, *port)));
    let elapsed = drained.elapsed();
    assert!(elapsed < DRAINED_WITHIN, "open for {elapsed:?}");
}

/// One answer is read slowly by its client, and another is sent slowly by its cache node.
#[test]
fn drain_does_not_abort_answer_in_progress() {
    const LARGE: usize = 1 << 20;
    let platform = Platform::with_admin_endpoint(1);
    let (mut slow, mut trickled) =
        (platform.balancer.client_with_receive_buffer(4 * 1024), platform.balancer.client());
    trickled.get("leer", "1");
    let mut trickling = platform.peers[0].next_request();
    trickling.write_part(&format!("*3\r\n${LARGE}\r\nv"));
    assert_eq!(trickled.read_line(), format!("${LARGE}"));
    slow.get("leer", "2");
    let value = "w".repeat(LARGE);
    let request = platform.peers[0].next_request();
    thread::spawn({
        let value = value.clone();
        move || request.respond_value(&value) // blocks while the client does not read
    });
    platform.balancer.post_admin("/drain", "");
    let drained = Instant::now();
    wait_until(|| {
        trickling.write_part("v");
        assert!(is_held(platform.balancer.addr, trickled.port()));
        drained.elapsed() > DRAINED_WITHIN
    });
    assert_eq!(slow.read_answer(), value);
    assert!(slow.reads_end());
    drop(trickling); // the cache node ends the answer in the middle
    let mut rest = Vec::new();
    let _ = trickled.reader().read_to_end(&mut rest);
    assert!(rest.len() < LARGE, "the answer must be shorter than the announced length");
}

/// Waiting requests occupy all connection slots, and further clients are in the listener's backlog.
#[test]
fn drain_closes_connections_in_backlog_in_time() {
    const SLOTS: usize = 24;
    let platform = Platform::with_config(1, 1024, |config| {
        config["operator"] = "127.0.0.1:0".into();
        config["limits"]["sockets"] = 100.into();
    });
    // One after the other, since each needs one of as many connections to its cache node; a refused or closed client
    // retries.
    let (mut busy, mut waiting): (Vec<Client>, Vec<PeerRequest>) = Default::default();
    for _ in 0..SLOTS {
        let mut client = platform.balancer.client();
        client.get("leer", "1");
        wait_until(|| {
            waiting.extend(platform.peers[0].next_request_within(SHORT_WAIT));
            let has_request = waiting.len() > busy.len();
            if !has_request && client.is_closed() {
                client = platform.balancer.client(); // on a busy machine its first command can be too late
                client.get("leer", "1");
            } else if !has_request && client.has_answer_within(SHORT_WAIT) {
                assert!(client.read_answer().starts_with("-BUSY"));
                client.get("leer", "1");
            }
            has_request
        });
        busy.push(client);
    }
    let [silent, mut reading, mut pinging] = [(); 3].map(|()| platform.balancer.client());
    reading.get("leer", "1");
    pinging.send(&["PING"]);
    platform.balancer.wait_for_log("client connections are busy");
    platform.balancer.post_admin("/drain", "");
    let drained = Instant::now();
    wait_until(|| {
        [&silent, &reading, &pinging].iter().all(|client| !is_open(platform.balancer.addr, client.port()))
    });
    let elapsed = drained.elapsed();
    assert!(elapsed < DRAINED_WITHIN, "open for {elapsed:?}");
    assert!(platform.peers[0].has_no_more_requests());
    waiting.into_iter().for_each(|request| request.respond_value("v"));
    for client in &mut busy {
        assert_eq!((client.read_answer().as_str(), client.reads_end()), ("v", true));
    }
    // Slots are free again, and the next client gets one.
    wait_until(|| !busy.iter().any(|client| is_held(platform.balancer.addr, client.port())));
    platform.balancer.post_admin("/undrain", "");
    let mut new = platform.balancer.client();
    new.send(&["PING"]);
    assert_eq!(new.read_answer(), "+PONG");
}

/// The drain ends while an answer is due: the connection stays open and is served as before.
#[test]
fn undrain_keeps_connection_that_was_not_closed() {
    let platform = Platform::with_admin_endpoint(1);
    let (mut idle, mut busy) = (platform.balancer.client(), platform.balancer.client());
    idle.send(&["PING"]);
    assert_eq!(idle.read_answer(), "+PONG");
    busy.get("leer", "1");
    let request = platform.peers[0].next_request();
    platform.balancer.post_admin("/drain", "");
    assert!(idle.reads_end(), "an idle connection is closed");
    platform.balancer.post_admin("/undrain", "");
    request.respond_value("v");
    assert_eq!(busy.read_answer(), "v");
    for n in ["2", "3"] {
        busy.get("leer", n);
        platform.peers[0].next_request().respond_value("w");
        assert_eq!(busy.read_answer(), "w");
    }
    let mut new = platform.balancer.client();
    new.send(&["PING"]);
    assert_eq!(new.read_answer(), "+PONG");
}

/// More than 1.5 s after the start of the drain, a request on a new connection is shed and not forwarded.
#[test]
fn drained_balancer_sheds_late_requests() {
    let platform = Platform::with_admin_endpoint(1);
    let (mut idle, mut hung) = (platform.balancer.client(), platform.balancer.client());
    idle.send(&["PING"]);
    assert_eq!(idle.read_answer(), "+PONG");
    hung.get("leer", "1");
    let _waiting = platform.peers[0].next_request();
    platform.balancer.post_admin("/drain", "");
    assert!(!hung.has_answer_within(DRAINED_WITHIN / 2));
    let mut late = platform.balancer.client();
    // The process reads both commands at once, and closes the connection after answering them.
    platform.balancer.while_stopped(|| {
        late.send(&["PING"]);
        late.get("leer", "2");
    });
    assert_eq!((late.read_answer().as_str(), late.read_answer().as_str()), ("-DRAINING", "-BUSY"));
    assert!(late.reads_end() && idle.reads_end());
    assert_eq!((platform.metric("refused.leer"), platform.metric("failed.leer")), (1, 0));
    hung.send(&["PING"]);
    assert_eq!(hung.read_answer(), "-ERR failed", "the client keeps sending instead of waiting");
    wait_until(|| platform.metric("failed.leer") == 1 && platform.metric("in_flight") == 0);
    assert!(platform.peers[0].has_no_more_requests());
}
