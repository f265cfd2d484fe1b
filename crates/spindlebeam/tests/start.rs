//! The configuration and the endpoint lists of discovery, as they reach the decision module.

use decide::api::*;
use proto::discovery::{EndpointList, parse_endpoint_list};
use serde_json::json;
use spindlebeam::config;
use std::time::Duration;
use upstream::endpoints::{EndpointSet, endpoint_id};
use upstream::setup::Names;

#[test]
fn nested_settings_reach_the_decision_module() {
    let class = json!({"name": "alta", "effect": "dedup", "keyScope": "all", "memorySpanUs": 4_000_000,
                       "onTimeUs": 500_000.0, "deadlineUs": 1_000_000, "worth": 5.0, "lateWorth": 0.25});
    let text = json!({
        "name": "n3", "listen": "127.0.0.4:6379", "discovery": "127.0.0.5:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "peers": [],
        "settings": {
            "siblings": 4, "dcs": ["a", "b"], "locality": 1, "hostTypes": ["m", "origin"], "profiles": [class],
            "tenants": [{"name": "valle alto", "quotaPerS": 30.0}], "weights": "nominal",
            "specifics": {"mode": "aside", "originKind": 1},
            "permissions": {"maxAttempts": 5, "retryAfter": true, "maxRetryAfterUs": 1_000_000,
                            "connIdleUs": 10_000_000, "dialTimeoutUs": 100_000, "maxOpen": 20_000},
            "discovery": "push",
        },
    });
    let config = config::parse(text.to_string().as_bytes()).unwrap();
    let settings = &config.settings;
    assert_eq!((settings.balancers, settings.zone, settings.zones), (4, ZoneId(1), 2));
    assert_eq!(
        (settings.origin_kind, settings.max_attempts, settings.has_stable_weights),
        (Some(1), 5, true)
    );
    assert_eq!(settings.max_retry_after_us, 1_000_000);
    let effect = Effect::IdempotentWithKey { scope: DedupScope::All, span_us: 4_000_000 };
    let expected = Class {
        latency_objective_us: 500_000,
        deadline_us: 1_000_000,
        priority_weight: 5.0,
        late_weight: 0.25,
        effect,
    };
    assert_eq!((&settings.classes[..], settings.tenants[0].quota_per_s), (&[expected][..], 30.0));
    assert_eq!((&config.names.classes[0][..], &config.names.kinds[1][..]), ("alta", "origin"));
    assert_eq!((config.seed, config.bounds.dial), (0x8c1f_30d2_7a5b_e964, Duration::from_millis(100)));
    assert!(
        config.bounds.idle < Duration::from_secs(10),
        "connections are retired before the idle timeout of the endpoints"
    );
    assert!(config.bounds.clients + config.bounds.peers < 1024, "some descriptors are reserved");
}

#[test]
fn endpoint_number_is_a_stable_hash_of_its_id() {
    // Published test vectors of FNV-1a: balancers of different builds must rank endpoints for a key alike.
    assert_eq!(endpoint_id(""), EndpointId(0xcbf2_9ce4_8422_2325));
    assert_eq!(endpoint_id("a"), EndpointId(0xaf63_dc4c_8601_ec8c));
}

fn read(revision: u64, complete: bool, members: &[(&str, &str, u64)]) -> EndpointList {
    let members: Vec<_> = members
        .iter()
        .map(|(id, phase, since)| {
            // Each endpoint has an address of its own: of two at one address only the latest is listed.
            let port = 6_379 + u16::from(id.as_bytes()[0]);
            json!({"id": id, "host_port": format!("127.0.0.1:{port}"), "locality": "b", "flavor": "m2", "cell": 3,
                   "phase": phase, "size": 0.0, "up_since_ms": since})
        })
        .collect();
    parse_endpoint_list(
        json!({"revision": revision, "complete": complete, "members": members}).to_string().as_bytes(),
    )
    .unwrap()
}

#[test]
fn lists_become_entries_and_mark_stale_connections() {
    let names = |all: &[&str]| all.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let names = Names { zones: names(&["a", "b"]), kinds: names(&["m1", "m2"]), ..Names::default() };
    let mut endpoints = EndpointSet::new(names, None);
    let (kind, entries, stale) =
        endpoints.apply(&read(1, true, &[("x", "ready", 5), ("y", "ready", 0)]), true);
    assert_eq!((kind, stale), (ListKind::Cached, vec![]));
    let expected = EndpointEntry {
        id: endpoint_id("x"),
        state: EndpointState::Ready,
        kind: 1,
        weight: 1.0, // a size of 0 counts as the ordinary one
        cell: CellId(3),
        zone: ZoneId(1),
        started_at: 5_000,
    };
    assert_eq!(entries[0], expected);

    let (kind, _, stale) =
        endpoints.apply(&read(2, false, &[("x", "ready", 9), ("y", "draining", 0)]), false);
    assert_eq!(
        (kind, stale),
        (ListKind::Delta, vec![endpoint_id("x"), endpoint_id("y")]),
        "x has restarted, y is draining"
    );
    assert!(
        endpoints.endpoint(endpoint_id("x")).unwrap().is_ready()
            && !endpoints.endpoint(endpoint_id("y")).unwrap().is_ready()
    );

    let before = endpoints.endpoint(endpoint_id("x")).unwrap().clone();
    let (kind, _, stale) = endpoints.apply(&read(3, true, &[("y", "ready", 0)]), false);
    assert_eq!(
        (kind, stale),
        (ListKind::Full, vec![endpoint_id("x")]),
        "an endpoint missing from a whole list is gone"
    );
    assert!(
        !before.is_ready() && endpoints.endpoint(endpoint_id("x")).is_none(),
        "also for an attempt that still connects to it"
    );

    // Guards against unbounded growth: endpoints that a change list reported as gone were kept for ever.
    let before = endpoints.endpoint(endpoint_id("y")).unwrap().clone();
    let (_, entries, stale) = endpoints.apply(&read(4, false, &[("y", "gone", 0)]), false);
    assert_eq!((entries[0].state, stale), (EndpointState::Gone, vec![endpoint_id("y")]));
    assert!(
        !before.is_ready() && endpoints.endpoint(endpoint_id("y")).is_none(),
        "nothing is kept of a gone endpoint"
    );
}

