//! The door for operators, on the program as a process between peers that follow a script.

mod platform;
use platform::*;
use rstest::rstest;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

#[test]
fn the_door_tells_yes_and_no_and_why() {
    let p = Platform::with_door(1);
    let door = p.balancer.door.unwrap();
    assert_eq!(call(door, "GET", "/ready", ""), (200, "{\"ready\":true}".into()));
    for (method, path, status, why) in [
        ("POST", "/ready", 405, "takes GET"),
        ("PUT", "/metrics", 405, "takes GET"),
        ("GET", "/", 404, "no such call"),
    ] {
        let (found, body) = call(door, method, path, "");
        assert!(found == status && body.contains(why), "{method} {path}: {found} {body}");
    }
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut waiting = config(silent.local_addr().unwrap(), 1024, serde_json::Value::Null);
    waiting["operator"] = "127.0.0.1:0".into();
    let balancer = Balancer::start(&waiting, 1024);
    let (status, body) = call(balancer.door.unwrap(), "GET", "/ready", "");
    assert!(status == 503 && body.contains("has not come"), "{status} {body}");
}

#[test]
fn a_call_is_answered_past_a_hundred_callers_who_do_not_finish_theirs() {
    let p = Platform::with_door(1);
    let door = p.balancer.door.unwrap();
    let callers: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut stream = TcpStream::connect(door).unwrap();
            stream.write_all(if n % 2 == 0 { b"" } else { b"GET /metrics HT" }).unwrap();
            stream
        })
        .collect();
    assert_eq!(call(door, "GET", "/ready", "").0, 200);
    p.balancer.logged("operators: closed a silent connection for a new one");
    let first = &mut &callers[0];
    first.set_read_timeout(Some(PATIENCE)).unwrap();
    assert!(first.read(&mut [0]).is_ok_and(|n| n == 0) || first.peek(&mut [0]).is_err(), "it gave way");
}

#[test]
fn figures_are_what_clients_and_peers_saw() {
    let p = Platform::with_door(1);
    let mut client = p.balancer.client();
    for n in 0..3 {
        client.get("leer", &n.to_string());
        p.peers[0].asked().value("v");
        assert_eq!(client.answer(), "v");
    }
    client.get("leer", "a");
    p.peers[0].asked().answer("-BUSY\r\n");
    assert!(client.answer().starts_with("-BUSY"));
    client.set("folio", "f");
    p.origin.asked().http("500 Internal Server Error", "");
    assert_eq!(client.answer(), "-ERR failed");
    let counted = ["served.leer", "refused.leer", "failed.leer", "failed.folio", "served.alta", "attempts"];
    assert_eq!(counted.map(|name| p.figure(name)), [3, 1, 0, 1, 0, 5], "{counted:?}");
    assert_eq!((p.figure("cache_hosts_known"), p.figure("cache_hosts_excluded")), (1, 0));

    client.get("leer", "b");
    let asked = p.peers[0].asked();
    assert_eq!(p.figure("in_flight"), 1);
    drop(client);
    assert!(p.peers[0].closed());
    assert_eq!(p.figure("in_flight"), 0, "its client has left");
    drop(asked);
}

#[test]
fn nothing_goes_to_a_host_out_by_hand_whatever_lists_say_until_it_is_called_back() {
    let mut p = Platform::with_door(2);
    let key = p.key_of(0);
    let mut client = p.balancer.client();
    let mut served_by = |p: &Platform, peer: usize| {
        client.get("leer", &key);
        p.peers[peer].asked().value("v");
        assert_eq!(client.answer(), "v");
    };
    for _ in 0..2 {
        p.balancer.order("/cache-hosts/disable", "s-0");
    }
    served_by(&p, 1);
    assert_eq!((p.figure("cache_hosts_known"), p.figure("cache_hosts_excluded")), (2, 1));
    let members = [member("s-0", p.peers[0].addr, "ready"), member("s-1", p.peers[1].addr, "ready")];
    push(&mut p.watch, &list(2, false, &members).to_string());
    push(&mut p.watch, &list(3, false, &[member("s-2", p.peers[1].addr, "gone")]).to_string());
    push(&mut p.watch, &list(4, false, &[member("s-3", p.peers[1].addr, "draining")]).to_string());
    p.balancer.logged("s-3 is Draining"); // what came before it has been heard
    served_by(&p, 1);
    assert!(p.peers[0].heard_of_nothing_more());
    // Back, the host is cold: it is given its part of the reads, which comes within the first few.
    p.balancer.order("/cache-hosts/enable", "s-0");
    let back = (0..100).any(|n| {
        client.get("leer", &format!("{n:x}"));
        let (peer, asked) = next_asked(&p.peers);
        asked.value("v");
        client.answer() == "v" && peer == 0
    });
    assert!(back, "one call back undoes two calls out");
}

