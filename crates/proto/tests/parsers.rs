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

/// Feeds `bytes` to a parser in pieces that end at `splits`, and collects the parsed items.
fn feed<T, E>(
    bytes: &[u8], splits: &[usize], mut next: impl FnMut(&mut BytesMut) -> Result<Option<T>, E>,
) -> Result<Vec<T>, E> {
    let mut splits: Vec<usize> = splits.iter().map(|split| split % (bytes.len() + 1)).collect();
    splits.extend([0, bytes.len()]);
    splits.sort_unstable();
    let (mut buffer, mut found) = (BytesMut::new(), Vec::new());
    for pair in splits.windows(2) {
        buffer.extend_from_slice(&bytes[pair[0]..pair[1]]);
        while let Some(item) = next(&mut buffer)? {
            found.push(item);
        }
    }
    Ok(found)
}

fn read_watch_lines(bytes: &[u8], splits: &[usize]) -> Result<Vec<WatchLine>, ListError> {
    let mut reader = WatchReader::default();
    feed(bytes, splits, |buffer| reader.next(buffer))
}

fn read_http_responses(bytes: &[u8], splits: &[usize]) -> Result<Vec<(u16, Vec<u8>)>, ProtoError> {
    let mut reader = ResponseReader::new(MAX_BUFFERED_VALUE_BYTES);
    feed(bytes, splits, |buffer| Ok(reader.next(buffer)?.map(|(head, body)| (head.status, body.to_vec()))))
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn commands_are_decoded_from_any_split(
        words in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..6),
        splits in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let mut bytes = BytesMut::new();
        let slices: Vec<&[u8]> = words.iter().map(Vec::as_slice).collect();
        resp::encode_command(&mut bytes, &slices);
        resp::encode_command(&mut bytes, &[b"PING"]);
        let found = feed(&bytes, &splits, resp::decode_command).unwrap();
        prop_assert_eq!(found.len(), 2);
        prop_assert_eq!(found[0].0.iter().map(|w| w.to_vec()).collect::<Vec<_>>(), words);
    }

    #[test]
    fn replies_are_decoded_from_any_split(
        value in prop::collection::vec(any::<u8>(), 0..300), splits in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let mut bytes = BytesMut::from("*3\r\n");
        resp::encode_bulk(&mut bytes, &value);
        bytes.extend_from_slice(b"$3\r\nhit\r\n*-1\r\n".strip_suffix(b"*-1\r\n").unwrap());
        bytes.extend_from_slice(b"$-1\r\n*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n-BUSY\r\n-ERR failed\r\n");
        let found = feed(&bytes, &splits, resp::decode_reply).unwrap();
        let expected = [
            Reply::Served(value.into()),
            Reply::Miss { pending: true },
            Reply::Busy,
            Reply::Failed("ERR failed".into()),
        ];
        prop_assert_eq!(&found[..], &expected[..]);
    }

    #[test]
    fn large_replies_and_commands_are_decoded_from_any_split(
        extra in 1..3_000_usize, splits in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let value = vec![b'\n'; MAX_BUFFERED_VALUE_BYTES + extra];
        let mut bytes = BytesMut::from("*3\r\n");
        resp::encode_bulk(&mut bytes, &value);
        bytes.extend_from_slice(b"$3\r\nhit\r\n$-1\r\n-BUSY\r\n");
        // Reads like a connection: the value as it arrives, then its line end and its tail, then the next reply.
        let (mut remaining, mut value_end_due, mut tail_due) = (0, false, None);
        let found: Result<_, ProtoError> = feed(&bytes, &splits, |buffer| {
            let received = remaining.min(buffer.len());
            bytes::Buf::advance(buffer, received);
            remaining -= received;
            if remaining > 0 {
                return Ok(None);
            }
            if value_end_due {
                return Ok(resp::decode_value_end(buffer)?.map(|()| {
                    value_end_due = false;
                    "line end"
                }));
            }
            if let Some(tail) = tail_due {
                return Ok(resp::decode_reply_tail(buffer, tail)?.map(|()| {
                    tail_due = None;
                    "tail"
                }));
            }
            Ok(match resp::decode_reply(buffer)? {
                Some(Reply::Large { length, tail }) => {
                    (remaining, value_end_due, tail_due) = (length, true, Some(tail));
                    Some("large")
                }
                Some(Reply::Busy) => Some("busy"),
                other => other.map(|_| "other"),
            })
        });
        prop_assert_eq!(found.unwrap(), ["large", "line end", "tail", "busy"]);

        let mut bytes = BytesMut::new();
        resp::encode_command(&mut bytes, &[b"CACHE.SET", &value]);
        let (length, head) = (bytes.len(), bytes.len() - value.len() - 2);
        prop_assert_eq!(resp::parse_partial_command(&bytes[..head - 1]).unwrap(), None);
        for split in splits.iter().map(|split| head + split % (value.len() + 2)) {
            let found = resp::parse_partial_command(&bytes[..split]).unwrap().unwrap();
            prop_assert_eq!((found.words.0.len(), found.bytes, found.large), (1, length, true));
        }
        prop_assert_eq!(feed(&bytes, &splits, resp::decode_large_command).unwrap().len(), 1);
    }

    #[test]
    fn http_responses_are_decoded_from_any_split(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..60), 0..5),
        splits in prop::collection::vec(any::<usize>(), 0..12),
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
        prop_assert_eq!(read_http_responses(&bytes, &splits).unwrap(), vec![(200, body.clone()), (503, body)]);
    }

    #[test]
    fn watch_lines_are_decoded_from_any_split(
        revision in any::<u64>(), splits in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let line = format!(
            "\n{{\"revision\":{revision},\"complete\":false,\"members\":[{{\"id\":\"s-1\",\
             \"host_port\":\"127.0.0.1:6379\",\"phase\":\"draining\"}}]}}\n"
        );
        let found = read_watch_lines(line.as_bytes(), &splits).unwrap();
        prop_assert_eq!(&found[0], &WatchLine::KeepAlive);
        let WatchLine::Update(list) = &found[1] else { panic!("{found:?}") };
        prop_assert_eq!((list.revision, list.members[0].phase), (revision, Phase::Draining));
        // Lists may be indented, including the first list of a watch.
        let value: serde_json::Value = serde_json::from_str(&line).unwrap();
        let indented = serde_json::to_string_pretty(&value).unwrap() + "\n\n" + &line;
        let found_again = read_watch_lines(indented.as_bytes(), &splits).unwrap();
        prop_assert_eq!(found_again, [&found[1], &found[0], &found[0], &found[1]].map(Clone::clone));
    }

    #[test]
    fn garbage_never_panics_and_result_ignores_splits(
        start in prop::sample::select(vec!["", "*", "*2\r\n$", "*3\r\n$-1\r\n", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n", "{"]),
        noise in prop::collection::vec(prop_oneof![any::<u8>(), prop::sample::select(b"\r\n$*-:+0179a{}".to_vec())], 0..200),
        splits in prop::collection::vec(any::<usize>(), 0..6),
    ) {
        let bytes = [start.as_bytes(), &noise].concat();
        // The result must not depend on where the bytes were split.
        prop_assert_eq!(feed(&bytes, &splits, resp::decode_command).ok(), feed(&bytes, &[], resp::decode_command).ok());
        prop_assert_eq!(feed(&bytes, &splits, resp::decode_reply).ok(), feed(&bytes, &[], resp::decode_reply).ok());
        prop_assert_eq!(read_http_responses(&bytes, &splits).ok(), read_http_responses(&bytes, &[]).ok());
        prop_assert_eq!(read_watch_lines(&bytes, &splits).ok(), read_watch_lines(&bytes, &[]).ok());
    }
}

#[test]
fn endless_message_is_rejected_at_size_limit() {
    let long = vec![b'1'; 2 * MAX_BUFFERED_VALUE_BYTES];
    let with = |start: &[u8]| [start, &long].concat();
    assert!(feed(&with(b"*1\r\n$"), &[], resp::decode_command).is_err(), "a length without end");
    assert!(feed(&with(b"*2\r\n$65536\r\n"), &[], resp::decode_command).is_err(), "words without end");
    assert!(feed(&with(b"-"), &[], resp::decode_reply).is_err(), "a line without end");
    assert!(read_http_responses(&with(b"HTTP/1.1 200 OK\r\nA: "), &[]).is_err(), "a header without end");
    assert!(
        read_http_responses(b"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", &[]).is_err(),
        "a body too long"
    );
    let chunks = with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1ffff\r\n");
    assert!(read_http_responses(&chunks, &[]).is_err(), "chunks longer than the longest value");
    assert!(read_http_responses(b"HTTP/1.1 200 OK\r\n\r\n", &[]).is_err(), "a body without a stated end");
    assert!(
        read_http_responses(b"HTTP/1.0 200 OK\r\n\r\nnoise", &[]).is_err(),
        "HTTP/1.0 does not state the end"
    );
    assert!(
        read_http_responses(&with(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), &[]).is_err(),
        "a body longer than the longest value"
    );
    assert!(
        feed(b"*1\r\n$4194305\r\n", &[], resp::decode_reply).is_err(),
        "a length above that of the longest value"
    );
    assert!(resp::parse_partial_command(b"*1\r\n$4194305\r\n").is_err());
    assert!(
        read_http_responses(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", &[])
            .is_err()
    );
    assert!(
        read_http_responses(&b"HTTP/1.1 100 Continue\r\n\r\n".repeat(9), &[]).is_err(),
        "interim responses without end"
    );
    let line = [&b"{\"a\":\""[..], &vec![b'x'; MAX_LIST_BYTES]].concat();
    assert_eq!(read_watch_lines(&line, &[]), Err(ListError::TooLong), "a line without end");
}

#[test]
fn malformed_head_is_rejected_at_first_invalid_byte() {
    let good = "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(read_http_responses(good.as_bytes(), &[]).unwrap().len(), 1);
    let corruptions = [
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
    for (invalid_prefix, from, to, what) in corruptions {
        let bytes = good.replacen(from, to, 1);
        let whole = read_http_responses(bytes.as_bytes(), &[]);
        assert!(whole.is_err(), "{what}: {bytes:?} gave {whole:?}");
        let end = bytes.find(invalid_prefix).unwrap() + invalid_prefix.len();
        assert!(read_http_responses(&bytes.as_bytes()[..end], &[]).is_err(), "{what}, at once");
    }
    for (lines, accepted) in [(63, true), (64, false)] {
        let bytes = good.replacen("A: b\r\n", &"A: b\r\n".repeat(lines - 1), 1);
        assert_eq!(read_http_responses(bytes.as_bytes(), &[]).is_ok(), accepted, "{lines} headers");
    }
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (body, accepted) in [("0\r\n\r\n", true), ("\r\n\r\n", false), ("0\r\nA: b\n\r\n", false)] {
        let bytes = [chunked, body].concat();
        assert_eq!(read_http_responses(bytes.as_bytes(), &[]).is_ok(), accepted, "{body:?} as a body");
    }
}
