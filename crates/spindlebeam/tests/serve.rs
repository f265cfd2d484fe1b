//! The program between clients, scripted cache nodes, an origin and discovery.

mod platform;
use platform::*;
use rstest::rstest;
use serde_json::Value;
use std::time::Instant;
use upstream::connection::REST_PERIOD;

#[test]
fn miss_is_fetched_from_origin_and_served_unchanged() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.get_with_id("9b1f03aa5c7e2d41", "leer", "7f3a9c21e0b4d655");
    let request = platform.peers[0].next_request();
    assert_eq!(request.words[..3], ["CACHE.GET", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41"]);
    let ms: u64 = request.words[3]
        .strip_prefix("c=leer,t=acme,d=")
        .expect("options in the form c=leer,t=acme,d=MS")
        .parse()
        .unwrap();
    assert!(0 < ms && ms <= 60_000, "the remaining time of the request: {ms}");
    request.respond_miss();
    let fetch = platform.origin.next_request();
    assert_eq!(fetch.words[0], "GET /7f3a9c21e0b4d655 HTTP/1.1");
    assert!(fetch.words.contains(&"Req-Id: 9b1f03aa5c7e2d41".to_owned()), "{:?}", fetch.words);
    assert!(
        fetch.words.iter().any(|line| line.starts_with("Req-Extra: c=leer,t=acme,d=")),
        "{:?}",
        fetch.words
    );
    fetch.respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(client.read_answer(), "abcde");
    assert!(platform.peers[0].has_no_more_requests() && platform.origin.has_no_more_requests());
}

#[test]
fn write_is_sent_to_origin_with_value_and_key() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.set("alta", "solicitud");
    let put = platform.origin.next_request();
    assert_eq!(
        (put.words[0].as_str(), put.words.last().unwrap().as_str()),
        ("PUT /7f HTTP/1.1", "solicitud")
    );
    assert!(
        put.words.iter().any(|l| l.starts_with("Req-Extra: ") && l.ends_with(",k=5c0f")),
        "{:?}",
        put.words
    );
    put.respond_http("200 OK", "recibo");
    assert_eq!(client.read_answer(), "recibo");
}

#[test]
fn rejection_by_the_only_cache_node_is_a_refusal() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    platform.peers[0].next_request().respond("-BUSY\r\n");
    assert!(client.read_answer().starts_with("-BUSY"));
}

#[test]
fn read_is_retried_at_another_node_after_resets() {
    let platform = Platform::start(2);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    client.get("leer", &key);
    platform.peers[0].next_request().hang_up(); // on a reused connection: retried at the same node
    platform.peers[0].next_request().hang_up(); // on a new connection
    platform.peers[1].next_request().respond_value("desde el otro");
    assert_eq!(client.read_answer(), "desde el otro");
}

#[test]
fn malformed_response_closes_connection_and_read_is_retried() {
    let platform = Platform::start(2);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    client.get("leer", &key);
    platform.peers[0].next_request().respond("?no such thing\r\n");
    assert!(platform.peers[0].next_is_close());
    platform.peers[1].next_request().respond_value("v");
    assert_eq!(client.read_answer(), "v");
}

#[test]
fn fragile_write_that_may_have_run_is_not_retried() {
    for broken in [true, false] {
        let platform = Platform::start(1);
        let mut client = platform.balancer.client();
        client.set("folio", "f");
        let put = platform.origin.next_request();
        if broken {
            put.hang_up()
        } else {
            put.respond_http("500 Internal Server Error", "")
        }
        assert_eq!(client.read_answer(), "-ERR failed");
        assert!(platform.origin.has_no_more_requests());
    }
}

/// Guards against serving a request with a late second copy of the response before it on the same connection: the next
/// request crosses the copy, and the connection stays one response behind.
#[rstest]
fn late_second_response_is_not_read_as_response_to_next_request(#[values(false, true)] is_write: bool) {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    let (endpoint, response) = if is_write {
        (&platform.origin, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nuno")
    } else {
        (&platform.peers[0], "*3\r\n$3\r\nuno\r\n$3\r\nhit\r\n$-1\r\n")
    };
    let send = |client: &mut Client, text: &str| {
        if is_write {
            client.set("alta", text)
        } else {
            client.get("leer", text)
        };
        endpoint.next_request()
    };
    let mut first = send(&mut client, "1");
    let responded_at = Instant::now();
    first.write_part(response);
    assert_eq!(client.read_answer(), "uno");
    let second = send(&mut client, "2");
    if second.shares_connection_with(&first) {
        return assert!(responded_at.elapsed() >= REST_PERIOD, "reused while a second copy may be under way");
    }
    first.write_part(response);
    if is_write {
        second.respond_http("200 OK", "dos")
    } else {
        second.respond_value("dos")
    }
    assert_eq!(client.read_answer(), "dos");
}

