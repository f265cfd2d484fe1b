//! The admin endpoint of the program, between scripted cache nodes and an origin.

mod platform;
use platform::*;
use rstest::rstest;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

#[test]
fn ready_and_wrong_calls_are_answered_with_reasons() {
    let platform = Platform::with_admin_endpoint(1);
    let admin_addr = platform.balancer.admin_addr.unwrap();
    assert_eq!(call(admin_addr, "GET", "/ready", ""), (200, "{\"ready\":true}".into()));
    for (method, path, status, reason) in [
        ("POST", "/ready", 405, "takes GET"),
        ("PUT", "/metrics", 405, "takes GET"),
        ("GET", "/", 404, "no such call"),
    ] {
        let (found, body) = call(admin_addr, method, path, "");
        assert!(found == status && body.contains(reason), "{method} {path}: {found} {body}");
    }
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut waiting = config(silent.local_addr().unwrap(), 1024, serde_json::Value::Null);
    waiting["operator"] = "127.0.0.1:0".into();
    let balancer = Balancer::start(&waiting, 1024);
    let (status, body) = call(balancer.admin_addr.unwrap(), "GET", "/ready", "");
    assert!(status == 503 && body.contains("has not come"), "{status} {body}");
}

#[test]
fn admin_call_is_answered_despite_100_unfinished_calls() {
    let platform = Platform::with_admin_endpoint(1);
    let admin_addr = platform.balancer.admin_addr.unwrap();
    let callers: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut stream = TcpStream::connect(admin_addr).unwrap();
            stream.write_all(if n % 2 == 0 { b"" } else { b"GET /metrics HT" }).unwrap();
            stream
        })
        .collect();
    assert_eq!(call(admin_addr, "GET", "/ready", "").0, 200);
    platform.balancer.wait_for_log("operators: closed a silent connection for a new one");
    let first = &mut &callers[0];
    first.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    assert!(
        first.read(&mut [0]).is_ok_and(|n| n == 0) || first.peek(&mut [0]).is_err(),
        "the oldest silent connection is closed"
    );
}

#[test]
fn metrics_match_observed_requests() {
    let platform = Platform::with_admin_endpoint(1);
    let mut client = platform.balancer.client();
    for n in 0..3 {
        client.get("leer", &n.to_string());
        platform.peers[0].next_request().respond_value("v");
        assert_eq!(client.read_answer(), "v");
    }
    client.get("leer", "a");
    platform.peers[0].next_request().respond("-BUSY\r\n");
    assert!(client.read_answer().starts_with("-BUSY"));
    client.set("folio", "f");
    platform.origin.next_request().respond_http("500 Internal Server Error", "");
    assert_eq!(client.read_answer(), "-ERR failed");
    let counted = ["served.leer", "refused.leer", "failed.leer", "failed.folio", "served.alta", "attempts"];
    assert_eq!(counted.map(|name| platform.metric(name)), [3, 1, 0, 1, 0, 5], "{counted:?}");
    assert_eq!((platform.metric("cache_hosts_known"), platform.metric("cache_hosts_excluded")), (1, 0));

    client.get("leer", "b");
    let request = platform.peers[0].next_request();
    assert_eq!(platform.metric("in_flight"), 1);
    drop(client);
    assert!(platform.peers[0].next_is_close());
    assert_eq!(platform.metric("in_flight"), 0, "the request of a client that disconnected is not in flight");
    drop(request);
}

#[test]
fn disabled_cache_node_gets_no_requests_until_enabled() {
    let mut platform = Platform::with_admin_endpoint(2);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    let mut served_by = |platform: &Platform, peer: usize| {
        client.get("leer", &key);
        platform.peers[peer].next_request().respond_value("v");
        assert_eq!(client.read_answer(), "v");
    };
    for _ in 0..2 {
        platform.balancer.post_admin("/cache-hosts/disable", "s-0");
    }
    served_by(&platform, 1);
    assert_eq!((platform.metric("cache_hosts_known"), platform.metric("cache_hosts_excluded")), (2, 1));
    let members =
        [member("s-0", platform.peers[0].addr, "ready"), member("s-1", platform.peers[1].addr, "ready")];
    push(&mut platform.watch, &list(2, false, &members).to_string());
    push(&mut platform.watch, &list(3, false, &[member("s-2", platform.peers[1].addr, "gone")]).to_string());
    push(
        &mut platform.watch,
        &list(4, false, &[member("s-3", platform.peers[1].addr, "draining")]).to_string(),
    );
    platform.balancer.wait_for_log("s-3 is Draining"); // all lists before it have been applied
    served_by(&platform, 1);
    assert!(platform.peers[0].has_no_more_requests());
    // The enabled cache node is cold and gets a part of the reads, of which one comes among the first 100.
    platform.balancer.post_admin("/cache-hosts/enable", "s-0");
    let served_again = (0..100).any(|n| {
        client.get("leer", &format!("{n:x}"));
        let (peer, request) = next_request_of_any(&platform.peers);
        request.respond_value("v");
        client.read_answer() == "v" && peer == 0
    });
    assert!(served_again, "one call to enable undoes two calls to disable");
}

