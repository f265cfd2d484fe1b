//! The program as a process, spoken to over sockets, between peers that follow a script.

mod platform;
use platform::*;
use serde_json::Value;

#[test]
fn a_miss_is_fetched_from_the_origin_and_served_as_it_came() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    client.get_as("9b1f03aa5c7e2d41", "leer", "7f3a9c21e0b4d655");
    let asked = p.peers[0].asked();
    assert_eq!(asked.words[..3], ["CACHE.GET", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41"]);
    let ms: u64 =
        asked.words[3].strip_prefix("c=leer,t=acme,d=").expect("the form of clients").parse().unwrap();
    assert!(0 < ms && ms <= 60_000, "the time that the balancer will wait: {ms}");
    asked.miss();
    let fetch = p.origin.asked();
    assert_eq!(fetch.words[0], "GET /7f3a9c21e0b4d655 HTTP/1.1");
    assert!(fetch.words.contains(&"Req-Id: 9b1f03aa5c7e2d41".to_owned()), "{:?}", fetch.words);
    assert!(
        fetch.words.iter().any(|line| line.starts_with("Req-Extra: c=leer,t=acme,d=")),
        "{:?}",
        fetch.words
    );
    fetch.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(client.answer(), "abcde");
    assert!(p.peers[0].heard_of_nothing_more() && p.origin.heard_of_nothing_more());
}

#[test]
fn a_write_goes_to_the_origin_with_its_value_and_key() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    client.set("alta", "solicitud");
    let put = p.origin.asked();
    assert_eq!(
        (put.words[0].as_str(), put.words.last().unwrap().as_str()),
        ("PUT /7f HTTP/1.1", "solicitud")
    );
    assert!(
        put.words.iter().any(|l| l.starts_with("Req-Extra: ") && l.ends_with(",k=5c0f")),
        "{:?}",
        put.words
    );
    put.http("200 OK", "recibo");
    assert_eq!(client.answer(), "recibo");
}

#[test]
fn a_reject_by_the_only_peer_is_a_refusal() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    client.get("leer", "1");
    p.peers[0].asked().answer("-BUSY\r\n");
    assert!(client.answer().starts_with("-BUSY"));
}

#[test]
fn a_read_whose_peer_resets_is_tried_at_another() {
    let p = Platform::start(2);
    let key = p.key_of(0);
    let mut client = p.balancer.client();
    client.get("leer", &key);
    p.peers[0].asked().hang_up(); // on a connection that was used before: that is all it tells
    p.peers[0].asked().hang_up(); // on a new one
    p.peers[1].asked().value("desde el otro");
    assert_eq!(client.answer(), "desde el otro");
}

#[test]
fn a_bad_answer_of_a_peer_is_an_error_and_closes_its_connection() {
    let p = Platform::start(2);
    let key = p.key_of(0);
    let mut client = p.balancer.client();
    client.get("leer", &key);
    p.peers[0].asked().answer("?no such thing\r\n");
    assert!(p.peers[0].closed());
    p.peers[1].asked().value("v");
    assert_eq!(client.answer(), "v");
}

#[test]
fn a_fragile_write_that_may_have_run_fails_and_is_not_sent_again() {
    for broken in [true, false] {
        let p = Platform::start(1);
        let mut client = p.balancer.client();
        client.set("folio", "f");
        let put = p.origin.asked();
        if broken {
            put.hang_up()
        } else {
            put.http("500 Internal Server Error", "")
        }
        assert_eq!(client.answer(), "-ERR failed");
        assert!(p.origin.heard_of_nothing_more());
    }
}

#[test]
fn a_fragile_write_that_the_origin_declined_is_sent_again() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    client.set("folio", "f");
    p.origin.asked().http("503 Service Unavailable\r\nSrv-Declined: 1", "");
    p.origin.asked().http("200 OK", "recibo");
    assert_eq!(client.answer(), "recibo");
}

#[test]
fn a_try_that_timed_out_is_closed_and_another_peer_serves() {
    let p = Platform::start(2);
    let key = p.key_of(0);
    let mut client = p.balancer.client();
    p.peers[0].forget_opened();
    client.get("prisa", &key); // cut short at half its aim
    let _unanswered = p.peers[0].asked();
    p.peers[1].asked().value("v");
    assert_eq!(client.answer(), "v");
    assert!(p.peers[0].closed(), "no try of the request is out any more");
    // The connection spent is replaced before the next request needs it.
    assert!(p.peers[0].opened());
    client.get("leer", &key);
    p.peers[0].asked().value("w");
    assert_eq!(client.answer(), "w");
}

