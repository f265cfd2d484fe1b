//! The client's side of HTTP/1.1, as far as the origin and discovery need it.

mod decoder;
mod head;
mod parse;
mod reader;
mod request;

pub use decoder::{BodyEvent, Decoder};
pub use head::ResponseHead;
pub use reader::ResponseReader;
pub use request::encode_request;
