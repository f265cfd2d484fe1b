//! The core on real sockets.
//!
//! A front submits requests to the core ([`engine`]), which asks the decision module and sends tries to peers
//! ([`upstream::peer`]) that its list names. A front knows no upstream, an upstream no front.
#![forbid(unsafe_code)]
#![warn(unreachable_pub)]

pub mod engine;
pub mod figures;
pub mod fleet;
pub mod heartbeat;
pub mod order_file;
pub mod setup;

// What fronts meet of a request's meaning and of its large values; no front names the crate that faces the peers.
pub use upstream::call::{Answer, Call};
pub use upstream::held::Held;
pub use upstream::peer::Streamed;