#[test]
fn a_client_that_leaves_takes_its_try_with_it() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    client.get("leer", "1");
    let _unanswered = p.peers[0].asked();
    drop(client);
    assert!(p.peers[0].closed());
}

#[test]
fn answers_follow_the_order_of_the_commands() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    client.get("leer", "1");
    let first = p.peers[0].asked();
    client.get("leer", "2");
    client.send(&["PING"]);
    let second = p.peers[0].asked();
    second.value("dos");
    first.value("uno");
    assert_eq!([client.answer(), client.answer(), client.answer()], ["uno", "dos", "+PONG"]);
}

#[test]
fn a_command_that_waited_for_a_place_is_taken_as_soon_as_one_is_free() {
    // Found by reading: what had been read beyond the places was taken up only when all were empty.
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    (0..33).for_each(|n| client.set("alta", &n.to_string()));
    let mut asked: Vec<Asked> = (0..32).map(|_| p.origin.asked()).collect();
    let first = asked.iter().position(|put| put.words.last().unwrap() == "0").unwrap();
    asked.swap_remove(first).http("200 OK", "recibo");
    assert_eq!(p.origin.asked().words.last().unwrap(), "32", "with 31 still waiting");
    assert_eq!(client.answer(), "recibo");
}

#[test]
fn requests_that_would_not_fit_into_the_memory_are_refused() {
    // A third of 2 MiB holds ten of the longest answers, and many more of the usual ones until a long one is seen.
    let p = Platform::limited(1, 2, 1024, 1024);
    let mut client = p.balancer.client();
    (0..12).for_each(|_| client.set("alta", "x"));
    let asked: Vec<Asked> = (0..12).map(|_| p.origin.asked()).collect();
    let long = "r".repeat(64 * 1024);
    asked.into_iter().for_each(|put| put.http("200 OK", &long));
    (0..12).for_each(|_| assert_eq!(client.answer(), long));
    (0..12).for_each(|_| client.set("alta", "x"));
    let asked: Vec<Asked> = (0..10).map(|_| p.origin.asked()).collect();
    asked.into_iter().for_each(|put| put.http("200 OK", "recibo"));
    (0..10).for_each(|_| assert_eq!(client.answer(), "recibo"));
    assert_eq!([client.answer(), client.answer()], ["-BUSY", "-BUSY"]);
    assert!(p.origin.heard_of_nothing_more());
}

#[test]
fn nothing_new_goes_to_a_peer_that_drains_and_what_it_has_is_served() {
    let mut p = Platform::start(2);
    let key = p.key_of(0);
    let mut client = p.balancer.client();
    client.get("leer", &key);
    let kept = p.peers[0].asked();
    push(&mut p.watch, ""); // nothing changed
    push(&mut p.watch, &list(2, false, &[member("s-0", p.peers[0].addr, "draining")]).to_string());
    p.balancer.logged("s-0 is Draining");
    let mut other = p.balancer.client();
    other.get("leer", &key);
    p.peers[1].asked().value("nuevo");
    assert_eq!(other.answer(), "nuevo");
    kept.value("viejo");
    assert_eq!(client.answer(), "viejo");
    assert!(p.peers[0].heard_of_nothing_more());
}

#[test]
fn a_malformed_line_of_discovery_restarts_the_watch_from_the_last_revision() {
    let mut p = Platform::start(1);
    let paths = |n| (0..n).map(|_| p.discovery.asked_for()).collect::<Vec<_>>();
    assert_eq!(paths(2), ["/v1/endpoints", "/v1/endpoints?watch=1&from=1"]);
    push(&mut p.watch, &list(5, false, &[]).to_string());
    push(&mut p.watch, "{\"revision\": tomorrow}");
    p.balancer.logged("keeping the last endpoint list");
    assert_eq!(paths(1), ["/v1/endpoints?watch=1&from=5"]);
    let mut client = p.balancer.client();
    client.get("leer", "1");
    p.peers[0].asked().value("v");
    assert_eq!(client.answer(), "v");
}

