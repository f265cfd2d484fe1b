//! What the program writes to clients, cache nodes, the origin, discovery and operators, in the forms that their pages give.

mod platform;

use expect_test::expect_file;
use platform::*;
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Command;

/// The text with each run of digits as `N`: times, ports and revisions differ from run to run.
fn without_numbers(text: &str) -> String {
    let mut out = String::new();
    for c in text.chars() {
        match c.is_ascii_digit() {
            true if out.ends_with('N') => {}
            true => out.push('N'),
            false => out.push(c),
        }
    }
    out
}

fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn without_date(answer: &str) -> String {
    let kept: String = answer.split_inclusive("\r\n").filter(|line| !line.starts_with("date: ")).collect();
    kept.replace("\r\n", "\\r\n")
}

#[test]
fn operators_are_answered_in_the_same_form() {
    let p = Platform::with_door(1);
    let door = p.balancer.door.unwrap();
    let mut client = p.balancer.client();
    client.get("leer", "1");
    p.peers[0].asked().value("v");
    assert_eq!(client.answer(), "v");
    let calls = [
        ("GET", "/ready", ""),
        ("GET", "/metrics", ""),
        ("GET", "/fleet", ""),
        ("POST", "/fleet/calendar", "{}"),
        ("POST", "/fleet/calendar", "{\"revoke\":{\"id\":\"\",\"asked_by\":\"ada\",\"reason\":\"over\"}}"),
        ("POST", "/fleet/calendar", "{\"revoke\":{\"id\":\"x\",\"asked_by\":\"ada\",\"reason\":\"over\"}}"),
        ("PUT", "/ready", ""),
        ("GET", "/drain", ""),
        ("GET", "/nothing", ""),
        ("POST", "/cache-hosts/disable", "{\"who\":\"nobody\"}"),
        ("POST", "/cache-hosts/disable", "{\"who\":7}"),
        ("POST", "/cache-hosts/disable", "{\"who\":\"s-0\"}"),
        ("POST", "/cache-hosts/enable", "{\"who\":\"s-0\"}"),
        ("POST", "/drain", ""),
        ("GET", "/ready", ""),
        ("POST", "/undrain", ""),
        ("GET", "/ready", ""),
    ];
    let mut text = String::new();
    for (method, path, body) in calls {
        let length = body.len();
        let call = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}");
        writeln!(text, "{method} {path} {body}\n{}\n", without_date(&exchange(door, call.as_bytes())))
            .unwrap();
    }
    expect_file!["golden/operators.txt"].assert_eq(&text);
}

#[test]
fn the_file_of_orders_is_kept_in_the_same_form() {
    let p = Platform::with_door(2);
    for (path, host) in [
        ("/cache-hosts/disable", "s-0"),
        ("/cache-hosts/disable", "s-1"),
        ("/cache-hosts/enable", "s-1"),
        ("/drain", ""),
    ] {
        p.balancer.order(path, host);
    }
    let file = std::fs::read_to_string(p.balancer.folder.join("spindlebeam-orders.json")).unwrap();
    let mut names: Vec<_> =
        std::fs::read_dir(&p.balancer.folder).unwrap().map(|it| it.unwrap().file_name()).collect();
    names.sort();
    expect_file!["golden/orders.txt"].assert_eq(&format!("{}\n{names:?}\n", without_numbers(&file)));
}

