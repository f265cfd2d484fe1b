//! Serves one client connection: reads commands and writes the replies in the order of the commands.

mod closing;
mod commands;
mod connection;
mod input;
mod lookahead;
mod reply;
mod serve;
mod socket;

pub(crate) use connection::{AcceptedConnection, Client};