#[test]
fn sighup_moves_the_watch_and_loses_neither_clients_nor_requests() {
    let mut p = Platform::start(2);
    let key = p.key_of(0);
    let mut client = p.balancer.client();
    client.get("leer", &key);
    let kept = p.peers[0].asked();

    // A file that cannot be used changes nothing: the old watch is still listened to.
    p.balancer.reload("{\"name\": ");
    p.balancer.logged("the configuration in use stays");
    push(&mut p.watch, &list(40, false, &[member("s-9", p.peers[1].addr, "draining")]).to_string());
    p.balancer.logged("s-9 is Draining");

    // The new agent counts from 3 and no longer has the first peer; the old one is left.
    let members = [member("origin", p.origin.addr, "ready"), member("s-1", p.peers[1].addr, "ready")];
    let other = Discovery::start(list(3, true, &members));
    let mut changed = config(other.addr, 1024, Value::Null);
    changed["limits"]["memory_mb"] = 96.into();
    p.balancer.reload(&changed.to_string());
    p.balancer.logged("limits changed in the file; in use after a restart");
    p.balancer.logged(&format!("discovery is now at {}", other.addr));
    assert_eq!([other.asked_for(), other.asked_for()], ["/v1/endpoints", "/v1/endpoints?watch=1&from=3"]);
    assert_eq!(std::io::Read::read(&mut p.watch, &mut [0]).unwrap(), 0, "the old watch is closed");
    let mut watch = other.watch();
    push(&mut watch, &list(4, false, &[member("s-8", p.peers[1].addr, "draining")]).to_string());
    p.balancer.logged("s-8 is Draining");

    kept.value("tomado antes");
    assert_eq!(client.answer(), "tomado antes", "on the connection it came on");
    client.get("leer", &key);
    p.peers[1].asked().value("ahora");
    assert_eq!(client.answer(), "ahora");
    assert!(p.peers[0].heard_of_nothing_more());
}

#[test]
fn the_old_list_is_kept_until_a_new_agent_has_one() {
    let p = Platform::start(1);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    p.balancer.reload(&config(silent.local_addr().unwrap(), 1024, Value::Null).to_string());
    drop(silent.accept().unwrap()); // it is asked, and ends that without a word
    p.balancer.logged("keeping the last endpoint list");
    let _asked_again = silent.accept().unwrap();
    let mut client = p.balancer.client();
    client.get("leer", "1");
    p.peers[0].asked().value("v");
    assert_eq!(client.answer(), "v");
}

#[test]
fn with_a_silent_discovery_the_list_known_before_is_used() {
    let peer = Peer::start(false);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let known = list(7, true, &[member("s-0", peer.addr, "ready")]);
    let balancer = Balancer::start(&config(silent.local_addr().unwrap(), 1024, known), 1024);
    balancer.logged("silent");
    let mut client = balancer.client();
    client.send(&["PING"]);
    assert_eq!(client.answer(), "+PONG");
    client.get("leer", "1");
    peer.asked().value("v");
    assert_eq!(client.answer(), "v");
}

#[test]
fn sigterm_answers_what_was_taken_and_ends_with_success() {
    let mut p = Platform::start(1);
    let (mut busy, mut idle) = (p.balancer.client(), p.balancer.client());
    idle.send(&["PING"]);
    assert_eq!(idle.answer(), "+PONG");
    busy.get("leer", "1");
    let asked = p.peers[0].asked();
    p.balancer.terminate();
    p.balancer.logged("shutting down gracefully");
    assert!(idle.ended());
    asked.value("v");
    assert_eq!(busy.answer(), "v");
    assert!(busy.ended());
    assert!(p.balancer.exit().success());
}

#[test]
fn an_id_that_is_open_is_an_error_and_never_a_second_run() {
    let p = Platform::start(1);
    let (mut client, mut other) = (p.balancer.client(), p.balancer.client());
    client.get_as("9b1f", "leer", "1");
    let first = p.peers[0].asked();
    other.get_as("9b1f", "leer", "1");
    assert_eq!(other.answer(), "-ERR a request with this id is open");
    first.value("v");
    assert_eq!(client.answer(), "v");
    assert!(p.peers[0].heard_of_nothing_more());
    other.get_as("9b1f", "leer", "2");
    p.peers[0].asked().value("w");
    assert_eq!(other.answer(), "w", "it is open no more");
}

