//! Values of up to 4 MiB, both ways, through the program as a process.

mod platform;
use platform::*;
use std::io::Read;

/// What stands at each place of a value: no piece of it looks like another, and none can be read as text.
fn value(length: usize) -> String {
    (0..length).map(|n| char::from(b'!' + ((n * 7 + n / 94) % 94) as u8)).collect()
}

/// Pieces of a text, cut at places that a seed picks.
fn pieces(text: &str, seed: u64) -> Vec<&str> {
    let (mut rest, mut found, mut state) = (text, Vec::new(), seed);
    while !rest.is_empty() {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let (piece, behind) = rest.split_at(rest.len().min(1 + (state >> 33) as usize % 60_000));
        found.push(piece);
        rest = behind;
    }
    found
}

fn array(value: &str) -> String {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len())
}

#[test]
fn a_large_answer_in_pieces_is_passed_on_as_it_comes_and_its_connection_is_used_again() {
    let p = Platform::start(1);
    let (large, mut client) = (value(4 << 20), p.balancer.client());
    client.get("leer", "1");
    let answer = array(&large);
    let mut pieces = pieces(&answer, 1).into_iter();
    let mut asked = p.peers[0].asked();
    asked.part(pieces.next().unwrap());
    assert_eq!(client.line(), format!("${}", 4 << 20), "it has begun before the second piece is sent");
    pieces.for_each(|piece| asked.part(piece));
    assert_eq!(client.bulk(4 << 20), large);
    p.peers[0].forget_opened();
    client.get("leer", "2");
    let asked = p.peers[0].asked();
    assert!(!p.peers[0].opened_more(), "on the connection that brought the large one");
    asked.value("v");
    assert_eq!(client.answer(), "v");
}

#[test]
fn readers_that_stall_take_bounded_memory_and_hold_up_nobody() {
    let p = Platform::limited(1, 32, 1024, 1024);
    let before = p.balancer.resident_kb();
    let large = value(4 << 20);
    let answer = array(&large);
    let mut stalled: Vec<Client> = Vec::new();
    for n in 0..40 {
        let mut client = p.balancer.client();
        client.get("leer", &format!("{n:x}"));
        let mut asked = p.peers[0].asked();
        let whole = answer.clone();
        std::thread::spawn(move || asked.part(&whole)); // it is held up as well
        assert_eq!(client.line(), format!("${}", 4 << 20));
        stalled.push(client);
    }
    let mut quick = p.balancer.client();
    quick.get("leer", "fff");
    p.peers[0].asked().value("v");
    assert_eq!(quick.answer(), "v");
    let kb = p.balancer.resident_kb();
    assert!(kb < before + 12 * 1024, "{before} KB, and {kb} KB with 160 MiB under way");
    stalled.iter_mut().for_each(|client| assert!(client.bulk(4 << 20) == large, "whole, and late"));
}

#[test]
fn a_large_answer_that_breaks_off_ends_its_clients_connection_and_is_not_tried_again() {
    let p = Platform::start(2);
    let key = p.key_of(0);
    let mut client = p.balancer.client();
    client.get("leer", &key);
    let mut asked = p.peers[0].asked();
    asked.part(&array(&value(100_000))[..70_000]);
    assert_eq!(client.line(), "$100000");
    asked.hang_up();
    let mut rest = Vec::new();
    let _ = client.inner().read_to_end(&mut rest); // ended in order or reset
    assert!(rest.len() < 70_000, "never what looks whole: {}", rest.len());
    assert!(p.peers.iter().all(Peer::heard_of_nothing_more));
}

#[test]
fn a_client_that_leaves_in_the_middle_of_a_large_answer_takes_its_try_with_it() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    client.get("leer", "1");
    let mut asked = p.peers[0].asked();
    asked.part(&array(&value(4 << 20))[..200_000]);
    assert_eq!(client.line(), format!("${}", 4 << 20));
    drop(client);
    std::thread::spawn(move || asked.part(&value(4 << 20)));
    assert!(p.peers[0].closed());
}

#[test]
fn bodies_of_the_origin_come_whole_whatever_their_form() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    let large = value(300_000);
    let chunks: String = pieces(&large, 2).iter().map(|it| format!("{:x}\r\n{it}\r\n", it.len())).collect();
    for (n, answer, wanted) in [
        (1, format!("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n{large}"), &large),
        (2, format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"), &large),
        (3, format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{large}"), &large),
        (4, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ncorto".into(), &"corto".to_owned()),
    ] {
        client.get("leer", &n.to_string());
        p.peers[0].asked().miss();
        let mut fetch = p.origin.asked();
        pieces(&answer, n).into_iter().for_each(|piece| fetch.part(piece));
        if answer.contains("close") {
            fetch.hang_up();
        }
        assert!(client.answer() == *wanted, "form {n}");
    }
    // One that breaks before its end is no answer, and what has no end at all is none either.
    client.get("leer", "5");
    p.peers[0].asked().miss();
    p.origin.asked().answer("HTTP/1.1 200 OK\r\n\r\nsin fin");
    p.origin.asked().http("200 OK", "otra vez");
    assert_eq!(client.answer(), "otra vez");
}

#[test]
fn a_large_write_is_held_whole_and_one_without_room_is_refused_and_read_over() {
    let p = Platform::limited(1, 12, 1024, 1024); // room for 2 MiB
    let mut client = p.balancer.client();
    let large = value(1 << 20);
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
    pieces(&command, 3).into_iter().for_each(|piece| client.raw(piece.as_bytes()));
    let put = p.origin.asked();
    assert!(*put.words.last().unwrap() == large);
    put.http("200 OK", "recibo");
    assert_eq!(client.answer(), "recibo");

    client.raw(words("bb", &value(3 << 20)).as_bytes());
    assert_eq!(client.answer(), "-BUSY", "more than there is room for");
    client.raw(words("cc", "corto").as_bytes());
    p.origin.asked().http("200 OK", "recibo");
    assert_eq!(client.answer(), "recibo", "what was refused has been read over");

    client.raw(b"*5\r\n$9\r\nCACHE.SET\r\n$2\r\n7f\r\n$2\r\ndd\r\n$1\r\nx\r\n$100000\r\n");
    assert_eq!(client.answer(), "-ERR command too long", "no request stands ahead of it");
    assert!(p.origin.heard_of_nothing_more());
}
