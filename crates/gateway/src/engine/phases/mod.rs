//! The phases of the engine, each an `impl` block of [`Engine`](super::Engine): what it does for requests, attempts, endpoint lists,
//! operator overrides and the fleet.

mod attempts;
mod endpoint_lists;
mod fleet;
mod overrides;
mod requests;
mod wake;
