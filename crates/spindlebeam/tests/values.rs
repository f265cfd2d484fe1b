//! Values of up to 4 MiB in both directions.

mod platform;
use platform::*;
use rstest::rstest;
use serde_json::json;
use std::io::Read;

/// Generates a value in which misplaced pieces are noticed: its characters depend on their positions, and no part looks
/// like protocol framing.
fn generate_value(length: usize) -> String {
    (0..length).map(|n| char::from(b'!' + ((n * 7 + n / 94) % 94) as u8)).collect()
}

/// Splits a text into pieces of pseudo-random lengths.
fn split_at_random(text: &str, seed: u64) -> Vec<&str> {
    let (mut rest, mut found, mut state) = (text, Vec::new(), seed);
    while !rest.is_empty() {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let (piece, remainder) = rest.split_at(rest.len().min(1 + (state >> 33) as usize % 60_000));
        found.push(piece);
        rest = remainder;
    }
    found
}

fn encode_array(value: &str) -> String {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len())
}

#[test]
fn large_answer_is_streamed_and_its_connection_reused() {
    let platform = Platform::start(1);
    let (large, mut client) = (generate_value(4 << 20), platform.balancer.client());
    client.get("leer", "1");
    let answer = encode_array(&large);
    let mut pieces = split_at_random(&answer, 1).into_iter();
    let mut request = platform.peers[0].next_request();
    request.write_part(pieces.next().unwrap());
    assert_eq!(
        client.read_line(),
        format!("${}", 4 << 20),
        "the answer begins before the second piece is sent"
    );
    pieces.for_each(|piece| request.write_part(piece));
    assert_eq!(client.read_bulk(4 << 20), large);
    wait_until_rested();
    platform.peers[0].clear_connections();
    client.get("leer", "2");
    let request = platform.peers[0].next_request();
    assert!(!platform.peers[0].has_new_connection(), "the connection of the large answer is reused");
    request.respond_value("v");
    assert_eq!(client.read_answer(), "v");
}

#[test]
fn stalled_readers_use_bounded_memory_and_block_nobody() {
    let platform = Platform::with_limits(1, 32, 1024, 1024);
    let before = platform.balancer.resident_kb();
    let large = generate_value(4 << 20);
    let answer = encode_array(&large);
    let mut stalled: Vec<Client> = Vec::new();
    for n in 0..40 {
        let mut client = platform.balancer.client();
        client.get("leer", &format!("{n:x}"));
        let mut request = platform.peers[0].next_request();
        let whole = answer.clone();
        std::thread::spawn(move || request.write_part(&whole)); // blocks as well
        assert_eq!(client.read_line(), format!("${}", 4 << 20));
        stalled.push(client);
    }
    let mut quick = platform.balancer.client();
    quick.get("leer", "fff");
    platform.peers[0].next_request().respond_value("v");
    assert_eq!(quick.read_answer(), "v");
    let kb = platform.balancer.resident_kb();
    assert!(kb < before + 12 * 1024, "{before} KB before, and {kb} KB with 160 MiB in progress");
    stalled
        .iter_mut()
        .for_each(|client| assert!(client.read_bulk(4 << 20) == large, "a late reader gets the whole value"));
}

#[test]
fn truncated_large_answer_closes_client_and_is_not_retried() {
    let platform = Platform::start(2);
    let key = platform.key_of(0);
    let mut client = platform.balancer.client();
    client.get("leer", &key);
    let mut request = platform.peers[0].next_request();
    request.write_part(&encode_array(&generate_value(100_000))[..70_000]);
    assert_eq!(client.read_line(), "$100000");
    request.hang_up();
    let mut rest = Vec::new();
    let _ = client.reader().read_to_end(&mut rest); // closed or reset
    assert!(rest.len() < 70_000, "a truncated answer must not look complete: {} bytes", rest.len());
    assert!(platform.peers.iter().all(Peer::has_no_more_requests));
}

