//! Models of the clients, cache nodes and origin around the gateways, a simulation of the whole site on a virtual
//! clock, and a referee that checks the rules.
//!
//! The models do no I/O, read no clock and draw random numbers only from the generator they are given: [`station`] (a
//! bounded queue before a few workers), [`node`] (a cache node), [`origin`] (the slow origin, with a ledger of its
//! executions), [`clients`] (open-loop load) and [`scenario`] (scenario files). [`simulation`] runs them with the
//! decision module on a virtual clock: the same scenario and seed give the same result. [`referee`] observes every
//! message and checks it against the rules. [`score`] computes the score of a simulation.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod clients;
pub mod node;
pub mod origin;
pub mod referee;
pub mod scenario;
pub mod score;
pub mod simulation;
pub mod station;

/// Microseconds on the virtual clock, from the start of the simulation.
pub type Micros = u64;

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