#[test]
fn orders_that_cannot_be_carried_out_are_owed_a_no_with_its_reason() {
    let p = Platform::with_door(1);
    let door = p.balancer.door.unwrap();
    for (body, status, why) in [
        ("{\"who\":\"nadie\"}", 404, "no cache host has the id"),
        ("{\"who\":\"origin\"}", 404, "no cache host has the id"),
        ("{\"who\":7}", 400, "invalid type"),
        ("{}", 400, "missing field `who`"),
        ("{\"who\":", 400, "wanted"),
        (&"x".repeat(5_000), 413, "more than 4096 bytes"),
    ] {
        for path in ["/cache-hosts/disable", "/cache-hosts/enable"] {
            let (found, text) = call(door, "POST", path, body);
            assert!(found == status && text.contains(why), "{path} {body}: {found} {text}");
        }
    }
    assert_eq!(call(door, "GET", "/drain", "").0, 405);

    // The folder is gone: what cannot be kept for the next process is not in force.
    std::fs::remove_dir_all(&p.balancer.folder).unwrap();
    let (status, text) = call(door, "POST", "/cache-hosts/disable", "{\"who\":\"s-0\"}");
    assert!(status == 500 && text.contains("could not be written"), "{status} {text}");
    assert_eq!(p.figure("cache_hosts_excluded"), 0);
}

/// What is wrong with a call to drain.
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