/// Guards against a request that runs twice though it must not: a late second copy of "declined", for the request
/// before it on the same connection, was taken as proof that it never ran.
#[test]
fn late_second_decline_does_not_repeat_fragile_write() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    let declined = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    client.get("leer", "1");
    platform.peers[0].next_request().respond_miss();
    let mut fetch = platform.origin.next_request();
    fetch.write_part(declined);
    assert!(client.read_answer().starts_with('-'), "a declined fetch is not repeated");
    wait_until_rested();
    client.set("folio", "b");
    let write = platform.origin.next_request();
    fetch.write_part(declined);
    write.respond_http("200 OK", "recibo");
    assert_eq!(client.read_answer(), "recibo");
    assert!(platform.origin.has_no_more_requests());
}

#[test]
fn fragile_write_declined_by_origin_is_retried() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.set("folio", "f");
    platform.origin.next_request().respond_http("503 Service Unavailable\r\nSrv-Declined: 1", "");
    platform.origin.next_request().respond_http("200 OK", "recibo");
    assert_eq!(client.read_answer(), "recibo");
}

#[test]
fn timed_out_attempt_is_closed_and_retried_elsewhere() {
    let platform = Platform::start(2);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    platform.peers[0].clear_connections();
    client.get("prisa", &key); // times out at half its latency objective
    let _unanswered = platform.peers[0].next_request();
    platform.peers[1].next_request().respond_value("v");
    assert_eq!(client.read_answer(), "v");
    assert!(platform.peers[0].next_is_close(), "the timed-out attempt is cancelled");
    // The closed connection is replaced before the next request needs it.
    assert!(platform.peers[0].wait_for_connection());
    client.get("leer", &key);
    platform.peers[0].next_request().respond_value("w");
    assert_eq!(client.read_answer(), "w");
}

#[test]
fn attempt_is_cancelled_when_its_client_leaves() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    let _unanswered = platform.peers[0].next_request();
    drop(client);
    assert!(platform.peers[0].next_is_close());
}

#[test]
fn answers_follow_the_order_of_the_commands() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    let first = platform.peers[0].next_request();
    client.get("leer", "2");
    client.send(&["PING"]);
    let second = platform.peers[0].next_request();
    second.respond_value("dos");
    first.respond_value("uno");
    assert_eq!([client.read_answer(), client.read_answer(), client.read_answer()], ["uno", "dos", "+PONG"]);
}

#[test]
fn pipelined_command_is_sent_once_an_earlier_one_is_answered() {
    // Guards against stalled commands: surplus commands were processed only after all open requests were answered.
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    (0..33).for_each(|n| client.set("alta", &n.to_string()));
    let mut request: Vec<PeerRequest> = (0..32).map(|_| platform.origin.next_request()).collect();
    let first = request.iter().position(|put| put.words.last().unwrap() == "0").unwrap();
    request.swap_remove(first).respond_http("200 OK", "recibo");
    assert_eq!(platform.origin.next_request().words.last().unwrap(), "32", "with 31 still waiting");
    assert_eq!(client.read_answer(), "recibo");
}

#[test]
fn requests_beyond_the_memory_limit_are_refused() {
    // A third of 2 MiB holds ten of the longest answers, and many more of the usual length until a long one has been
    // seen.
    let platform = Platform::with_limits(1, 2, 1024, 1024);
    let mut client = platform.balancer.client();
    (0..12).for_each(|_| client.set("alta", "x"));
    let request: Vec<PeerRequest> = (0..12).map(|_| platform.origin.next_request()).collect();
    let long = "r".repeat(64 * 1024);
    request.into_iter().for_each(|put| put.respond_http("200 OK", &long));
    (0..12).for_each(|_| assert_eq!(client.read_answer(), long));
    (0..12).for_each(|_| client.set("alta", "x"));
    let request: Vec<PeerRequest> = (0..10).map(|_| platform.origin.next_request()).collect();
    request.into_iter().for_each(|put| put.respond_http("200 OK", "recibo"));
    (0..10).for_each(|_| assert_eq!(client.read_answer(), "recibo"));
    assert_eq!([client.read_answer(), client.read_answer()], ["-BUSY", "-BUSY"]);
    assert!(platform.origin.has_no_more_requests());
}

