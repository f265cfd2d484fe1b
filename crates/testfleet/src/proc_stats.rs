//! Sockets, descriptors and resource usage of running processes, read from `/proc`.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Returns the addresses to which a process has bound UDP sockets; empty if the process has ended.
#[must_use]
pub fn udp_addresses(process: u32) -> Vec<SocketAddr> {
    let folder = PathBuf::from(format!("/proc/{process}"));
    let descriptors = fs::read_dir(folder.join("fd")).into_iter().flatten().flatten();
    let link_targets = descriptors.filter_map(|entry| fs::read_link(entry.path()).ok());
    let sockets: Vec<String> = link_targets.map(|link| link.to_string_lossy().into_owned()).collect();
    let table = fs::read_to_string(folder.join("net/udp")).unwrap_or_default();
    let parse_own_socket = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (addr, inode) = (fields.get(1)?.split_once(':')?, fields.get(9)?);
        let ip = u32::from_str_radix(addr.0, 16).ok()?.to_ne_bytes();
        let port = u16::from_str_radix(addr.1, 16).ok()?;
        sockets.contains(&format!("socket:[{inode}]")).then(|| SocketAddr::from((ip, port)))
    };
    table.lines().filter_map(parse_own_socket).collect()
}

/// Returns the number of open file descriptors of a process; 0 if the process has ended.
#[must_use]
pub fn open_descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// The resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResourceUsage {
    /// Resident memory, in KB.
    pub resident_kb: u64,
    /// Processor time used so far, in microseconds.
    pub processor_us: u64,
}

/// Returns the resource usage of a process; `None` if the process has ended.
#[must_use]
pub fn resource_usage(process: u32) -> Option<ResourceUsage> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let times = fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    let processor_ns: u64 = times.split(' ').next()?.parse().ok()?;
    let resident_kb = resident.trim().trim_end_matches(" kB").parse().ok()?;
    Some(ResourceUsage { resident_kb, processor_us: processor_ns / 1_000 })
}
