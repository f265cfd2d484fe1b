//! Tests every parser with valid messages that are split at random positions, and with garbage.

use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proto::discovery::{ListError, MAX_LIST_BYTES, Phase, WatchLine, WatchReader};
use proto::http::ResponseReader;
use proto::resp::{self, Reply};
use proto::{MAX_BUFFERED_VALUE_BYTES, ProtoError};

fn config() -> Config {
    Config { cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..Config::default() }
}

/// Feeds `bytes` to a parser in pieces that end at `cuts`, and collects the parsed items.
fn fed<T, E>(
    bytes: &[u8], cuts: &[usize], mut next: impl FnMut(&mut BytesMut) -> Result<Option<T>, E>,
) -> Result<Vec<T>, E> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    let (mut buffer, mut found) = (BytesMut::new(), Vec::new());
    for pair in cuts.windows(2) {
        buffer.extend_from_slice(&bytes[pair[0]..pair[1]]);
        while let Some(item) = next(&mut buffer)? {
            found.push(item);
        }
    }
    Ok(found)
}

fn lines(bytes: &[u8], cuts: &[usize]) -> Result<Vec<WatchLine>, ListError> {
    let mut reader = WatchReader::default();
    fed(bytes, cuts, |buffer| reader.next(buffer))
}

fn http(bytes: &[u8], cuts: &[usize]) -> Result<Vec<(u16, Vec<u8>)>, ProtoError> {
    let mut whole = ResponseReader::new(MAX_BUFFERED_VALUE_BYTES);
    fed(bytes, cuts, |buffer| Ok(whole.next(buffer)?.map(|(head, body)| (head.status, body.to_vec()))))
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn commands_survive_any_cut(
        words in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..6),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let mut bytes = BytesMut::new();
        let slices: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
        resp::encode_command(&mut bytes, &slices);
        resp::encode_command(&mut bytes, &[b"PING"]);
        let found = fed(&bytes, &cuts, resp::decode_command).unwrap();
        prop_assert_eq!(found.len(), 2);
        prop_assert_eq!(found[0].0.iter().map(|w| w.to_vec()).collect::<Vec<_>>(), words);
    }

    #[test]
    fn replies_survive_any_cut(
        value in prop::collection::vec(any::<u8>(), 0..300), cuts in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let mut bytes = BytesMut::from("*3\r\n");
        resp::encode_bulk(&mut bytes, &value);
        bytes.extend_from_slice(b"$3\r\nhit\r\n*-1\r\n".strip_suffix(b"*-1\r\n").unwrap());
        bytes.extend_from_slice(b"$-1\r\n*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n-BUSY\r\n-ERR failed\r\n");
        let found = fed(&bytes, &cuts, resp::decode_reply).unwrap();
        let expected = [
            Reply::Served(value.into()),
            Reply::Miss { pending: true },
            Reply::Busy,
            Reply::Failed("ERR failed".into()),
        ];
        prop_assert_eq!(&found[..], &expected[..]);
    }

    #[test]
    fn large_replies_and_commands_survive_any_cut(
        extra in 1..3_000_usize, cuts in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let value = vec![b'\n'; MAX_BUFFERED_VALUE_BYTES + extra];
        let mut bytes = BytesMut::from("*3\r\n");
        resp::encode_bulk(&mut bytes, &value);
        bytes.extend_from_slice(b"$3\r\nhit\r\n$-1\r\n-BUSY\r\n");
        // Reads like a connection: the value as it arrives, then its tail, then the next reply.
        let (mut left, mut behind) = (0, None);
        let found: Result<_, ProtoError> = fed(&bytes, &cuts, |buffer| {
            let taken = left.min(buffer.len());
            bytes::Buf::advance(buffer, taken);
            left -= taken;
            if left > 0 {
                return Ok(None);
            }
            if let Some(tail) = behind {
                return Ok(resp::decode_reply_tail(buffer, tail)?.map(|()| {
                    behind = None;
                    "tail"
                }));
            }
            Ok(match resp::decode_reply(buffer)? {
                Some(Reply::Large { length, tail }) => {
                    (left, behind) = (length, Some(tail));
                    Some("large")
                }
                Some(Reply::Busy) => Some("busy"),
                other => other.map(|_| "other"),
            })
        });
        prop_assert_eq!(found.unwrap(), ["large", "tail", "busy"]);

        let mut bytes = BytesMut::new();
        resp::encode_command(&mut bytes, &[b"CACHE.SET", &value]);
        let (whole, head) = (bytes.len(), bytes.len() - value.len() - 2);
        prop_assert_eq!(resp::partial_command(&bytes[..head - 1]).unwrap(), None);
        for cut in cuts.iter().map(|cut| head + cut % (value.len() + 2)) {
            let found = resp::partial_command(&bytes[..cut]).unwrap().unwrap();
            prop_assert_eq!((found.words.0.len(), found.bytes, found.large), (1, whole, true));
        }
        prop_assert_eq!(fed(&bytes, &cuts, resp::decode_large_command).unwrap().len(), 1);
    }

    #[test]
    fn http_responses_survive_any_cut(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..60), 0..5),
        cuts in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let body = parts.concat();
        let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        let mut bytes = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(&body);
        bytes.extend_from_slice(b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\ntransfer-encoding: chunked\r\n\r\n");
        for part in &parts {
            bytes.extend_from_slice(format!("{:x};x=y\r\n", part.len()).as_bytes());
            bytes.extend_from_slice(part);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\nTrailer: z\r\n\r\n");
        prop_assert_eq!(http(&bytes, &cuts).unwrap(), vec![(200, body.clone()), (503, body)]);
    }

    #[test]
    fn watch_lines_survive_any_cut(revision in any::<u64>(), cuts in prop::collection::vec(any::<usize>(), 0..12)) {
        let line = format!(
            "\n{{\"revision\":{revision},\"complete\":false,\"members\":[{{\"id\":\"s-1\",\
             \"host_port\":\"127.0.0.1:6379\",\"phase\":\"draining\"}}]}}\n"
        );
        let found = lines(line.as_bytes(), &cuts).unwrap();
        prop_assert_eq!(&found[0], &WatchLine::KeepAlive);
        let WatchLine::Update(list) = &found[1] else { panic!("{found:?}") };
        prop_assert_eq!((list.revision, list.members[0].phase), (revision, Phase::Draining));
        // Lists may be indented, including the first list of a watch.
        let value: serde_json::Value = serde_json::from_str(&line).unwrap();
        let indented = serde_json::to_string_pretty(&value).unwrap() + "\n\n" + &line;
        let found_again = lines(indented.as_bytes(), &cuts).unwrap();
        prop_assert_eq!(found_again, [&found[1], &found[0], &found[0], &found[1]].map(Clone::clone));
    }

    #[test]
    fn garbage_is_an_error_or_incomplete_but_never_a_panic(
        start in prop::sample::select(vec!["", "*", "*2\r\n$", "*3\r\n$-1\r\n", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n", "{"]),
        noise in prop::collection::vec(prop_oneof![any::<u8>(), prop::sample::select(b"\r\n$*-:+0179a{}".to_vec())], 0..200),
        cuts in prop::collection::vec(any::<usize>(), 0..6),
    ) {
        let bytes = [start.as_bytes(), &noise].concat();
        // The result must not depend on where the bytes were split.
        prop_assert_eq!(fed(&bytes, &cuts, resp::decode_command).ok(), fed(&bytes, &[], resp::decode_command).ok());
        prop_assert_eq!(fed(&bytes, &cuts, resp::decode_reply).ok(), fed(&bytes, &[], resp::decode_reply).ok());
        prop_assert_eq!(http(&bytes, &cuts).ok(), http(&bytes, &[]).ok());
        prop_assert_eq!(lines(&bytes, &cuts).ok(), lines(&bytes, &[]).ok());
    }
}

#[test]
fn endless_message_is_rejected_before_it_fills_the_memory() {
    let long = vec![b'1'; 2 * MAX_BUFFERED_VALUE_BYTES];
    let with = |start: &[u8]| [start, &long].concat();
    assert!(fed(&with(b"*1\r\n$"), &[], resp::decode_command).is_err(), "a length without end");
    assert!(fed(&with(b"*2\r\n$65536\r\n"), &[], resp::decode_command).is_err(), "words without end");
    assert!(fed(&with(b"-"), &[], resp::decode_reply).is_err(), "a line without end");
    assert!(http(&with(b"HTTP/1.1 200 OK\r\nA: "), &[]).is_err(), "a header without end");
    assert!(http(b"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", &[]).is_err(), "a body too long");
    let chunks = with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1ffff\r\n");
    assert!(http(&chunks, &[]).is_err(), "chunks longer than the longest value");
    assert!(http(b"HTTP/1.1 200 OK\r\n\r\n", &[]).is_err(), "a body without a stated end");
    assert!(http(b"HTTP/1.0 200 OK\r\n\r\nnoise", &[]).is_err(), "HTTP/1.0 does not state the end");
    assert!(
        http(&with(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), &[]).is_err(),
        "a body longer than the longest value"
    );
    assert!(
        fed(b"*1\r\n$4194305\r\n", &[], resp::decode_reply).is_err(),
        "a length above that of the longest value"
    );
    assert!(resp::partial_command(b"*1\r\n$4194305\r\n").is_err());
    assert!(http(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", &[]).is_err());
    assert!(http(&b"HTTP/1.1 100 Continue\r\n\r\n".repeat(9), &[]).is_err(), "interim responses without end");
    let line = [&b"{\"a\":\""[..], &vec![b'x'; MAX_LIST_BYTES]].concat();
    assert_eq!(lines(&line, &[]), Err(ListError::TooLong), "a line without end");
}

#[test]
fn malformed_head_is_rejected_as_soon_as_it_shows() {
    let good = "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(http(good.as_bytes(), &[]).unwrap().len(), 1);
    let spoilt = [
        ("\r\n", "HTTP", "\r\nHTTP", "an empty line before the head"),
        ("OK\n", "OK\r\n", "OK\n", "a bare line feed after the status"),
        ("b\n", "b\r\n", "b\n", "a bare line feed after a header"),
        (": 0\r\n\n", ": 0\r\n\r\n", ": 0\r\n\n", "a bare line feed at the end"),
        ("1 099", "200", "099", "a status below the valid range"),
        ("1 600 ", "200", "600", "a status above the valid range"),
        ("A :", "A:", "A :", "a space after a header name"),
        ("\r\n c", "A: b\r\n", "A: b\r\n c\r\n", "a folded header line"),
        ("2 200", "1.1 ", "1.2 ", "another version"),
    ];
    for (shows, from, to, what) in spoilt {
        let bytes = good.replacen(from, to, 1);
        let whole = http(bytes.as_bytes(), &[]);
        assert!(whole.is_err(), "{what}: {bytes:?} gave {whole:?}");
        let end = bytes.find(shows).unwrap() + shows.len();
        assert!(http(&bytes.as_bytes()[..end], &[]).is_err(), "{what}, at once");
    }
    for (lines, taken) in [(63, true), (64, false)] {
        let bytes = good.replacen("A: b\r\n", &"A: b\r\n".repeat(lines - 1), 1);
        assert_eq!(http(bytes.as_bytes(), &[]).is_ok(), taken, "{lines} headers");
    }
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (body, taken) in [("0\r\n\r\n", true), ("\r\n\r\n", false), ("0\r\nA: b\n\r\n", false)] {
        let bytes = [chunked, body].concat();
        assert_eq!(http(bytes.as_bytes(), &[]).is_ok(), taken, "{body:?} as a body");
    }
}