#[test]
fn draining_node_gets_no_new_requests_and_finishes_open_ones() {
    let mut platform = Platform::start(2);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    client.get("leer", &key);
    let kept = platform.peers[0].next_request();
    push(&mut platform.watch, ""); // nothing changed
    push(
        &mut platform.watch,
        &list(2, false, &[member("s-0", platform.peers[0].addr, "draining")]).to_string(),
    );
    platform.balancer.wait_for_log("s-0 is Draining");
    let mut other = platform.balancer.client();
    other.get("leer", &key);
    platform.peers[1].next_request().respond_value("nuevo");
    assert_eq!(other.read_answer(), "nuevo");
    kept.respond_value("viejo");
    assert_eq!(client.read_answer(), "viejo");
    assert!(platform.peers[0].has_no_more_requests());
}

#[test]
fn malformed_watch_line_restarts_watch_at_last_revision() {
    let mut platform = Platform::start(1);
    let paths = |n| (0..n).map(|_| platform.discovery.next_path()).collect::<Vec<_>>();
    assert_eq!(paths(2), ["/v1/endpoints", "/v1/endpoints?watch=1&from=1"]);
    push(&mut platform.watch, &list(5, false, &[]).to_string());
    push(&mut platform.watch, "{\"revision\": tomorrow}");
    platform.balancer.wait_for_log("keeping the last endpoint list");
    assert_eq!(paths(1), ["/v1/endpoints?watch=1&from=5"]);
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    platform.peers[0].next_request().respond_value("v");
    assert_eq!(client.read_answer(), "v");
}

#[test]
fn sighup_moves_watch_without_losing_clients_or_requests() {
    let mut platform = Platform::start(2);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    client.get("leer", &key);
    let kept = platform.peers[0].next_request();

    // An invalid file changes nothing: the old watch is still followed.
    platform.balancer.reload("{\"name\": ");
    platform.balancer.wait_for_log("the configuration in use stays");
    push(
        &mut platform.watch,
        &list(40, false, &[member("s-9", platform.peers[1].addr, "draining")]).to_string(),
    );
    platform.balancer.wait_for_log("s-9 is Draining");

    // The list of the new agent has revision 3 and lacks the first cache node; the old agent is disconnected.
    let members =
        [member("origin", platform.origin.addr, "ready"), member("s-1", platform.peers[1].addr, "ready")];
    let other = Discovery::start(list(3, true, &members));
    let mut changed = config(other.addr, 1024, Value::Null);
    changed["limits"]["memory_mb"] = 96.into();
    platform.balancer.reload(&changed.to_string());
    platform.balancer.wait_for_log("limits changed in the file; in use after a restart");
    platform.balancer.wait_for_log(&format!("discovery is now at {}", other.addr));
    assert_eq!([other.next_path(), other.next_path()], ["/v1/endpoints", "/v1/endpoints?watch=1&from=3"]);
    assert_eq!(std::io::Read::read(&mut platform.watch, &mut [0]).unwrap(), 0, "the old watch is closed");
    let mut watch = other.next_watch();
    push(&mut watch, &list(4, false, &[member("s-8", platform.peers[1].addr, "draining")]).to_string());
    platform.balancer.wait_for_log("s-8 is Draining");

    kept.respond_value("tomado antes");
    assert_eq!(client.read_answer(), "tomado antes", "answered on the connection of the request");
    client.get("leer", &key);
    platform.peers[1].next_request().respond_value("ahora");
    assert_eq!(client.read_answer(), "ahora");
    assert!(platform.peers[0].has_no_more_requests());
}

#[test]
fn old_list_is_kept_until_new_discovery_agent_has_one() {
    let platform = Platform::start(1);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    platform.balancer.reload(&config(silent.local_addr().unwrap(), 1024, Value::Null).to_string());
    drop(silent.accept().unwrap()); // the new agent is called, and closes the connection without an answer
    platform.balancer.wait_for_log("keeping the last endpoint list");
    let _asked_again = silent.accept().unwrap();
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    platform.peers[0].next_request().respond_value("v");
    assert_eq!(client.read_answer(), "v");
}

