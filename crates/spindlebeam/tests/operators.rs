//! The door for operators, on the program as a process between peers that follow a script.

mod platform;
use platform::*;
use std::io::{Read, Write};
use std::net::TcpStream;

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
    assert_eq!(counted.map(|name| p.figure(name)), [3, 1, 0, 1, 0, 4], "{counted:?}");
    assert_eq!((p.figure("cache_hosts_known"), p.figure("cache_hosts_excluded")), (1, 0));

    client.get("leer", "b");
    let asked = p.peers[0].asked();
    assert_eq!(p.figure("in_flight"), 1);
    drop(client);
    assert!(p.peers[0].closed());
    assert_eq!(p.figure("in_flight"), 0, "its client has left");
    drop(asked);
}