#[test]
fn invalid_override_is_rejected_with_a_reason() {
    let platform = Platform::with_admin_endpoint(1);
    let admin_addr = platform.balancer.admin_addr.unwrap();
    for (body, status, reason) in [
        ("{\"who\":\"nadie\"}", 404, "no cache host has the id"),
        ("{\"who\":\"origin\"}", 404, "no cache host has the id"),
        ("{\"who\":7}", 400, "invalid type"),
        ("{}", 400, "missing field `who`"),
        ("{\"who\":", 400, "wanted"),
        (&"x".repeat(5_000), 413, "more than 4096 bytes"),
    ] {
        for path in ["/cache-hosts/disable", "/cache-hosts/enable"] {
            let (found, text) = call(admin_addr, "POST", path, body);
            assert!(found == status && text.contains(reason), "{path} {body}: {found} {text}");
        }
    }
    assert_eq!(call(admin_addr, "GET", "/drain", "").0, 405);

    // Without its folder an override cannot be stored for the next process, so it is not applied.
    std::fs::remove_dir_all(&platform.balancer.folder).unwrap();
    let (status, text) = call(admin_addr, "POST", "/cache-hosts/disable", "{\"who\":\"s-0\"}");
    assert!(status == 500 && text.contains("could not be written"), "{status} {text}");
    assert_eq!(platform.metric("cache_hosts_excluded"), 0);
}

/// A malformed or incomplete call to drain.
#[derive(Debug, Clone, Copy, PartialEq)]
enum BadCall {
    HeadCutShort,
    HeadStalls,
    BodyCutShort,
    BodyStalls,
    BodyTooLong,
    BodyInBadChunks,
    NoHttp,
    WrongMethod,
}