#[test]
fn requests_go_to_cache_nodes_the_origin_and_discovery_in_the_same_form() {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    let mut text = String::new();
    let mut line = |who: &str, what: &str| writeln!(text, "{who}: {}", what.escape_debug()).unwrap();
    client.get_as("9b1f03aa5c7e2d41", "leer", "7f3a9c21e0b4d655");
    let asked = p.peers[0].asked();
    line("to the cache node", &without_numbers(&asked.words.join(" ")));
    asked.miss();
    let fetch = p.origin.asked();
    line("to the origin", &without_numbers(&fetch.words.join("|")));
    fetch.http("200 OK", "abcde");
    line("to the client", &client.answer());
    client.set("alta", "solicitud");
    let put = p.origin.asked();
    line("to the origin", &without_numbers(&put.words.join("|")));
    put.http("200 OK", "recibo");
    line("to the client", &client.answer());
    client.set("folio", "f");
    p.origin.asked().http("500 Internal Server Error", "");
    line("to the client", &client.answer());
    client.get("leer", "2");
    p.peers[0].asked().answer("-BUSY 30\r\n");
    line("to the client", &without_numbers(&client.answer()));
    line("to discovery", &p.discovery.asked_for());
    line("to discovery", &p.discovery.asked_for());
    let commands: [&[u8]; 6] = [
        b"*1\r\n$4\r\nPING\r\n",
        b"*1\r\n$7\r\nUNKNOWN\r\n",
        b"*2\r\n$9\r\nCACHE.GET\r\n$1\r\n1\r\n",
        b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\n1\r\n$16\r\n0000000000000001\r\n$3\r\nc=x\r\n",
        b"?\r\n",
        b"*1\r\n$-5\r\n",
    ];
    for command in commands {
        let answer = exchange(p.balancer.addr, command);
        line(&format!("to {:?}", String::from_utf8_lossy(command)), &answer);
    }
    expect_file!["golden/requests.txt"].assert_eq(&text);
}

fn program(args: &[&str]) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let out = Command::new(env!("CARGO_BIN_EXE_spindlebeam")).args(args).current_dir(root).output().unwrap();
    let (said, wrong) = (String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap());
    format!("$ spindlebeam {}\n{said}{wrong}exit {:?}\n\n", args.join(" "), out.status.code())
}

#[test]
fn check_config_prints_the_same() {
    let fleet = ["--config", "deploy/example.json", "--fleet", "deploy/fleet.toml"];
    let mut text = program(&["check-config", "--config", "deploy/example.json"]);
    text += &program(&[&["check-config"], &fleet[..]].concat());
    text +=
        &program(&[&["check-config", "--fleet-listen", "127.0.0.1:0", "--keep", "x"], &fleet[..]].concat());
    text += &program(&["check-config", "--config", "deploy/nowhere.json"]);
    text += &program(&["check-config", "--config", "deploy/balancer.toml"]);
    text += &program(&["check-config", "--config", "deploy/example.json", "--fleet", "deploy/example.json"]);
    text += &program(&["unknown"]);
    text += &program(&["version"]);
    expect_file!["golden/check-config.txt"].assert_eq(&text);
}

#[test]
fn the_fleets_calendar_is_answered_in_the_same_form() {
    let builder = testfleet::fleet::Fleet::builder(env!("CARGO_BIN_EXE_spindlebeam"));
    let builder =
        builder.folder(env!("CARGO_TARGET_TMPDIR")).seed(43).with_fleet(true).cache_nodes(1).balancers(3);
    let fleet = builder.start().unwrap();
    for balancer in 0..3 {
        drop(fleet.balancer(balancer).process.find_line_with("fleet: lease held"));
    }
    let door = fleet.balancer(0).admin_addr;
    let freeze = json!({"add": {"freeze": {
        "id": "sales", "reason": "sales", "asked_by": "ada", "start": "2099-01-01T00:00", "end": "2099-01-02T00:00",
        "zone": "UTC", "scope": {"place": "fleet"}, "repeat": null
    }}});
    let revoke = |id: &str| json!({"revoke": {"id": id, "asked_by": "ada", "reason": "over"}});
    let mut unlike = freeze.clone();
    unlike["add"]["freeze"]["reason"] = "another".into();
    let mut past = freeze.clone();
    past["add"]["freeze"]["id"] = "past".into();
    past["add"]["freeze"]["start"] = "2001-01-01T00:00".into();
    past["add"]["freeze"]["end"] = "2001-01-02T00:00".into();
    let mut text = String::new();
    for proposal in [freeze.clone(), freeze, unlike, past, revoke("sales"), revoke("sales"), revoke("nobody")]
    {
        let (status, body) = call(door, "POST", "/fleet/calendar", &proposal.to_string());
        writeln!(text, "{status} {}", without_numbers(&body)).unwrap();
    }
    let (status, view) = call(door, "GET", "/fleet", "");
    let view: Value = serde_json::from_str(&view).unwrap();
    let keys: Vec<_> = view.as_object().unwrap().keys().collect();
    writeln!(text, "{status} {keys:?}\n{}", view["calendar"]["entries"]).unwrap();
    expect_file!["golden/calendar.txt"].assert_eq(&text);
}
