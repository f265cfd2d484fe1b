//! The exact form of what the program writes to clients, cache nodes, the origin, discovery and operators, as
//! documented. Golden files hold the expected texts.

mod platform;

use expect_test::expect_file;
use platform::*;
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Command;

/// Replaces each run of digits with `N`, since times, ports and revisions differ between runs.
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
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
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
fn admin_answers_match_golden_file() {
    let platform = Platform::with_admin_endpoint(1);
    let admin_addr = platform.balancer.admin_addr.unwrap();
    let mut client = platform.balancer.client();
    client.get("leer", "1");
    platform.peers[0].next_request().respond_value("v");
    assert_eq!(client.read_answer(), "v");
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
        writeln!(text, "{method} {path} {body}\n{}\n", without_date(&exchange(admin_addr, call.as_bytes())))
            .unwrap();
    }
    expect_file!["golden/operators.txt"].assert_eq(&text);
}

#[test]
fn overrides_file_matches_golden_file() {
    let platform = Platform::with_admin_endpoint(2);
    for (path, cache_node) in [
        ("/cache-hosts/disable", "s-0"),
        ("/cache-hosts/disable", "s-1"),
        ("/cache-hosts/enable", "s-1"),
        ("/drain", ""),
    ] {
        platform.balancer.post_admin(path, cache_node);
    }
    let file = std::fs::read_to_string(platform.balancer.folder.join("spindlebeam-orders.json")).unwrap();
    let mut names: Vec<_> =
        std::fs::read_dir(&platform.balancer.folder).unwrap().map(|it| it.unwrap().file_name()).collect();
    names.sort();
    expect_file!["golden/orders.txt"].assert_eq(&format!("{}\n{names:?}\n", without_numbers(&file)));
}

#[test]
fn requests_and_answers_match_golden_file() {
    let platform = Platform::start(1);
    let mut client = platform.balancer.client();
    let mut text = String::new();
    let mut add_line =
        |prefix: &str, message: &str| writeln!(text, "{prefix}: {}", message.escape_debug()).unwrap();
    client.get_with_id("9b1f03aa5c7e2d41", "leer", "7f3a9c21e0b4d655");
    let request = platform.peers[0].next_request();
    add_line("to the cache node", &without_numbers(&request.words.join(" ")));
    request.respond_miss();
    let fetch = platform.origin.next_request();
    add_line("to the origin", &without_numbers(&fetch.words.join("|")));
    fetch.respond_http("200 OK", "abcde");
    add_line("to the client", &client.read_answer());
    client.set("alta", "solicitud");
    let put = platform.origin.next_request();
    add_line("to the origin", &without_numbers(&put.words.join("|")));
    put.respond_http("200 OK", "recibo");
    add_line("to the client", &client.read_answer());
    client.set("folio", "f");
    platform.origin.next_request().respond_http("500 Internal Server Error", "");
    add_line("to the client", &client.read_answer());
    client.get("leer", "2");
    platform.peers[0].next_request().respond("-BUSY 30\r\n");
    add_line("to the client", &without_numbers(&client.read_answer()));
    add_line("to discovery", &platform.discovery.next_path());
    add_line("to discovery", &platform.discovery.next_path());
    let commands: [&[u8]; 6] = [
        b"*1\r\n$4\r\nPING\r\n",
        b"*1\r\n$7\r\nUNKNOWN\r\n",
        b"*2\r\n$9\r\nCACHE.GET\r\n$1\r\n1\r\n",
        b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\n1\r\n$16\r\n0000000000000001\r\n$3\r\nc=x\r\n",
        b"?\r\n",
        b"*1\r\n$-5\r\n",
    ];
    for command in commands {
        let answer = exchange(platform.balancer.addr, command);
        add_line(&format!("to {:?}", String::from_utf8_lossy(command)), &answer);
    }
    expect_file!["golden/requests.txt"].assert_eq(&text);
}

fn run_program(args: &[&str]) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let out = Command::new(env!("CARGO_BIN_EXE_spindlebeam")).args(args).current_dir(root).output().unwrap();
    let (output, errors) = (String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap());
    format!("$ spindlebeam {}\n{output}{errors}exit {:?}\n\n", args.join(" "), out.status.code())
}

#[test]
fn check_config_output_matches_golden_file() {
    let fleet = ["--config", "deploy/example.json", "--fleet", "deploy/fleet.toml"];
    let mut text = run_program(&["check-config", "--config", "deploy/example.json"]);
    text += &run_program(&[&["check-config"], &fleet[..]].concat());
    text += &run_program(
        &[&["check-config", "--fleet-listen", "127.0.0.1:0", "--keep", "x"], &fleet[..]].concat(),
    );
    text += &run_program(&["check-config", "--config", "deploy/nowhere.json"]);
    text += &run_program(&["check-config", "--config", "deploy/balancer.toml"]);
    text +=
        &run_program(&["check-config", "--config", "deploy/example.json", "--fleet", "deploy/example.json"]);
    text += &run_program(&["unknown"]);
    text += &run_program(&["version"]);
    expect_file!["golden/check-config.txt"].assert_eq(&text);
}

#[test]
fn fleet_calendar_answers_match_golden_file() {
    let builder = testfleet::fleet::Fleet::builder(env!("CARGO_BIN_EXE_spindlebeam"));
    let builder =
        builder.folder(env!("CARGO_TARGET_TMPDIR")).seed(43).with_fleet(true).cache_nodes(1).balancers(3);
    let fleet = builder.start().unwrap();
    for balancer in 0..3 {
        drop(fleet.balancer(balancer).process.find_line_with("fleet: lease held"));
    }
    let admin_addr = fleet.balancer(0).admin_addr;
    let freeze = json!({"add": {"freeze": {
        "id": "sales", "reason": "sales", "asked_by": "ada", "start": "2099-01-01T00:00", "end": "2099-01-02T00:00",
        "zone": "UTC", "scope": {"place": "fleet"}, "repeat": null
    }}});
    let revoke = |id: &str| json!({"revoke": {"id": id, "asked_by": "ada", "reason": "over"}});
    let mut different = freeze.clone();
    different["add"]["freeze"]["reason"] = "another".into();
    let mut past = freeze.clone();
    past["add"]["freeze"]["id"] = "past".into();
    past["add"]["freeze"]["start"] = "2001-01-01T00:00".into();
    past["add"]["freeze"]["end"] = "2001-01-02T00:00".into();
    let mut text = String::new();
    for proposal in
        [freeze.clone(), freeze, different, past, revoke("sales"), revoke("sales"), revoke("nobody")]
    {
        let (status, body) = call(admin_addr, "POST", "/fleet/calendar", &proposal.to_string());
        writeln!(text, "{status} {}", without_numbers(&body)).unwrap();
    }
    let (status, view) = call(admin_addr, "GET", "/fleet", "");
    let view: Value = serde_json::from_str(&view).unwrap();
    let keys: Vec<_> = view.as_object().unwrap().keys().collect();
    writeln!(text, "{status} {keys:?}\n{}", view["calendar"]["entries"]).unwrap();
    expect_file!["golden/calendar.txt"].assert_eq(&text);
}
