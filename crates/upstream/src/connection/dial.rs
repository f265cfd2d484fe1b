//! Opens connections.

use super::socket::{Connection, ConnectionPermit};
use crate::endpoints::Endpoint;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time;

/// Opens a connection to an endpoint. Returns `None` if connecting fails or takes longer than `timeout`.
pub async fn dial(permit: ConnectionPermit, endpoint: &Endpoint, timeout: Duration) -> Option<Connection> {
    let name = &endpoint.name;
    let stream = match time::timeout(timeout, TcpStream::connect(endpoint.addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            log::debug!("upstream: endpoint {name}: cannot connect: {error}");
            return None;
        }
        Err(_) => return None,
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("upstream: endpoint {name}: cannot set TCP_NODELAY on a new connection: {error}");
        return None;
    }
    let connection = Connection::new(stream, permit);
    // Bytes that arrive before a request is sent would be read as its response.
    if let Err(input) = connection.check_no_input() {
        log::debug!("upstream: endpoint {name}: input on a new connection: {input}");
        return None;
    }
    Some(connection)
}