/// The call is answered with a 4xx status within 1 s, and drains nothing.
#[rstest]
#[case(BadCall::HeadCutShort, "POST /drain HT", 400)]
#[case(BadCall::HeadStalls, "POST /drain HTTP/1.1\r\nHost: x\r\n", 408)]
#[case(BadCall::BodyCutShort, "POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{\"a\"", 400)]
#[case(BadCall::BodyStalls, "POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{\"a\"", 408)]
#[case(BadCall::BodyTooLong, "POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 5000000\r\n\r\n", 413)]
#[case(
    BadCall::BodyInBadChunks,
    "POST /drain HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    400
)]
#[case(BadCall::NoHttp, "\u{1}\u{2}drain\r\n\r\n", 400)]
#[case(BadCall::WrongMethod, "PUT /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405)]
fn malformed_drain_call_is_rejected_in_time_and_drains_nothing(
    #[case] bad: BadCall, #[case] call: &str, #[case] status: u16,
) {
    let platform = Platform::with_admin_endpoint(1);
    let mut stream = TcpStream::connect(platform.balancer.admin_addr.unwrap()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    stream.write_all(call.as_bytes()).unwrap();
    if matches!(bad, BadCall::HeadCutShort | BadCall::BodyCutShort) {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    if bad == BadCall::BodyTooLong {
        let _ = stream.write_all(&[b' '; 300_000]); // unread data must not cause a reset before the answer is read
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap_or_else(|error| panic!("{bad:?}: {error} after {answer:?}"));
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{bad:?}: {answer:?}");
    let mut client = platform.balancer.client();
    client.send(&["PING"]);
    assert_eq!(client.read_answer(), "+PONG", "{bad:?}");
}

#[test]
fn drain_closes_all_connections_and_ends_without_restart() {
    let platform = Platform::with_admin_endpoint(1);
    let (mut busy, mut idle) = (platform.balancer.client(), platform.balancer.client());
    idle.send(&["PING"]);
    assert_eq!(idle.read_answer(), "+PONG");
    busy.get("leer", "1");
    let request = platform.peers[0].next_request();
    platform.balancer.post_admin("/drain", "");
    platform.balancer.wait_for_log("draining");
    idle.send(&["PING"]);
    assert_eq!(idle.read_answer(), "-DRAINING");
    assert_eq!(call(platform.balancer.admin_addr.unwrap(), "GET", "/ready", "").0, 503);
    let mut late = platform.balancer.client(); // still accepted during the drain
    late.get("leer", "2");
    platform.peers[0].next_request().respond_value("w");
    assert_eq!(late.read_answer(), "w");
    assert!(late.reads_end(), "closed after its answer");
    request.respond_value("v");
    assert_eq!(busy.read_answer(), "v");
    assert!(busy.reads_end() && idle.reads_end());
    platform.balancer.post_admin("/undrain", "");
    let mut client = platform.balancer.client();
    client.send(&["PING"]);
    assert_eq!(client.read_answer(), "+PONG");
    client.get("leer", "3");
    platform.peers[0].next_request().respond_value("x");
    assert_eq!(client.read_answer(), "x");
    client.send(&["PING"]);
    assert_eq!(client.read_answer(), "+PONG", "connections are kept open again");
}

#[test]
fn replacement_loses_no_connection_and_keeps_overrides() {
    let (peers, origin) = ([(); 3].map(|()| Peer::start(false)), Peer::start(true));
    let mut members = vec![member("origin", origin.addr, "ready")];
    members.extend((0..3).map(|n| member(&format!("s-{n}"), peers[n].addr, "ready")));
    let discovery = Discovery::start(list(1, true, &members));
    let mut config = config(discovery.addr, 1024, Value::Null);
    config["operator"] = "127.0.0.1:0".into();
    let env = ProcessEnv::with_socket();
    let old = Balancer::start_in(&env, &config);
    old.wait_for_log("accepting from the inherited socket");
    old.post_admin("/cache-hosts/disable", "s-0");
    let mut kept = env.client();
    kept.get("leer", "1");
    let (_, request) = next_request_of_any(&peers[1..]);
    assert!(peers[0].has_no_more_requests());

    let new = Balancer::start_in(&env, &config);
    new.wait_for_log("accepting from the inherited socket");
    assert_eq!(call(new.admin_addr.unwrap(), "GET", "/ready", "").0, 200);
    // Both processes belong to one balancer and apply each other's overrides.
    new.post_admin("/cache-hosts/disable", "s-1");
    new.post_admin("/cache-hosts/enable", "s-0");
    old.wait_for_log("discovery: s-0 is Ready");
    old.terminate();
    old.wait_for_log("another process serves");
    for n in 2..20 {
        let mut client = env.client(); // no connection is refused, reset or left unread
        client.get("leer", &n.to_string());
        let (peer, request) = next_request_of_any(&peers);
        assert_ne!(peer, 1, "s-1 is disabled");
        request.respond_value("v");
        assert_eq!(client.read_answer(), "v");
    }
    request.respond_value("tomado antes");
    assert_eq!(kept.read_answer(), "tomado antes");
    assert!(kept.reads_end());
    old.wait_for_log(": done");
}

#[test]
fn descriptor_without_listening_socket_fails_start() {
    for (socket, reason) in
        [("8", "PROXY_FD: descriptor 8 is no listening TCP socket"), ("x", "PROXY_FD: \"x\"")]
    {
        let mut env = ProcessEnv::with_socket();
        env.descriptor = socket;
        let config = config("127.0.0.1:1".parse().unwrap(), 1024, Value::Null).to_string();
        let out = env.spawn(&config, 1024).0.wait_with_output().unwrap();
        let output = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && output.lines().count() == 1 && output.contains(reason), "{output}");
    }
}

#[test]
fn drain_survives_replacement_and_ends_at_either_process() {
    let peer = Peer::start(false);
    let discovery = Discovery::start(list(1, true, &[member("s-0", peer.addr, "ready")]));
    let mut config = config(discovery.addr, 1024, Value::Null);
    config["operator"] = "127.0.0.1:0".into();
    let env = ProcessEnv::with_socket();
    let old = Balancer::start_in(&env, &config);
    old.wait_for_log("accepting from the inherited socket");
    old.post_admin("/drain", "");
    old.post_admin("/drain", "");
    let new = Balancer::start_in(&env, &config);
    new.wait_for_log("accepting from the inherited socket");
    let (status, reason) = call(new.admin_addr.unwrap(), "GET", "/ready", "");
    assert!(status == 503 && reason.contains("draining"), "{status} {reason}");
    old.post_admin("/undrain", "");
    new.wait_for_log("drain ended");
    assert_eq!(call(new.admin_addr.unwrap(), "GET", "/ready", "").0, 200);
    let mut client = env.client();
    client.send(&["PING"]);
    assert_eq!(client.read_answer(), "+PONG");
}

/// Starts two cache nodes and discovery; the configuration has an admin endpoint.
fn two_cache_nodes() -> ([Peer; 2], Discovery, Value) {
    let peers = [(); 2].map(|()| Peer::start(false));
    let members = [0, 1].map(|n| member(&format!("s-{n}"), peers[n].addr, "ready"));
    let discovery = Discovery::start(list(1, true, &members));
    let mut config = config(discovery.addr, 1024, Value::Null);
    config["operator"] = "127.0.0.1:0".into();
    (peers, discovery, config)
}

/// Guards against lost overrides: two processes of one balancer are repeatedly given an override each at the same time.
#[test]
fn concurrent_overrides_are_in_force_in_both_processes() {
    let (_peers, _discovery, config) = two_cache_nodes();
    let env = ProcessEnv::with_socket();
    let processes = [(); 2].map(|()| {
        let process = Balancer::start_in(&env, &config);
        process.wait_for_log("accepting from the inherited socket");
        process
    });
    let admin_addrs = [0, 1].map(|n| processes[n].admin_addr.unwrap());
    for _ in 0..20 {
        for (path, excluded) in [("/cache-hosts/disable", 2), ("/cache-hosts/enable", 0)] {
            std::thread::scope(|scope| {
                for (admin_addr, cache_node) in admin_addrs.into_iter().zip(["s-0", "s-1"]) {
                    let body = format!("{{\"who\":\"{cache_node}\"}}");
                    scope.spawn(move || assert_eq!(call(admin_addr, "POST", path, &body).0, 200));
                }
            });
            let line = format!("balancer.cache_hosts_excluded:{excluded}|g");
            wait_until(|| {
                admin_addrs
                    .iter()
                    .all(|admin_addr| call(*admin_addr, "GET", "/metrics", "").1.contains(&line))
            });
        }
    }
}

#[test]
fn stalled_disk_blocks_neither_traffic_nor_admin_calls() {
    let platform = Platform::with_admin_endpoint(2);
    let admin_addr = platform.balancer.admin_addr.unwrap();
    let temporary_file =
        platform.balancer.folder.join(format!("spindlebeam-orders.{}.new", platform.balancer.process_id()));
    let pipe = create_stalled_file(temporary_file);
    let body = r#"{"who":"s-0"}"#;
    assert_eq!(
        call(admin_addr, "POST", "/cache-hosts/disable", body),
        (202, r#"{"done":true,"kept":false}"#.into())
    );
    let mut client = platform.balancer.client();
    for n in 0..20 {
        client.get("leer", &n.to_string());
        let (peer, request) = next_request_of_any(&platform.peers);
        assert_eq!(peer, 1, "the override is in force although it is not stored");
        request.respond_value("v");
        assert_eq!(client.read_answer(), "v");
    }
    assert_eq!(call(admin_addr, "GET", "/ready", "").0, 200);
    let written = std::fs::read_to_string(pipe).unwrap(); // unblocks the write
    assert!(written.contains("s-0"), "{written}");
}

#[test]
fn start_waits_for_overrides_on_stalled_disk() {
    let (peers, _discovery, config) = two_cache_nodes();
    let env = ProcessEnv::with_socket();
    let pipe = create_stalled_file(env.folder.join("spindlebeam-orders.json"));
    let balancer = Balancer::start_in(&env, &config);
    balancer.wait_for_log("discovery: s-1 is Ready");
    let (status, reason) = call(balancer.admin_addr.unwrap(), "GET", "/ready", "");
    assert!(status == 503 && reason.contains("what was ordered before"), "{status} {reason}");
    std::fs::write(pipe, r#"{"version":1,"out":{"s-0":7},"back":{},"draining":false}"#).unwrap();
    balancer.wait_for_log("loaded from the previous process");
    balancer.wait_for_log("accepting from the inherited socket");
    let mut client = env.client();
    for n in 0..20 {
        client.get("leer", &n.to_string());
        let (peer, request) = next_request_of_any(&peers);
        assert_eq!(peer, 1, "s-0 is disabled");
        request.respond_value("v");
        assert_eq!(client.read_answer(), "v");
    }
}

/// The new process cannot read the overrides file at first. It waits until it can, and then applies the drain.
#[test]
fn start_waits_until_overrides_are_readable() {
    let peer = Peer::start(false);
    let discovery = Discovery::start(list(1, true, &[member("s-0", peer.addr, "ready")]));
    let mut config = config(discovery.addr, 1024, Value::Null);
    config["operator"] = "127.0.0.1:0".into();
    let env = ProcessEnv::with_socket();
    let file = env.folder.join("spindlebeam-orders.json");
    std::fs::create_dir(&file).unwrap(); // reading a directory fails
    let balancer = Balancer::start_in(&env, &config);
    balancer.wait_for_log("cannot be read");
    let (status, reason) = call(balancer.admin_addr.unwrap(), "GET", "/ready", "");
    assert!(status == 503 && reason.contains("what was ordered before"), "{status} {reason}");
    std::fs::remove_dir(&file).unwrap();
    let new = file.with_extension("new");
    std::fs::write(&new, r#"{"version":1,"out":{},"back":{},"draining":true}"#).unwrap();
    std::fs::rename(&new, &file).unwrap(); // renamed into place: a partly written file would be set aside
    balancer.wait_for_log("draining");
    balancer.wait_for_log("accepting from the inherited socket");
    let mut client = env.client();
    client.send(&["PING"]);
    assert_eq!(client.read_answer(), "-DRAINING");
}
