//! What the system knows of TCP connections, read from its table.

use std::net::SocketAddr;

/// A line of the system's table of TCP sockets.
struct Row {
    state: String,
    inode: u64,
}

/// The rows of connections between these addresses. All other lines are passed over unread: on a machine on which tens of thousands of
/// closed connections wait to be forgotten, taking each apart would take as long as what the tests measure.
fn rows(local: &str, remote: &str) -> Vec<Row> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let addresses = format!(" {local} {remote} ");
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        Row { state: fields[3].to_owned(), inode: fields[9].parse().unwrap() }
    };
    table.lines().filter(|line| line.contains(&addresses)).map(row).collect()
}

fn on_loopback(port: u16) -> String {
    format!("0100007F:{port:04X}")
}

/// Whether the system holds a connection from this local address to this port in a state, by its number.
pub fn in_state(local: SocketAddr, remote: u16, state: &str) -> bool {
    let (local, remote) = (on_loopback(local.port()), on_loopback(remote));
    rows(&local, &remote).iter().any(|row| row.state == state)
}

/// Whether a process still holds the connection that a client has opened from this port to a server: one that was closed,
/// and whose last bytes the system delivers by itself, has no inode any more.
pub fn is_held(server: SocketAddr, client_port: u16) -> bool {
    let (local, remote) = (on_loopback(server.port()), on_loopback(client_port));
    rows(&local, &remote).iter().any(|row| row.inode != 0)
}

/// Whether the system still holds the connection for a server, accepted by a process or not: open, or half closed by the client.
pub fn is_open(server: SocketAddr, client_port: u16) -> bool {
    const ESTABLISHED: &str = "01";
    const CLOSE_WAIT: &str = "08";
    is_held(server, client_port)
        || [ESTABLISHED, CLOSE_WAIT].iter().any(|state| in_state(server, client_port, state))
}
