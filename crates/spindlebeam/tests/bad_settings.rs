//! Settings that are inconsistent, or lack a field without a safe default, are rejected with the file and the field, at
//! the start and on reload.

mod platform;

use platform::*;
use rstest::rstest;
use serde_json::{Value, json};
use spindlebeam::config;

const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// Returns a valid configuration of four classes, two tenants, two zones and two kinds, with some fields replaced.
fn config_with(edits: &[(&str, Value)]) -> Value {
    let mut file = platform::config(UNUSED_ADDRESS.parse().unwrap(), 1024, Value::Null);
    file["settings"]["dcs"] = json!(["a", "b"]);
    file["settings"]["tenants"] = json!([{"name": "acme", "quotaPerS": 9.0}, {"name": "zeta"}]);
    for (path, value) in edits {
        let replaced = file.pointer_mut(path).map(|field| *field = value.clone());
        if replaced.is_none() {
            let (parent, name) = path.rsplit_once('/').unwrap();
            file.pointer_mut(parent).unwrap()[name] = value.clone();
        }
    }
    file
}

#[rstest]
#[case::class_twice(&[("/settings/profiles/2/name", json!("leer"))], "settings.profiles[2].name: \"leer\" occurs twice")]
#[case::tenant_twice(&[("/settings/tenants/1/name", json!("acme"))], "settings.tenants[1].name: \"acme\" occurs twice")]
#[case::zone_twice(&[("/settings/dcs/1", json!("a"))], "settings.dcs[1]: \"a\" occurs twice")]
#[case::kind_twice(&[("/settings/hostTypes/0", json!("origin"))], "settings.hostTypes[1]: \"origin\" occurs twice")]
#[case::no_classes(&[("/settings/profiles", json!([]))], "settings.profiles: the settings name no classes")]
#[case::no_list(&[("/settings/tenants", json!({"name": "x"}))], "settings.tenants: {\"name\":\"x\"} is no list")]
#[case::no_class_name(&[("/settings/profiles/1/name", json!(null))], "settings.profiles[1].name: missing")]
#[case::no_word(&[("/settings/profiles/1/name", json!(7))], "settings.profiles[1].name: 7 is no name")]
#[case::no_tenant_name(&[("/settings/tenants/0/name", json!(null))], "settings.tenants[0].name: missing")]
#[case::no_effect(&[("/settings/profiles/0/effect", json!(null))], "settings.profiles[0].effect: missing")]
#[case::odd_effect(&[("/settings/profiles/0/effect", json!("odd"))],
    "settings.profiles[0].effect: \"odd\" is not retryable, dedup or fragile")]
#[case::no_deadline(&[("/settings/profiles/3/deadlineUs", json!(null))], "settings.profiles[3].deadlineUs: missing")]
#[case::deadline_0(&[("/settings/profiles/3/deadlineUs", json!(0))], "settings.profiles[3].deadlineUs: 0 is no whole")]
#[case::deadline_word(&[("/settings/profiles/3/deadlineUs", json!("soon"))], "[3].deadlineUs: \"soon\" is no whole")]
#[case::deadline_huge(&[("/settings/profiles/3/deadlineUs", json!(u64::MAX))], "[3].deadlineUs: 18446744073709551615")]
#[case::objective_0(&[("/settings/profiles/0/onTimeUs", json!(0))], "settings.profiles[0].onTimeUs: 0 is no whole")]
#[case::objective_beyond_deadline(&[("/settings/profiles/0/onTimeUs", json!(60_000_001))],
    "settings.profiles[0].onTimeUs: 60000001 is beyond deadlineUs, 60000000")]
