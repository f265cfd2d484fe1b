//! The format of the file of operator overrides, and the errors for files that cannot be read.

use expect_test::expect_file;
use maintenance::{OperatorOverrides, OverriddenList, OverrideCommand};
use proto::discovery::parse_endpoint_list;
use serde_json::json;

fn list_with_overrides() -> OverriddenList {
    let mut list = OverriddenList::new(Some("origin".into()), OperatorOverrides::default());
    let member = |id: &str, since: u64| {
        let flavor = if id == "origin" { "origin" } else { "m" };
        json!({"id": id, "host_port": "127.0.0.1:1", "flavor": flavor, "phase": "ready", "up_since_ms": since})
    };
    let members = [member("origin", 0), member("s-a", 5), member("s-b", 6), member("s-c", 7)];
    let text = json!({"revision": 1, "complete": true, "members": members}).to_string();
    let _ = list.apply_list(&parse_endpoint_list(text.as_bytes()).unwrap());
    let commands = [
        (1_764_600_000_100, OverrideCommand::Disable("s-a".into())),
        (1_764_600_000_200, OverrideCommand::Disable("s-b".into())),
        (1_764_600_000_300, OverrideCommand::Enable("s-b".into())),
        (1_764_600_000_400, OverrideCommand::Drain),
    ];
    for (now, command) in commands {
        let _ = list.apply_command(now, &command).unwrap();
    }
    list
}

#[test]
fn file_keeps_its_format_and_is_read() {
    let list = list_with_overrides();
    expect_file!["golden/orders.json"].assert_eq(&list.overrides().to_text());
    let old = OperatorOverrides::from_text(include_str!("golden/orders.json")).unwrap();
    assert_eq!(&old, list.overrides());
}

#[test]
fn unreadable_file_is_rejected_with_an_unchanged_message() {
    let mut text = String::new();
    for bad in ["", "{}", "{\"version\":2}", "{\"version\":1,\"out\":[]}"] {
        text += &format!("{}\n", OperatorOverrides::from_text(bad).unwrap_err());
    }
    expect_file!["golden/unreadable.txt"].assert_eq(&text);
}