#[test]
fn known_list_is_used_while_discovery_is_silent() {
    let peer = Peer::start(false);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let known = list(7, true, &[member("s-0", peer.addr, "ready")]);
    let balancer = Balancer::start(&config(silent.local_addr().unwrap(), 1024, known), 1024);
    balancer.wait_for_log("silent");
    let mut client = balancer.client();
    client.send(&["PING"]);
    assert_eq!(client.read_answer(), "+PONG");
    client.get("leer", "1");
    peer.next_request().respond_value("v");
    assert_eq!(client.read_answer(), "v");
}

#[test]
fn sigterm_answers_accepted_requests_and_exits_with_success() {
    let mut platform = Platform::start(1);
    let (mut busy, mut idle) = (platform.balancer.client(), platform.balancer.client());
    idle.send(&["PING"]);
    assert_eq!(idle.read_answer(), "+PONG");
    busy.get("leer", "1");
    let request = platform.peers[0].next_request();
    platform.balancer.terminate();
    platform.balancer.wait_for_log("shutting down gracefully");
    assert!(idle.reads_end());
    request.respond_value("v");
    assert_eq!(busy.read_answer(), "v");
    assert!(busy.reads_end());
    assert!(platform.balancer.wait_for_exit().success());
}

#[test]
fn id_of_an_open_request_is_rejected_and_not_run_again() {
    let platform = Platform::start(1);
    let (mut client, mut other) = (platform.balancer.client(), platform.balancer.client());
    client.get_with_id("9b1f", "leer", "1");
    let first = platform.peers[0].next_request();
    other.get_with_id("9b1f", "leer", "1");
    assert_eq!(other.read_answer(), "-ERR a request with this id is open");
    first.respond_value("v");
    assert_eq!(client.read_answer(), "v");
    assert!(platform.peers[0].has_no_more_requests());
    other.get_with_id("9b1f", "leer", "2");
    platform.peers[0].next_request().respond_value("w");
    assert_eq!(other.read_answer(), "w", "the id is free again");
}

#[test]
fn silent_and_partial_clients_are_closed_but_not_idle_ones() {
    let platform = Platform::start(1);
    let mut idle = platform.balancer.client();
    idle.send(&["PING"]);
    assert_eq!(idle.read_answer(), "+PONG");
    let (mut silent, mut partial) = (platform.balancer.client(), platform.balancer.client());
    partial.write_raw(b"*4\r\n$9\r\nCACHE.GET\r\n");
    assert!(silent.reads_end());
    assert_eq!(partial.read_answer(), "-ERR the command did not end in time");
    assert!(partial.reads_end());
    idle.send(&["PING"]);
    assert_eq!(idle.read_answer(), "+PONG", "a client that had sent a command may be idle for longer");
}

#[test]
fn client_that_keeps_sending_after_an_error_can_read_it() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.write_raw(
        b"*5\r\n$9\r\nCACHE.SET\r\n$1\r\n7\r\n$1\r\n8\r\n$17\r\nc=alta,t=acme,d=90\r\n$60000000\r\n",
    );
    client.write_raw(&vec![b'x'; 1 << 20]); // more than socket buffers hold, so the balancer must read it
    assert_eq!(client.read_answer(), "-ERR malformed command");
    assert!(client.reads_end());
}

#[test]
fn surplus_bytes_after_a_response_are_discarded() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    let value = "*3\r\n$3\r\nuno\r\n$3\r\nhit\r\n$-1\r\n";
    platform.peers[0].next_request().respond(&[value, value].concat());
    assert_eq!(client.read_answer(), "uno");
    client.get("leer", "2");
    assert!(platform.peers[0].next_is_close(), "the connection is not reused");
    platform.peers[0].next_request().respond_value("dos");
    assert_eq!(client.read_answer(), "dos");
}

