//! Large values that do not arrive whole, and the requests that were written behind them on the same connection.

mod platform;
use platform::*;
use rstest::rstest;
use std::io::Read;
use std::time::{Duration, Instant};

const LENGTH: usize = 100_000;
/// The part of the value that its server sends.
const SENT: usize = 70_000;
/// The deadline of the read of the value.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// How long after its deadline an answer must have come.
const LATEST: Duration = Duration::from_millis(500);

/// The server of the large value.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Server {
    /// Speaks RESP.
    CacheNode,
    /// Speaks HTTP.
    Origin,
}

/// How the value ends.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ValueEnd {
    /// Its server closes the connection.
    Closed,
    /// Its server sends nothing more.
    Silence,
    /// More bytes follow than its length states, which a cache node's answer shows.
    Spoilt,
    /// It is complete, in two parts.
    Complete,
}

/// What is written behind the read of the value.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behind {
    Read,
    Write,
    /// Part of a command, the rest of which comes after the value has ended.
    PartOfRead,
}

/// Answers the request with a large value that ends like this.
fn answer(mut request: PeerRequest, server: Server, end: ValueEnd) {
    let value = "v".repeat(LENGTH);
    let (head, tail) = match server {
        Server::CacheNode => (format!("*3\r\n${LENGTH}\r\n"), "\r\n$3\r\nhit\r\n$-1\r\n"),
        Server::Origin => (format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n"), ""),
    };
    request.write_part(&head);
    request.write_part(&value[..SENT]);
    match end {
        ValueEnd::Closed => request.hang_up(),
        ValueEnd::Silence => std::mem::forget(request),
        ValueEnd::Spoilt => request.respond(&format!("{value}{tail}")),
        ValueEnd::Complete => request.respond(&format!("{}{tail}", &value[SENT..])),
    }
}

/// Guards against requests that are never answered because a large value before them breaks off: a value was passed on
/// as it came whatever had been read behind it, and then only the end of the connection could follow.
#[rstest]
#[case(Server::CacheNode, ValueEnd::Closed)]
#[case(Server::CacheNode, ValueEnd::Silence)]
#[case(Server::CacheNode, ValueEnd::Spoilt)]
#[case(Server::CacheNode, ValueEnd::Complete)]
#[case(Server::Origin, ValueEnd::Closed)]
#[case(Server::Origin, ValueEnd::Silence)]
#[case(Server::Origin, ValueEnd::Complete)]
fn requests_behind_broken_value_are_answered(
    #[case] server: Server, #[case] end: ValueEnd,
    #[values(Behind::Read, Behind::Write, Behind::PartOfRead)] behind: Behind,
) {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    let time_limit = DEADLINE.as_millis();
    let started_at = Instant::now();
    let mut batch = encode_command(&["CACHE.GET", "1", "a1", &format!("c=leer,t=acme,d={time_limit}")]);
    let read_behind = read_command("2");
    let (first, rest) =
        read_behind.split_at(if behind == Behind::PartOfRead { 20 } else { read_behind.len() });
    match behind {
        Behind::Read | Behind::PartOfRead => batch.extend_from_slice(first),
        Behind::Write => batch.extend(encode_command(&["CACHE.SET", "7f", "b1", WRITE_OPTIONS, "corto"])),
    }
    client.write_raw(&batch);
    // The origin gets the write; the cache node gets both reads, in any order.
    let mut requests = vec![platform.peers[0].next_request()];
    match behind {
        Behind::Read => requests.push(platform.peers[0].next_request()),
        Behind::Write => requests.push(platform.origin.next_request()),
        Behind::PartOfRead => {}
    }
    let index = requests.iter().position(|request| request.words.contains(&"a1".to_owned()));
    let mut for_value = requests.remove(index.expect("the read of the value is sent on"));
    if server == Server::Origin {
        for_value.write_part("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
        for_value = platform.origin.next_request();
    }
    answer(for_value, server, end);
    if end == ValueEnd::Complete {
        assert!(client.read_answer() == "v".repeat(LENGTH), "a value that comes whole is served");
    } else {
        assert_eq!(client.read_answer(), "-ERR failed");
        assert!(started_at.elapsed() < DEADLINE + LATEST, "{:?}", started_at.elapsed());
    }
    if behind == Behind::PartOfRead {
        client.write_raw(rest);
        requests.push(platform.peers[0].next_request());
    }
    let request = requests.pop().unwrap();
    match behind {
        Behind::Write => request.respond_http("200 OK", "v"),
        Behind::Read | Behind::PartOfRead => request.respond_value("v"),
    }
    assert_eq!(client.read_answer(), "v");
}

/// Guards against the same loss where large values are usual: what was written behind the read of one was forwarded
/// before the value had been passed on. It has to stay unread, so that its client sends it once more.
#[rstest]
#[case(ValueEnd::Closed)]
#[case(ValueEnd::Spoilt)]
#[case(ValueEnd::Complete)]
fn requests_behind_usual_large_value_stay_unread(#[case] end: ValueEnd) {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    answer(platform.peers[0].next_request(), Server::CacheNode, ValueEnd::Complete);
    assert!(client.read_answer() == "v".repeat(LENGTH));
    client.write_raw(&[read_command("1"), read_command("2")].concat());
    let mut request = platform.peers[0].next_request();
    let value = "v".repeat(LENGTH);
    request.write_part(&format!("*3\r\n${LENGTH}\r\n{}", &value[..SENT]));
    assert_eq!(client.read_line(), format!("${LENGTH}"), "the value is passed on as it comes");
    assert!(platform.peers[0].has_no_more_requests(), "the request behind is not forwarded");
    match end {
        ValueEnd::Closed | ValueEnd::Silence => request.hang_up(),
        ValueEnd::Spoilt => request.respond(&format!("{value}\r\n$3\r\nhit\r\n$-1\r\n")),
        ValueEnd::Complete => request.respond(&format!("{}\r\n$3\r\nhit\r\n$-1\r\n", &value[SENT..])),
    }
    if end == ValueEnd::Complete {
        assert!(client.read_bulk(LENGTH) == value);
        platform.peers[0].next_request().respond_value("v");
        assert_eq!(client.read_answer(), "v");
    } else {
        let mut rest = Vec::new();
        let _ = client.reader().read_to_end(&mut rest); // closed or reset
        assert!(rest.len() <= LENGTH, "the value ends without its line end");
        assert!(platform.peers[0].has_no_more_requests(), "the unread request is not forwarded");
    }
}
