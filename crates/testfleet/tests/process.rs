//! Tests of processes and the fleet file, with a shell script as the program: signals, disks and log lines.

use serde_json::json;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use testfleet::config::{FleetMember, fleet_file};
use testfleet::fleet::Fleet;
use testfleet::folder::Folder;
use testfleet::process::{Disk, Launch, Process};
use testfleet::runtime::Runtime;

/// A script that logs the lines that a balancer of a fleet logs, its clock offset, disk and arguments, and runs until a
/// signal ends it.
const SCRIPT: &str = r#"#!/bin/sh
echo "n0: listening on 127.0.0.1:9" >&2
echo "n0: admin endpoint on 127.0.0.1:10" >&2
echo "fleet: listening on 127.0.0.1:11" >&2
echo "fleet: joined" >&2
echo "it is ready" >&2
echo "fleet: caught up to revision 7" >&2
echo "fleet: lease held" >&2
echo "fleet: fenced: the lease ran out" >&2
echo "offset $SPINDLEBEAM_CLOCK_OFFSET_MS, disk $(cat "$TMPDIR/memory" 2>/dev/null), arguments $*" >&2
exec tail -f /dev/null
"#;

fn write_script(folder: &Path) -> PathBuf {
    let file = folder.join("program");
    fs::write(&file, SCRIPT).unwrap();
    fs::set_permissions(&file, fs::Permissions::from_mode(0o755)).unwrap();
    file
}

/// Returns the state of a process from `/proc`: `T` is stopped.
fn process_state(process: &Process) -> char {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    stat.rsplit(") ").next().unwrap().chars().next().unwrap()
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = std::time::Instant::now() + testfleet::WAIT_TIMEOUT;
    while !condition() {
        assert!(
            std::time::Instant::now() < deadline,
            "condition not met within {:?}",
            testfleet::WAIT_TIMEOUT
        );
        std::thread::yield_now();
    }
}

#[test]
fn restarted_process_finds_kept_empty_or_restored_disk() {
    let (folder, runtime) = (Folder::below(&std::env::temp_dir()).unwrap(), Runtime::start().unwrap());
    let launch =
        Launch { program: write_script(folder.path()), clock_offset_ms: -30_000, ..Launch::default() };
    let mut process =
        Process::start(runtime.handle(), launch, &folder.path().join("n0"), &json!({"a": 1})).unwrap();
    assert!(process.next_line_with("offset").contains("offset -30000, disk , arguments serve --config "));
    let memory = process.disk().join("memory");
    fs::write(&memory, "old").unwrap();
    process.save_disk_copy("early").unwrap();
    fs::write(&memory, "new").unwrap();
    process.restart(Disk::Kept, &json!({})).unwrap();
    assert!(process.next_line_with("offset").contains("disk new,"));
    assert!(process.restore_disk_copy("early").is_err(), "restored under a running process");
    process.kill().unwrap();
    process.restore_disk_copy("early").unwrap();
    process.restart(Disk::Kept, &json!({})).unwrap();
    assert!(process.next_line_with("offset").contains("disk old,"));
    process.restart(Disk::Empty, &json!({})).unwrap();
    assert!(process.next_line_with("offset").contains("disk ,"));
}

#[test]
fn signals_reach_the_process_and_are_refused_after_it_is_reaped() {
    let (folder, runtime) = (Folder::below(&std::env::temp_dir()).unwrap(), Runtime::start().unwrap());
    let launch = Launch { program: write_script(folder.path()), ..Launch::default() };
    let process_folder = folder.path().join("n0");
    let mut process = Process::start(runtime.handle(), launch, &process_folder, &json!({})).unwrap();
    process.next_line_with("offset");
    process.pause().unwrap();
    wait_until(|| process_state(&process) == 'T');
    process.resume().unwrap();
    wait_until(|| process_state(&process) != 'T');
    process.terminate().unwrap();
    assert!(!process.wait_end().unwrap().success());
    let errors = [process.terminate(), process.pause()].map(|result| result.unwrap_err().raw_os_error());
    assert_eq!(errors, [None, None], "refused without a system call");
    let process_id = process.id();
    process.restart(Disk::Kept, &json!({})).unwrap();
    assert_ne!(process.id(), process_id);
    let process_id = process.id();
    drop(process);
    assert!(
        !Path::new(&format!("/proc/{process_id}")).exists(),
        "process still running after its owner was dropped"
    );
}

#[test]
fn fleet_starts_with_fleet_file_and_awaits_log_lines() {
    let folder = Folder::below(&std::env::temp_dir()).unwrap();
    let builder =
        Fleet::builder(write_script(folder.path())).folder(folder.path()).balancers(1).cache_nodes(1);
    let fleet = builder.with_fleet(true).clock_offset_ms(0, 250).start().unwrap();
    fleet.await_caught_up(0, 7);
    fleet.await_joined(0); // finds a line that was logged before the one awaited above
    fleet.await_lease(0);
    assert_eq!(fleet.await_fenced(0), "the lease ran out");
    let line = fleet.balancer(0).process.next_line_with("offset 250");
    let file = fleet.folder().join("fleet.toml");
    assert!(
        line.contains(&format!("--fleet {} --fleet-listen 127.0.0.1:0 --keep ", file.display())),
        "{line}"
    );
    let address = fleet.udp_relay().address(0).unwrap();
    let listed = [FleetMember { address, zone: "z0".into(), voter: true }];
    assert_eq!(fs::read_to_string(file).unwrap(), fleet_file("test", "2s", &listed));
}

#[test]
fn fleet_file_lists_each_balancer_by_relay_address() {
    let listed = |port: u16, voter| FleetMember {
        address: (std::net::Ipv4Addr::LOCALHOST, port).into(),
        zone: "a".into(),
        voter,
    };
    let text = fleet_file("test", "2s", &[listed(4001, true), listed(4002, false)]);
    let expected = "[fleet]\nname = \"test\"\nlease = \"2s\"\n\n\
        [[balancer]]\nnumber = 0\nname = \"n0\"\naddress = \"127.0.0.1:4001\"\nzone = \"a\"\ncouncil = true\n\n\
        [[balancer]]\nnumber = 1\nname = \"n1\"\naddress = \"127.0.0.1:4002\"\nzone = \"a\"\ncouncil = false\n";
    assert_eq!(text, expected);
}