#[test]
fn invalid_input_is_answered_and_bad_framing_closes() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    for (words, error) in [
        (&["NO.SUCH"][..], "-ERR unknown command"),
        (&["CACHE.GET", "1", "2"], "-ERR wrong number of arguments"),
        (&["CACHE.GET", "xyz", "2", "c=leer,t=acme,d=5"], "-ERR bad key"),
        (&["CACHE.GET", "1", "2", "c=nada,t=acme,d=5"], "-ERR unknown class"),
        (&["CACHE.GET", "1", "2", "c=leer,t=acme,d=5,z=1"], "-ERR unknown option"),
        (&["CACHE.GET", "1", "2", "c=leer,t=acme,d=soon"], "-ERR bad time"),
        (&["CACHE.GET", "1", "2", "c=leer,t=acme,d=-5"], "-ERR bad time"),
        (&["CACHE.GET", "1", "2", "c=leer,t=acme,d=NaN"], "-ERR bad time"),
        (&["CACHE.GET", "1", "2", "c=leer,t=acme,d=99999999999999"], "-ERR bad time"),
        (&["CACHE.GET", "1", "", "c=leer,t=acme,d=5"], "-ERR bad id or options"),
        (&["CACHE.GET", "1", "2\r\nForged: 1", "c=leer,t=acme,d=5"], "-ERR bad id or options"),
        (&["HELLO", "3"], "-ERR unknown command"),
        (&["SELECT", "0"], "+OK"),
    ] {
        client.send(words);
        assert_eq!(client.read_answer(), error, "{words:?}");
    }
    for (bytes, error) in [
        (&b"GET / HTTP/1.1\r\n\r\n"[..], "-ERR malformed command"),
        (b"*1\r\n$70000\r\n", "-ERR command too long"),
        (b"*1\r\n$60000000\r\n", "-ERR malformed command"),
        (b"*-3\r\n", "-ERR malformed command"),
        (b"*1\r\n$-1\r\n", "-ERR malformed command"),
    ] {
        let mut client = platform.balancer.client();
        client.write_raw(bytes);
        assert_eq!(client.read_answer(), error, "{bytes:?}");
        assert!(client.reads_end());
    }
    client.send(&["PING"]);
    assert_eq!(client.read_answer(), "+PONG", "other connections are still served");
    assert!(platform.peers[0].has_no_more_requests());
}

#[test]
fn clients_beyond_the_slots_replace_idle_ones() {
    // First 57 slots for clients, then fewer descriptors than configured, so that accepting fails.
    for (sockets, descriptors, slots) in [(64 + 64, 1024, 57), (1024, 40, 40)] {
        let platform = Platform::with_limits(1, 192, sockets, descriptors);
        let mut clients: Vec<Client> = Vec::new();
        for _ in 0..100 {
            let mut client = platform.balancer.client();
            client.send(&["PING"]);
            assert_eq!(client.read_answer(), "+PONG");
            clients.push(client);
        }
        // Which clients are closed is not defined: a few are kept longer to observe whether clients reuse connections.
        wait_until(|| clients.iter().filter(|client| client.is_closed()).count() >= 100 - slots);
        clients[99].send(&["PING"]);
        assert_eq!(clients[99].read_answer(), "+PONG", "the last client has a slot");
    }
}

#[test]
fn single_request_clients_are_closed_before_slots_are_full() {
    let platform = Platform::with_limits(1, 192, 64 + 64, 1024); // 57 slots, 7 of them on probation
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..40 {
        let mut client = platform.balancer.client();
        client.send(&["PING"]);
        assert_eq!(client.read_answer(), "+PONG");
        clients.push(client);
    }
    assert!(clients[8].reads_end(), "no client has reused its connection");
    clients[39].send(&["PING"]);
    assert_eq!(clients[39].read_answer(), "+PONG", "the last client may still reuse its connection");
}

#[test]
fn invalid_configuration_ends_program_with_one_line() {
    let usable = config("127.0.0.1:1".parse().unwrap(), 1024, Value::Null);
    let broken = |edit: fn(&mut Value)| {
        let mut config = usable.clone();
        edit(&mut config);
        config.to_string()
    };
    for text in [
        "{".to_owned(),
        broken(|c| c["settings"]["profiles"] = Value::Null),
        broken(|c| c["settings"]["overShareWorth"] = (-1).into()),
        broken(|c| c["limits"]["sockets"] = 20.into()),
        broken(|c| c["listen"] = "nowhere".into()),
    ] {
        let out = spawn(&text, 1024).0.wait_with_output().unwrap();
        let output = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && output.lines().count() == 1, "{output}");
        assert!(output.starts_with("spindlebeam: configuration "), "{output}");
    }
}
