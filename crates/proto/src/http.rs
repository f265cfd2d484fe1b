//! The client side of HTTP/1.1, limited to what requests to the origin and to discovery need.

mod decoder;
mod head;
mod parse;
mod reader;
mod request;

pub use decoder::{BodyEvent, Decoder};
pub use head::ResponseHead;
pub use reader::ResponseReader;
pub use request::encode_request;