#[test]
fn malformed_gossip_address_is_rejected_with_its_field() {
    let text = |field: &str, value: serde_json::Value, peers: bool| {
        let each: Vec<String> = (1..=12).map(|n| format!("10.3.0.{n}:7946")).collect();
        let mut text = json!({
            "name": "n3", "listen": "127.0.0.4:6379", "discovery": "127.0.0.5:8500", "seed": "1",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "peer_listen": "127.0.0.4:7946", "peers": each, "peers_all": "10.3.255.1:7946",
            "settings": {"me": 3, "siblings": 12, "discovery": "push", "permissions": {"peers": peers},
                         "profiles": [{"name": "leer", "effect": "retryable", "deadlineUs": 1_000_000}]},
        });
        if !field.is_empty() {
            text[field] = value;
        }
        text.to_string()
    };
    let siblings = config::parse(text("", json!(0), true).as_bytes()).unwrap().gossip.unwrap();
    assert_eq!((siblings.own_number, siblings.balancers.len()), (3, 12));
    let bad = [
        ("peer_listen", json!("here"), "peer_listen: \"here\""),
        ("peers_all", json!("10.0.0.1"), "peers_all: \"10.0.0.1\""),
        ("peers", json!(["10.3.0.1:7946", "x:1"]), "peers[1]: \"x:1\""),
    ];
    for (field, value, expected) in bad {
        let error = format!("{:#}", config::parse(text(field, value, true).as_bytes()).unwrap_err());
        assert!(error.contains(expected), "{error}");
    }
    // No socket is opened if gossip is not allowed, or without an address to listen on or other balancers.
    for (field, value, peers) in
        [("", json!(0), false), ("peer_listen", json!(null), true), ("peers", json!([]), true)]
    {
        assert!(config::parse(text(field, value, peers).as_bytes()).unwrap().gossip.is_none());
    }
}

#[test]
fn admin_address_and_descriptor_come_from_file_or_variables() {
    let text = |operator: serde_json::Value| {
        json!({
            "name": "n3", "listen": "127.0.0.4:6379", "discovery": "127.0.0.5:8500", "seed": "1",
            "operator": operator, "limits": {"memory_mb": 192, "sockets": 1024},
            "settings": {"discovery": "push",
                         "profiles": [{"name": "leer", "effect": "retryable", "deadlineUs": 1_000_000}]},
        })
        .to_string()
    };
    let read = |operator: serde_json::Value, variables: &[(&str, &str)]| {
        let mut config = config::parse(text(operator).as_bytes())?;
        let variable = |name: &str| variables.iter().find(|it| it.0 == name).map(|it| it.1.to_owned());
        config::apply_environment(variable, &mut config).map(|()| config)
    };
    let config = read(json!(null), &[]).unwrap();
    assert_eq!((config.admin_address, config.inherited_descriptor, config.state_folder), (None, None, None));
    let clients = config.bounds.clients;
    let config = read(json!("127.0.0.4:19000"), &[("PROXY_FD", "7"), ("TMPDIR", "/tmp")]).unwrap();
    assert_eq!(
        (config.admin_address, config.inherited_descriptor),
        (Some("127.0.0.4:19000".parse().unwrap()), Some(7))
    );
    assert!(config.bounds.clients < clients, "descriptors are reserved for the admin endpoint");
    let config = read(json!("127.0.0.4:19000"), &[("PROXY_OPERATOR", "127.0.0.4:19001")]).unwrap();
    assert_eq!(
        config.admin_address,
        Some("127.0.0.4:19001".parse().unwrap()),
        "the environment overrides the file"
    );
    for (operator, variables, expected) in [
        (json!("here"), &[][..], "operator: \"here\""),
        (json!(null), &[("PROXY_OPERATOR", "19000")], "PROXY_OPERATOR: \"19000\""),
        (json!(null), &[("PROXY_FD", "seven")], "PROXY_FD: \"seven\""),
    ] {
        let error = format!("{:#}", read(operator, variables).expect_err("an invalid value was accepted"));
        assert!(error.contains(expected), "{error}");
    }
}
