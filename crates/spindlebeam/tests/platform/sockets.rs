//! The state of TCP connections, read from `/proc/net/tcp`.

use std::net::SocketAddr;

/// A row of `/proc/net/tcp`.
struct Row {
    state: String,
    inode: u64,
}

/// Returns the rows of connections between two addresses. Other rows are not parsed: with tens of thousands of
/// connections in TIME_WAIT, parsing them all would take as long as the times that the tests measure.
fn rows(local: &str, remote: &str) -> Vec<Row> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let addresses = format!(" {local} {remote} ");
    let row = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        Row { state: fields[3].to_owned(), inode: fields[9].parse().unwrap() }
    };
    table.lines().filter(|line| line.contains(&addresses)).map(row).collect()
}

fn loopback_address(port: u16) -> String {
    format!("0100007F:{port:04X}")
}

/// Returns whether a connection from this local address to this port exists in the state with this number.
pub fn is_in_state(local: SocketAddr, remote: u16, state: &str) -> bool {
    let (local, remote) = (loopback_address(local.port()), loopback_address(remote));
    rows(&local, &remote).iter().any(|row| row.state == state)
}

/// Returns whether a process still holds the connection from this client port to a server. A closed connection whose
/// last bytes the system still delivers has no inode.
pub fn is_held(server: SocketAddr, client_port: u16) -> bool {
    let (local, remote) = (loopback_address(server.port()), loopback_address(client_port));
    rows(&local, &remote).iter().any(|row| row.inode != 0)
}

/// Returns whether the server's side of the connection is still open or half closed by the client, accepted or not.
pub fn is_open(server: SocketAddr, client_port: u16) -> bool {
    const ESTABLISHED: &str = "01";
    const CLOSE_WAIT: &str = "08";
    is_held(server, client_port)
        || [ESTABLISHED, CLOSE_WAIT].iter().any(|state| is_in_state(server, client_port, state))
}