/// Guards against a large value that is served as a whole bulk string though its stated length was too short: the line
/// end was written before the bytes that follow the value at the cache node were checked.
#[test]
fn large_answer_with_too_short_length_ends_without_line_end() {
    let platform = Platform::start(1);
    let (value, mut client) = (generate_value(200_000), platform.balancer.client());
    client.get("leer", "1");
    let answer = encode_array(&value).replacen("$200000", "$199000", 1);
    platform.peers[0].next_request().respond(&answer);
    assert_eq!(client.read_line(), "$199000");
    let mut received = Vec::new();
    let _ = client.reader().read_to_end(&mut received); // closed or reset
    assert!(received.len() <= 199_000, "the value looks complete: {} bytes", received.len());
    let mut other = platform.balancer.client();
    other.get("leer", "2");
    platform.peers[0].next_request().respond(&encode_array(&value));
    assert!(other.read_answer() == value, "the next value is served whole, on another connection");
}

#[test]
fn attempt_is_cancelled_when_client_leaves_during_answer() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    let mut request = platform.peers[0].next_request();
    request.write_part(&encode_array(&generate_value(4 << 20))[..200_000]);
    assert_eq!(client.read_line(), format!("${}", 4 << 20));
    drop(client);
    std::thread::spawn(move || request.write_part(&generate_value(4 << 20)));
    assert!(platform.peers[0].next_is_close());
}

