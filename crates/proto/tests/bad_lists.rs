//! Invalid lists: each is reported with the fault and its position, and does not affect later lists.

use bytes::BytesMut;
use proto::discovery::{ListError, MAX_LIST_BYTES, WatchLine, WatchReader, parse_endpoint_list};
use std::fmt::Write;

const GOOD: &str =
    r#"{"revision":7,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:1","phase":"ready"}]}"#;

fn read(text: &str) -> Result<Option<WatchLine>, ListError> {
    WatchReader::default().next(&mut BytesMut::from(format!("{text}\n").as_bytes()))
}

#[test]
fn error_of_a_list_names_the_fault_and_its_place() {
    let spoilt = [
        ("\"ready\"", "\"asleep\"", "unknown variant `asleep`", "an unknown phase"),
        ("127.0.0.1:1", "nowhere", "invalid socket address syntax at line 1 column 74", "an invalid address"),
        ("\"revision\":7,", "", "missing field `revision`", "no revision"),
        ("\"id\":\"s-1\",", "", "missing field `id` at line 1", "no id"),
        ("7", "-7", "invalid value: integer `-7`", "a negative revision"),
        ("true", "tru", "its byte 28 cannot stand there", "invalid JSON"),
        ("true", "tru\n", "its byte 28 cannot stand there", "invalid JSON, on several lines"),
        ("]}", "}}", "cannot stand there", "a wrong bracket"),
        ("}]}", "}]} x", "cannot stand there", "text after the list"),
        ("{\"rev", "x{\"rev", "its byte 0 cannot stand there", "text before the list"),
    ];
    for (from, to, says, what) in spoilt {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{what}");
        let error = read(&text).expect_err(what).to_string();
        assert!(error.contains(says), "{what}: {error}");
        assert!(parse_endpoint_list(text.as_bytes()).is_err(), "{what}, as a complete list");
    }
    assert!(matches!(read(GOOD), Ok(Some(WatchLine::Update(_)))));
}

#[test]
fn duplicate_endpoint_is_an_error_in_a_complete_list_and_the_last_counts_among_changes() {
    let member = |phase: &str| format!(r#"{{"id":"s-1","host_port":"127.0.0.1:1","phase":"{phase}"}}"#);
    let both = |complete| {
        let members = [member("ready"), member("draining")].join(",");
        format!(r#"{{"revision":7,"complete":{complete},"members":[{members}]}}"#)
    };
    assert_eq!(read(&both(true)), Err(ListError::Duplicate("s-1".into())));
    assert!(matches!(read(&both(false)), Ok(Some(WatchLine::Update(list))) if list.members.len() == 2));
}

#[test]
fn incomplete_line_is_awaited_and_a_new_reader_reads_the_next_good_one() {
    let mut buffer = BytesMut::from(&GOOD.as_bytes()[..GOOD.len() / 2]);
    assert_eq!(WatchReader::default().next(&mut buffer), Ok(None));
    assert!(matches!(read(GOOD), Ok(Some(WatchLine::Update(list))) if list.revision == 7));
}

#[test]
fn largest_list_with_deep_indentation_is_accepted_and_one_beyond_the_limit_is_not() {
    let (mut text, deep) = (String::from("{\"revision\":1,\"complete\":true,\"members\":["), " ".repeat(240));
    for number in 0..4_800 {
        let comma = if number == 0 { "" } else { "," };
        write!(
            text,
            "{comma}\n{deep}{{\"id\":\"s-{number}\",\"host_port\":\"127.0.0.1:1\",\"phase\":\"ready\"}}"
        )
        .unwrap();
    }
    text.push_str("]}");
    assert!(text.len() > 1_300_000 && text.len() < MAX_LIST_BYTES, "{}", text.len());
    assert!(matches!(read(&text), Ok(Some(WatchLine::Update(list))) if list.members.len() == 4_800));
    let beyond = text.replacen('[', &format!("[{}", " ".repeat(MAX_LIST_BYTES)), 1);
    assert_eq!(WatchReader::default().next(&mut BytesMut::from(beyond.as_bytes())), Err(ListError::TooLong));
}
