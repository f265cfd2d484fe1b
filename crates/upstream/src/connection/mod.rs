//! Connections to endpoints: pools of idle connections, and single attempts on a connection.

mod attempt;
mod dial;
mod http_response;
mod log_throttles;
mod pools;
mod request;
mod resp_response;
mod response;
mod result;
mod send;
mod socket;
mod streamed;

pub use attempt::Attempt;
pub use dial::dial;
pub use log_throttles::AttemptLogThrottles;
pub use pools::{ConnectionCounters, ConnectionPools, ConnectionSource};
pub use result::AttemptResult;
pub use send::SendPermit;
pub use socket::{Connection, ConnectionPermit, REST_PERIOD};
pub use streamed::StreamedValue;
