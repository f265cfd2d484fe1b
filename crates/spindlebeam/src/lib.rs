//! The gateway as a program: its configuration and its life. The core is in the crate `gateway`.
#![forbid(unsafe_code)]

pub mod config;
pub mod fleet_thread;
pub mod reload;
pub mod serve;