#[case::no_window(&[("/settings/profiles/1/memorySpanUs", json!(null))], "settings.profiles[1].memorySpanUs: missing")]
#[case::no_scope(&[("/settings/profiles/1/keyScope", json!("row"))], "settings.profiles[1].keyScope: \"row\" is not")]
#[case::negative_worth(&[("/settings/profiles/1/worth", json!(-1))], "settings.profiles[1].worth: \"-1\" is not")]
#[case::quota_word(&[("/settings/tenants/0/quotaPerS", json!("many"))], "settings.tenants[0].quotaPerS: \"many\" is not")]
#[case::no_discovery(&[("/settings/discovery", json!(null))], "settings.discovery: missing")]
#[case::odd_discovery(&[("/settings/discovery", json!("guess"))], "settings.discovery: \"guess\" is not push or ask")]
#[case::me_outside(&[("/settings/me", json!(1))], "settings.me: 1 is none of the 1 balancers")]
#[case::no_balancers(&[("/settings/siblings", json!(0))], "settings.siblings: 0 is no whole number from 1")]
#[case::zone_outside(&[("/settings/locality", json!(2))], "settings.locality: 2 is none of the 2 zones in settings.dcs")]
#[case::origin_outside(&[("/settings/specifics/originKind", json!(2))],
    "settings.specifics.originKind: 2 is none of the 2 kinds in settings.hostTypes")]
#[case::no_origin(&[("/settings/specifics/originKind", json!(-1))],
    "settings.specifics.originKind: mode aside needs the kind of the origin")]
#[case::odd_mode(&[("/settings/specifics/mode", json!("under"))], "settings.specifics.mode: \"under\" is not")]
#[case::no_attempts(&[("/settings/permissions/maxAttempts", json!(0))], "settings.permissions.maxAttempts: 0 is no whole")]
#[case::no_max_retry_after(&[("/settings/permissions/maxRetryAfterUs", json!(null))],
    "settings.permissions.maxRetryAfterUs: missing")]
#[case::cancel(&[("/settings/permissions/cancel", json!("no"))], "settings.permissions.cancel: \"no\" is not true or false")]
#[case::dial_0(&[("/settings/permissions/dialTimeoutUs", json!(0))], "settings.permissions.dialTimeoutUs: 0 is no whole")]
#[case::max_open(&[("/settings/permissions/maxOpen", json!("all"))], "settings.permissions.maxOpen: \"all\" is no whole")]
#[case::cold_from(&[("/settings/rules", json!({"coldFrom": 1.01}))], "settings.rules.coldFrom: 1.01 is more than 1")]
#[case::settings(&[("/settings", json!([]))], "settings: [] is no object")]
#[case::seed(&[("/seed", json!("xyz"))], "seed: \"xyz\" is no hexadecimal number of 64 bits")]
#[case::no_seed(&[("/seed", json!(null))], "seed: missing")]
#[case::number_for_name(&[("/name", json!(5))], "name: invalid type: integer `5`, expected a string")]
#[case::listen(&[("/listen", json!("here"))], "listen: \"here\" is no address and port")]
#[case::no_listen(&[("/listen", json!(null))], "listen: missing")]
#[case::discovery_address(&[("/discovery", json!("there:x"))], "discovery: \"there:x\" is no address and port")]
#[case::operator(&[("/operator", json!("x"))], "operator: \"x\" is no address and port")]
#[case::memory(&[("/limits/memory_mb", json!(0))], "limits.memory_mb: 0 is too little")]
#[case::no_memory(&[("/limits/memory_mb", json!(null))], "limits.memory_mb: missing")]
#[case::no_sockets(&[("/limits", json!({"memory_mb": 64}))], "limits.sockets: missing")]
#[case::sockets(&[("/limits/sockets", json!(20))], "limits.sockets: 20 are too few")]
#[case::peers(&[("/settings/permissions/peers", json!(true)), ("/settings/siblings", json!(3)),
    ("/peers", json!(["127.0.0.1:1", "127.0.0.1:2"]))], "peers: 2 addresses, and settings.siblings is 3")]
fn invalid_setting_is_rejected_with_its_field(#[case] edits: &[(&str, Value)], #[case] expected: &str) {
    let error =
        config::parse(config_with(edits).to_string().as_bytes()).expect_err("invalid settings were accepted");
    let message = format!("{error:#}");
    assert!(message.contains(expected) && !message.contains('\n'), "{message}");
}

