//! Invalid lists: each is reported with the fault and its position, and does not affect later lists.

use bytes::BytesMut;
use proto::discovery::{ListError, MAX_LIST_BYTES, WatchLine, WatchReader, parse_endpoint_list};
use std::fmt::Write;

const VALID_LIST: &str =
    r#"{"revision":7,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:1","phase":"ready"}]}"#;

fn read_line(text: &str) -> Result<Option<WatchLine>, ListError> {
    WatchReader::default().next(&mut BytesMut::from(format!("{text}\n").as_bytes()))
}

#[test]
fn invalid_list_error_states_fault_and_position() {
    let corruptions = [
        ("\"ready\"", "\"asleep\"", "unknown variant `asleep`", "an unknown phase"),
        ("127.0.0.1:1", "nowhere", "invalid socket address syntax at line 1 column 74", "an invalid address"),
        ("\"revision\":7,", "", "missing field `revision`", "no revision"),
        ("\"id\":\"s-1\",", "", "missing field `id` at line 1", "no id"),
        ("7", "-7", "invalid value: integer `-7`", "a negative revision"),
        ("true", "tru", "unexpected byte at offset 28", "invalid JSON"),
        ("true", "tru\n", "unexpected byte at offset 28", "invalid JSON, on several lines"),
        ("]}", "}}", "unexpected byte at offset", "a wrong bracket"),
        ("}]}", "}]} x", "unexpected byte at offset", "text after the list"),
        ("{\"rev", "x{\"rev", "unexpected byte at offset 0", "text before the list"),
    ];
    for (from, to, message, what) in corruptions {
        let text = VALID_LIST.replacen(from, to, 1);
        assert_ne!(text, VALID_LIST, "{what}");
        let error = read_line(&text).expect_err(what).to_string();
        assert!(error.contains(message), "{what}: {error}");
        assert!(parse_endpoint_list(text.as_bytes()).is_err(), "{what}, as a complete list");
    }
    assert!(matches!(read_line(VALID_LIST), Ok(Some(WatchLine::Update(_)))));
}

#[test]
fn duplicate_endpoint_is_rejected_only_in_complete_list() {
    let endpoint = |phase: &str| format!(r#"{{"id":"s-1","host_port":"127.0.0.1:1","phase":"{phase}"}}"#);
    let duplicated = |complete| {
        let members = [endpoint("ready"), endpoint("draining")].join(",");
        format!(r#"{{"revision":7,"complete":{complete},"members":[{members}]}}"#)
    };
    assert_eq!(read_line(&duplicated(true)), Err(ListError::Duplicate("s-1".into())));
    assert!(
        matches!(read_line(&duplicated(false)), Ok(Some(WatchLine::Update(list))) if list.members.len() == 2)
    );
}

#[test]
fn incomplete_line_is_awaited_and_new_reader_recovers() {
    let mut buffer = BytesMut::from(&VALID_LIST.as_bytes()[..VALID_LIST.len() / 2]);
    assert_eq!(WatchReader::default().next(&mut buffer), Ok(None));
    assert!(matches!(read_line(VALID_LIST), Ok(Some(WatchLine::Update(list))) if list.revision == 7));
}

#[test]
fn indented_large_list_is_accepted_up_to_byte_limit() {
    let (mut text, indentation) =
        (String::from("{\"revision\":1,\"complete\":true,\"members\":["), " ".repeat(240));
    for number in 0..4_800 {
        let comma = if number == 0 { "" } else { "," };
        write!(
            text,
            "{comma}\n{indentation}{{\"id\":\"s-{number}\",\"host_port\":\"127.0.0.1:1\",\"phase\":\"ready\"}}"
        )
        .unwrap();
    }
    text.push_str("]}");
    assert!(text.len() > 1_300_000 && text.len() < MAX_LIST_BYTES, "{}", text.len());
    assert!(matches!(read_line(&text), Ok(Some(WatchLine::Update(list))) if list.members.len() == 4_800));
    let too_long = text.replacen('[', &format!("[{}", " ".repeat(MAX_LIST_BYTES)), 1);
    assert_eq!(
        WatchReader::default().next(&mut BytesMut::from(too_long.as_bytes())),
        Err(ListError::TooLong)
    );
}