#[test]
fn origin_bodies_are_passed_on_whole_in_every_framing() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    let large = generate_value(300_000);
    let chunks: String =
        split_at_random(&large, 2).iter().map(|it| format!("{:x}\r\n{it}\r\n", it.len())).collect();
    for (n, answer, expected) in [
        (1, format!("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n{large}"), &large),
        (2, format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"), &large),
        (3, format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{large}"), &large),
        (4, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ncorto".into(), &"corto".to_owned()),
    ] {
        client.get("leer", &n.to_string());
        platform.peers[0].next_request().respond_miss();
        let mut fetch = platform.origin.next_request();
        split_at_random(&answer, n).into_iter().for_each(|piece| fetch.write_part(piece));
        if answer.contains("close") {
            fetch.hang_up();
        }
        assert!(client.read_answer() == *expected, "form {n}");
    }
    // A body that is cut off is not an answer, and neither is one without a length that never ends.
    client.get("leer", "5");
    platform.peers[0].next_request().respond_miss();
    platform.origin.next_request().respond("HTTP/1.1 200 OK\r\n\r\nsin fin");
    platform.origin.next_request().respond_http("200 OK", "otra vez");
    assert_eq!(client.read_answer(), "otra vez");
}

/// What many clients do before they stay connected without a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ClientAction {
    /// Write a large value under the id of an open request.
    WriteLargeUnderOpenId,
    /// Write a value of almost 64 KiB under the id of an open request.
    WriteMediumUnderOpenId,
    /// Read a value of almost 64 KiB.
    ReadMedium,
}

const MEMORY_LIMIT_MB: u64 = 32;
const MEDIUM_BYTES: usize = 60_000;

fn encode_write(id: &str, value: &str) -> String {
    let options = "c=alta,t=acme,d=60000,k=5c0f";
    let words = ["CACHE.SET", "7f", id, options, value];
    let words: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*5\r\n{words}")
}

/// Guards against a balancer that goes over its memory by buffers that idle client connections keep: the input buffer
/// with a value whose command was answered at once, or the buffer of written answers.
#[rstest]
#[case(ClientAction::WriteLargeUnderOpenId, 12)]
#[case(ClientAction::WriteMediumUnderOpenId, 500)]
#[case(ClientAction::ReadMedium, 500)]
fn idle_clients_keep_no_large_buffers(#[case] action: ClientAction, #[case] clients: usize) {
    let platform = Platform::with_limits(1, MEMORY_LIMIT_MB, 1024, 1024);
    let mut usual = platform.balancer.client();
    usual.write_raw(encode_write("aa", "corto").as_bytes());
    let open = platform.origin.next_request();
    let value =
        generate_value(if action == ClientAction::WriteLargeUnderOpenId { 4 << 20 } else { MEDIUM_BYTES });
    let command = encode_write("aa", &value);
    let mut idle = Vec::new();
    for _ in 0..clients {
        let mut client = platform.balancer.client();
        if action == ClientAction::ReadMedium {
            client.get("leer", "1");
            platform.peers[0].next_request().respond_value(&value);
            assert!(client.read_answer() == value);
        } else {
            client.write_raw(command.as_bytes());
            assert_eq!(client.read_answer(), "-ERR a request with this id is open");
        }
        idle.push(client);
    }
    let kb = platform.balancer.resident_kb();
    assert!(kb < MEMORY_LIMIT_MB * 1024, "{kb} KB with {} idle clients", idle.len());
    open.respond_http("200 OK", "recibo");
    assert_eq!(usual.read_answer(), "recibo");
}

/// Guards against values that stay in memory without a reservation: the id of an answered write was a slice of its
/// command, and waited with its answer behind an earlier request of the connection.
#[test]
fn answered_writes_behind_slow_request_keep_no_values() {
    let platform = Platform::with_config(1, 1024, |config| {
        config["limits"] = json!({"memory_mb": MEMORY_LIMIT_MB, "sockets": 1024});
        config["operator"] = "127.0.0.1:0".into();
    });
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    let read = platform.peers[0].next_request();
    let value = generate_value(4 << 20);
    for n in 0..12 {
        client.write_raw(encode_write(&format!("{n:x}"), &value).as_bytes());
        platform.origin.next_request().respond_http("200 OK", "recibo");
        wait_until(|| platform.metric("served.alta") > n); // the reservation of the value has ended
    }
    let kb = platform.balancer.resident_kb();
    assert!(kb < MEMORY_LIMIT_MB * 1024, "{kb} KB with 12 answered writes");
    read.respond_value("v");
    assert_eq!(client.read_answer(), "v");
    (0..12).for_each(|_| assert_eq!(client.read_answer(), "recibo"));
}

#[test]
fn large_write_is_forwarded_and_too_large_one_is_skipped() {
    let platform = Platform::with_limits(1, 12, 1024, 1024); // leaves 2 MiB for values
    let mut client = platform.balancer.client();
    let large = generate_value(1 << 20);
    let words = |id: &str, value: &str| {
        let options = "c=alta,t=acme,d=60000,k=5c0f";
        format!(
            "*5\r\n$9\r\nCACHE.SET\r\n$2\r\n7f\r\n${}\r\n{id}\r\n${}\r\n{options}\r\n${}\r\n{value}\r\n",
            id.len(),
            options.len(),
            value.len()
        )
    };
    let command = words("aa", &large);
    split_at_random(&command, 3).into_iter().for_each(|piece| client.write_raw(piece.as_bytes()));
    let put = platform.origin.next_request();
    assert!(*put.words.last().unwrap() == large);
    put.respond_http("200 OK", "recibo");
    assert_eq!(client.read_answer(), "recibo");

    client.write_raw(words("bb", &generate_value(3 << 20)).as_bytes());
    assert_eq!(client.read_answer(), "-BUSY", "the value is larger than the memory for values");
    client.write_raw(words("cc", "corto").as_bytes());
    platform.origin.next_request().respond_http("200 OK", "recibo");
    assert_eq!(client.read_answer(), "recibo", "the refused value was skipped");

    client.write_raw(b"*5\r\n$9\r\nCACHE.SET\r\n$2\r\n7f\r\n$2\r\ndd\r\n$1\r\nx\r\n$100000\r\n");
    assert_eq!(client.read_answer(), "-ERR command too long", "no command before it is a request");
    assert!(platform.origin.has_no_more_requests());
}