/// It is owed its 4xx within 1 s, and drains nothing.
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
fn bad_call_to_drain_is_answered_in_time_and_drains_nothing(
    #[case] bad: BadCall, #[case] call: &str, #[case] status: u16,
) {
    let p = Platform::with_door(1);
    let mut stream = TcpStream::connect(p.balancer.door.unwrap()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    stream.write_all(call.as_bytes()).unwrap();
    if matches!(bad, BadCall::HeadCutShort | BadCall::BodyCutShort) {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    if bad == BadCall::BodyTooLong {
        let _ = stream.write_all(&[b' '; 300_000]); // what lies unread as the answer is on its way resets none of it
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap_or_else(|error| panic!("{bad:?}: {error} behind {answer:?}"));
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{bad:?}: {answer:?}");
    let mut client = p.balancer.client();
    client.send(&["PING"]);
    assert_eq!(client.answer(), "+PONG", "{bad:?}");
}

#[test]
fn a_drain_answers_what_came_closes_all_and_ends_without_a_restart() {
    let p = Platform::with_door(1);
    let (mut busy, mut idle) = (p.balancer.client(), p.balancer.client());
    idle.send(&["PING"]);
    assert_eq!(idle.answer(), "+PONG");
    busy.get("leer", "1");
    let asked = p.peers[0].asked();
    p.balancer.order("/drain", "");
    p.balancer.logged("draining");
    idle.send(&["PING"]);
    assert_eq!(idle.answer(), "-DRAINING");
    assert_eq!(call(p.balancer.door.unwrap(), "GET", "/ready", "").0, 503);
    let mut late = p.balancer.client(); // still coming
    late.get("leer", "2");
    p.peers[0].asked().value("w");
    assert_eq!(late.answer(), "w");
    assert!(late.ended(), "right behind its answer");
    asked.value("v");
    assert_eq!(busy.answer(), "v");
    assert!(busy.ended() && idle.ended());
    p.balancer.order("/undrain", "");
    let mut client = p.balancer.client();
    client.send(&["PING"]);
    assert_eq!(client.answer(), "+PONG");
    client.get("leer", "3");
    p.peers[0].asked().value("x");
    assert_eq!(client.answer(), "x");
    client.send(&["PING"]);
    assert_eq!(client.answer(), "+PONG", "connections are kept again");
}

#[test]
fn a_replacement_loses_no_connection_and_keeps_what_was_ordered() {
    let (peers, origin) = ([(); 3].map(|()| Peer::start(false)), Peer::start(true));
    let mut members = vec![member("origin", origin.addr, "ready")];
    members.extend((0..3).map(|n| member(&format!("s-{n}"), peers[n].addr, "ready")));
    let discovery = Discovery::start(list(1, true, &members));
    let mut config = config(discovery.addr, 1024, Value::Null);
    config["operator"] = "127.0.0.1:0".into();
    let home = Home::new();
    let old = Balancer::start_at(&home, &config);
    old.logged("accepting from the inherited socket");
    old.order("/cache-hosts/disable", "s-0");
    let mut kept = home.client();
    kept.get("leer", "1");
    let (_, asked) = next_asked(&peers[1..]);
    assert!(peers[0].heard_of_nothing_more());

    let new = Balancer::start_at(&home, &config);
    new.logged("accepting from the inherited socket");
    assert_eq!(call(new.door.unwrap(), "GET", "/ready", "").0, 200);
    // Both are one balancer: what the one is ordered, the other does.
    new.order("/cache-hosts/disable", "s-1");
    new.order("/cache-hosts/enable", "s-0");
    old.logged("discovery: s-0 is Ready");
    old.terminate();
    old.logged("another process serves");
    for n in 2..20 {
        let mut client = home.client(); // none is refused, reset or left unread
        client.get("leer", &n.to_string());
        let (peer, asked) = next_asked(&peers);
        assert_ne!(peer, 1, "out by hand");
        asked.value("v");
        assert_eq!(client.answer(), "v");
    }
    asked.value("tomado antes");
    assert_eq!(kept.answer(), "tomado antes");
    assert!(kept.ended());
    old.logged(": done");
}

#[test]
fn a_descriptor_that_is_no_listening_socket_ends_the_start_with_its_name() {
    for (socket, why) in
        [("8", "PROXY_FD: descriptor 8 is no listening TCP socket"), ("x", "PROXY_FD: \"x\"")]
    {
        let mut home = Home::new();
        home.number = socket;
        let config = config("127.0.0.1:1".parse().unwrap(), 1024, Value::Null).to_string();
        let out = home.spawn(&config, 1024).0.wait_with_output().unwrap();
        let said = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && said.lines().count() == 1 && said.contains(why), "{said}");
    }
}

#[test]
fn a_drain_goes_over_a_replacement_and_ends_at_either_door() {
    let peer = Peer::start(false);
    let discovery = Discovery::start(list(1, true, &[member("s-0", peer.addr, "ready")]));
    let mut config = config(discovery.addr, 1024, Value::Null);
    config["operator"] = "127.0.0.1:0".into();
    let home = Home::new();
    let old = Balancer::start_at(&home, &config);
    old.logged("accepting from the inherited socket");
    old.order("/drain", "");
    old.order("/drain", "");
    let new = Balancer::start_at(&home, &config);
    new.logged("accepting from the inherited socket");
    let (status, why) = call(new.door.unwrap(), "GET", "/ready", "");
    assert!(status == 503 && why.contains("draining"), "{status} {why}");
    old.order("/undrain", "");
    new.logged("drain ended");
    assert_eq!(call(new.door.unwrap(), "GET", "/ready", "").0, 200);
    let mut client = home.client();
    client.send(&["PING"]);
    assert_eq!(client.answer(), "+PONG");
}

/// Two cache nodes, their discovery, and the configuration of a balancer that operators call.
fn two_cache_nodes() -> ([Peer; 2], Discovery, Value) {
    let peers = [(); 2].map(|()| Peer::start(false));
    let members = [0, 1].map(|n| member(&format!("s-{n}"), peers[n].addr, "ready"));
    let discovery = Discovery::start(list(1, true, &members));
    let mut config = config(discovery.addr, 1024, Value::Null);
    config["operator"] = "127.0.0.1:0".into();
    (peers, discovery, config)
}

/// Two processes of one balancer are given an order each at the same moment, again and again: all are in force in both.
#[test]
fn orders_given_to_both_processes_at_once_are_in_force_in_both() {
    let (_peers, _discovery, config) = two_cache_nodes();
    let home = Home::new();
    let both = [(); 2].map(|()| {
        let process = Balancer::start_at(&home, &config);
        process.logged("accepting from the inherited socket");
        process
    });
    let doors = [0, 1].map(|n| both[n].door.unwrap());
    for _ in 0..20 {
        for (path, excluded) in [("/cache-hosts/disable", 2), ("/cache-hosts/enable", 0)] {
            std::thread::scope(|scope| {
                for (door, host) in doors.into_iter().zip(["s-0", "s-1"]) {
                    let body = format!("{{\"who\":\"{host}\"}}");
                    scope.spawn(move || assert_eq!(call(door, "POST", path, &body).0, 200));
                }
            });
            let line = format!("balancer.cache_hosts_excluded:{excluded}|g");
            wait_until(|| doors.iter().all(|door| call(*door, "GET", "/metrics", "").1.contains(&line)));
        }
    }
}

#[test]
fn a_disk_that_stands_still_stops_neither_traffic_nor_the_door() {
    let p = Platform::with_door(2);
    let door = p.balancer.door.unwrap();
    let aside = p.balancer.folder.join(format!("spindlebeam-orders.{}.new", p.balancer.process()));
    let disk = stands_still(aside);
    let body = r#"{"who":"s-0"}"#;
    assert_eq!(
        call(door, "POST", "/cache-hosts/disable", body),
        (202, r#"{"done":true,"kept":false}"#.into())
    );
    let mut client = p.balancer.client();
    for n in 0..20 {
        client.get("leer", &n.to_string());
        let (peer, asked) = next_asked(&p.peers);
        assert_eq!(peer, 1, "in force though it is not written");
        asked.value("v");
        assert_eq!(client.answer(), "v");
    }
    assert_eq!(call(door, "GET", "/ready", "").0, 200);
    let written = std::fs::read_to_string(disk).unwrap(); // the disk moves again
    assert!(written.contains("s-0"), "{written}");
}

#[test]
fn a_start_waits_for_what_was_ordered_before_while_the_disk_stands_still() {
    let (peers, _discovery, config) = two_cache_nodes();
    let home = Home::new();
    let disk = stands_still(home.folder.join("spindlebeam-orders.json"));
    let balancer = Balancer::start_at(&home, &config);
    balancer.logged("discovery: s-1 is Ready");
    let (status, why) = call(balancer.door.unwrap(), "GET", "/ready", "");
    assert!(status == 503 && why.contains("what was ordered before"), "{status} {why}");
    std::fs::write(disk, r#"{"version":1,"out":{"s-0":7},"back":{},"draining":false}"#).unwrap();
    balancer.logged("loaded from the previous process");
    balancer.logged("accepting from the inherited socket");
    let mut client = home.client();
    for n in 0..20 {
        client.get("leer", &n.to_string());
        let (peer, asked) = next_asked(&peers);
        assert_eq!(peer, 1, "out by hand");
        asked.value("v");
        assert_eq!(client.answer(), "v");
    }
}

/// The new process cannot read the file of orders at first: it waits, and then knows of the drain.
#[test]
fn a_start_waits_for_orders_that_cannot_be_read_as_yet() {
    let peer = Peer::start(false);
    let discovery = Discovery::start(list(1, true, &[member("s-0", peer.addr, "ready")]));
    let mut config = config(discovery.addr, 1024, Value::Null);
    config["operator"] = "127.0.0.1:0".into();
    let home = Home::new();
    let file = home.folder.join("spindlebeam-orders.json");
    std::fs::create_dir(&file).unwrap(); // a read of it fails
    let balancer = Balancer::start_at(&home, &config);
    balancer.logged("cannot be read");
    let (status, why) = call(balancer.door.unwrap(), "GET", "/ready", "");
    assert!(status == 503 && why.contains("what was ordered before"), "{status} {why}");
    std::fs::remove_dir(&file).unwrap();
    let new = file.with_extension("new");
    std::fs::write(&new, r#"{"version":1,"out":{},"back":{},"draining":true}"#).unwrap();
    std::fs::rename(&new, &file).unwrap(); // whole at once: a part of it would be put aside
    balancer.logged("draining");
    balancer.logged("accepting from the inherited socket");
    let mut client = home.client();
    client.send(&["PING"]);
    assert_eq!(client.answer(), "-DRAINING");
}