#[test]
fn clients_that_say_nothing_or_half_a_command_are_closed_and_an_idle_one_is_not() {
    let p = Platform::start(1);
    let mut usual = p.balancer.client();
    usual.send(&["PING"]);
    assert_eq!(usual.answer(), "+PONG");
    let (mut silent, mut half) = (p.balancer.client(), p.balancer.client());
    half.raw(b"*4\r\n$9\r\nCACHE.GET\r\n");
    assert!(silent.ended());
    assert_eq!(half.answer(), "-ERR the command did not end in time");
    assert!(half.ended());
    usual.send(&["PING"]);
    assert_eq!(usual.answer(), "+PONG", "idle for longer, but it had asked");
}

#[test]
fn a_client_that_sends_on_after_its_error_can_read_it() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    client.raw(b"*5\r\n$9\r\nCACHE.SET\r\n$1\r\n7\r\n$1\r\n8\r\n$17\r\nc=alta,t=acme,d=90\r\n$60000000\r\n");
    client.raw(&vec![b'x'; 1 << 20]); // more than the system buffers, read by none but the balancer
    assert_eq!(client.answer(), "-ERR malformed command");
    assert!(client.ended());
}

#[test]
fn what_comes_behind_an_answer_is_served_to_none() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    client.get("leer", "1");
    let value = "*3\r\n$3\r\nuno\r\n$3\r\nhit\r\n$-1\r\n";
    p.peers[0].asked().answer(&[value, value].concat());
    assert_eq!(client.answer(), "uno");
    client.get("leer", "2");
    assert!(p.peers[0].closed(), "that connection is used no more");
    p.peers[0].asked().value("dos");
    assert_eq!(client.answer(), "dos");
}

#[test]
fn bad_input_is_answered_and_only_broken_framing_ends_the_connection() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
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
        assert_eq!(client.answer(), error, "{words:?}");
    }
    for (bytes, error) in [
        (&b"GET / HTTP/1.1\r\n\r\n"[..], "-ERR malformed command"),
        (b"*1\r\n$70000\r\n", "-ERR command too long"),
        (b"*1\r\n$60000000\r\n", "-ERR malformed command"),
        (b"*-3\r\n", "-ERR malformed command"),
        (b"*1\r\n$-1\r\n", "-ERR malformed command"),
    ] {
        let mut client = p.balancer.client();
        client.raw(bytes);
        assert_eq!(client.answer(), error, "{bytes:?}");
        assert!(client.ended());
    }
    client.send(&["PING"]);
    assert_eq!(client.answer(), "+PONG", "the others are served on");
    assert!(p.peers[0].heard_of_nothing_more());
}

#[test]
fn more_clients_than_places_are_all_answered_at_the_cost_of_idle_ones() {
    // 57 places for clients; and then fewer descriptors than the program was told of, so that accepting fails.
    for (sockets, descriptors, places) in [(64 + 64, 1024, 57), (1024, 40, 40)] {
        let p = Platform::limited(1, 192, sockets, descriptors);
        let mut clients: Vec<Client> = Vec::new();
        for _ in 0..100 {
            let mut client = p.balancer.client();
            client.send(&["PING"]);
            assert_eq!(client.answer(), "+PONG");
            clients.push(client);
        }
        // Which of them is not said: a few witnesses are kept longer, to see whether clients reuse.
        wait_until(|| clients.iter().filter(|client| client.has_ended()).count() >= 100 - places);
        clients[99].send(&["PING"]);
        assert_eq!(clients[99].answer(), "+PONG", "the last one has its place");
    }
}

#[test]
fn clients_that_ask_once_and_linger_are_closed_long_before_the_places_are_full() {
    let p = Platform::limited(1, 192, 64 + 64, 1024); // 57 places: 7 for those that asked once
    let mut clients: Vec<Client> = Vec::new();
    for _ in 0..40 {
        let mut client = p.balancer.client();
        client.send(&["PING"]);
        assert_eq!(client.answer(), "+PONG");
        clients.push(client);
    }
    assert!(clients[8].ended(), "nobody has used a connection twice");
    clients[39].send(&["PING"]);
    assert_eq!(clients[39].answer(), "+PONG", "the last one is on probation");
}

#[test]
fn a_configuration_that_cannot_be_used_ends_the_program_with_one_line() {
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
        let said = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && said.lines().count() == 1, "{said}");
        assert!(said.starts_with("spindlebeam: configuration "), "{said}");
    }
}
