//! One client connection: commands in, answers out in the order of the commands.

mod closing;
mod commands;
mod connection;
mod reply;
mod serve;
mod socket;

pub(crate) use connection::{Accepted, Client};
