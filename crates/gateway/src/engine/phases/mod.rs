//! The phases of the engine: the handlers of requests, attempts, endpoint lists, operator overrides and fleet events.
//! Each is an `impl` block of [`Engine`](super::Engine).

mod attempts;
mod endpoint_lists;
mod fleet;
mod overrides;
mod requests;
mod wake;
