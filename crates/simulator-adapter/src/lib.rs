//! The simulator's wire format, `thistle-28dc`: decodes batches of events and encodes replies with actions.
//!
//! Frames are big-endian: a header, records of a fixed size, then a tail that holds lists and texts. The library only
//! encodes and decodes; the program of this package hosts the instances of the decision module.
#![forbid(unsafe_code)]

mod error;
mod event;
mod frame;
mod record;
mod reply;

pub use error::WireError;
pub use event::{Batch, Instance, WireEvent, decode};
pub use frame::read_frame;
pub use reply::Reply;
