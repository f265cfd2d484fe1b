//! The listening sockets of the process: for clients, and for the admin endpoint.

use anyhow::{Context, Result};
use gateway::setup::Config;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Backlog of a listener: connections that the system holds until they are accepted.
const BACKLOG: u32 = 1024;

/// The listening sockets.
pub(super) struct Sockets {
    /// Listens for clients; inherited if the platform holds the socket.
    pub(super) clients: TcpListener,
    /// Listens for calls of the admin endpoint, if one is configured.
    pub(super) operators: Option<TcpListener>,
}

impl Sockets {
    /// Opens the sockets that the configuration names.
    ///
    /// # Errors
    /// If one cannot be opened; the error names the field or the variable.
    pub(super) fn open(config: &Config) -> Result<Self> {
        let clients = match config.inherited_descriptor {
            Some(number) => inherited(number)?,
            None => listen("listen", config.listen_address)?,
        };
        log::info!("{}: listening on {}", config.name, clients.local_addr()?);
        let operators = config.admin_address.map(|addr| listen("operator", addr)).transpose()?;
        if let Some(listener) = &operators {
            log::info!("{}: admin endpoint on {}", config.name, listener.local_addr()?);
        }
        Ok(Self { clients, operators })
    }
}

fn inherited(descriptor: i32) -> Result<TcpListener> {
    let socket = socket_activation::take_over_listener(descriptor).context("PROXY_FD")?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket)?)
}

fn listen(field: &str, addr: SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // Allows a restart while the system still remembers connections of the previous process.
    socket.set_reuseaddr(true)?;
    let listener = socket.bind(addr).and_then(|()| socket.listen(BACKLOG));
    listener.with_context(|| format!("{field}: listening on {addr}"))
}