#[rstest]
#[case::in_the_file("\"seed\":", "seed")]
#[case::in_the_settings("\"locality\":", "settings.locality")]
#[case::in_a_class("\"onTimeUs\":", "settings.profiles[0].onTimeUs")]
fn duplicate_field_is_rejected_with_its_path(#[case] field: &str, #[case] path: &str) {
    let text = config_with(&[]).to_string().replacen(field, &format!("{field}1,{field}"), 1);
    let message =
        format!("{:#}", config::parse(text.as_bytes()).expect_err("a duplicate field was accepted"));
    assert!(message.contains(&format!("{path}: occurs twice")), "{message}");
}

#[rstest]
#[case::as_it_is(&[])]
#[case::no_tenants(&[("/settings/tenants", json!([]))])]
#[case::tenants_null(&[("/settings/tenants", json!(null))])]
#[case::shares_above_1(&[("/settings/tenants/0/share", json!(0.9)), ("/settings/tenants/1/share", json!(0.9))])]
#[case::window_of_a_safe_class(&[("/settings/profiles/0/memorySpanUs", json!(null))])]
#[case::window_0(&[("/settings/profiles/1/memorySpanUs", json!(0))])]
#[case::short_deadline(&[("/settings/profiles/0/onTimeUs", json!(1)), ("/settings/profiles/0/deadlineUs", json!(1.0))])]
#[case::no_objective(&[("/settings/profiles/0/onTimeUs", json!(null))])]
#[case::discovery_by_polling(&[("/settings/discovery", json!("ask"))])]
#[case::mode_through(&[("/settings/specifics", json!({"mode": "through", "originKind": -1}))])]
#[case::several_tiers(&[("/settings/permissions/peers", json!(true)), ("/settings/siblings", json!(3)),
    ("/peers", json!(["127.0.0.1:1"])), ("/settings/tiers", json!(["edge", "core"]))])]
#[case::unknown_fields(&[("/settings/rules", json!({"coldFrom": 1, "another": [null]})), ("/more", json!({"a": {}}))])]
fn harmless_settings_are_accepted(#[case] edits: &[(&str, Value)]) {
    config::parse(config_with(edits).to_string().as_bytes()).unwrap();
}

#[test]
fn start_with_invalid_settings_prints_file_and_field() {
    let bad = config_with(&[("/settings/profiles/2/name", json!("leer"))]);
    let (mut child, file) = spawn(&bad.to_string(), 1024);
    wait_until(|| child.try_wait().unwrap().is_some());
    let out = child.wait_with_output().unwrap();
    let expected = format!(
        "spindlebeam: configuration {}: settings.profiles[2].name: \"leer\" occurs twice\n",
        file.display()
    );
    assert_eq!((out.status.success(), String::from_utf8(out.stderr).unwrap()), (false, expected));
}

#[test]
fn reload_of_invalid_settings_changes_nothing() {
    let platform = Platform::start(1);
    let other = Discovery::start(list(9, true, &[]));
    let mut bad = platform::config(other.addr, 1024, Value::Null);
    bad["settings"]["profiles"][2]["name"] = "leer".into();
    platform.balancer.reload(&bad.to_string());
    let message = platform.balancer.wait_for_log("the configuration in use stays");
    assert!(message.contains(".json: settings.profiles[2].name: \"leer\" occurs twice;"), "{message}");
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    platform.peers[0].next_request().respond_value("v");
    assert_eq!(client.read_answer(), "v");
    assert!(other.paths.try_recv().is_err(), "the new discovery address is not used");
}

#[rstest]
#[case::one_bad_member(json!({"revision": 4, "complete": true, "members": [{"id": "s-1", "host_port": "nowhere"}]}))]
#[case::no_list(json!("all of them"))]
fn start_ignores_invalid_known_list(#[case] known: Value) {
    let peer = Peer::start(false);
    let origin = member("origin", Peer::start(true).addr, "ready");
    let discovery = Discovery::start(list(1, true, &[origin, member("s-1", peer.addr, "ready")]));
    let balancer = Balancer::start(&platform::config(discovery.addr, 1024, known), 1024);
    balancer.wait_for_log("ready");
    let mut client = balancer.client();
    client.get("leer", "1");
    peer.next_request().respond_value("v");
    assert_eq!(client.read_answer(), "v");
}
