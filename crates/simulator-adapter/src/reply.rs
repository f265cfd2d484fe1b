//! Encodes the reply to a batch: the actions of the instances.

use crate::Instance;
use decide::api::{Action, Micros};

/// The size of an action record, in bytes.
const ACTION_BYTES: usize = 24;
/// The size in bytes of a reply's header: its length and the number of records.
const HEADER_BYTES: usize = 8;
/// Both bytes of the instance number that addresses all other instances.
const ALL_INSTANCES: u8 = 0xff;
/// The longest timer delay that the wire format allows: 71 minutes.
const MAX_DELAY_US: Micros = 71 * 60 * 1_000_000;
/// A timeout of at least this value is encoded as 0, which means "until the client's deadline": the field is signed.
const MAX_TIMEOUT_US: Micros = i32::MAX as Micros;

/// A builder for the reply to one batch.
#[derive(Debug, Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends one action of an instance.
    pub fn push(&mut self, instance: Instance, action: &Action) {
        let mut record = [0_u8; ACTION_BYTES];
        record[1..3].copy_from_slice(&instance.0.to_be_bytes());
        let code = match *action {
            Action::Forward { id, endpoint, timeout_us } => {
                put_u64(&mut record, 3, id.0);
                put_u32(&mut record, 11, if timeout_us >= MAX_TIMEOUT_US { 0 } else { timeout_us });
                put_u32(&mut record, 15, endpoint.0 >> 16);
                record[19..21].copy_from_slice(&endpoint.0.to_be_bytes()[6..]);
                1
            }
            Action::Reject { id, retry_after_us, .. } => {
                put_u64(&mut record, 3, id.0);
                put_u32(&mut record, 11, retry_after_us);
                2
            }
            Action::Fail { id, .. } => {
                put_u64(&mut record, 3, id.0);
                3
            }
            Action::Cancel { id, attempt } => {
                put_u64(&mut record, 3, id.0);
                record[11..13].copy_from_slice(&attempt.to_be_bytes());
                4
            }
            Action::Timer { delay_us, token } => {
                put_u32(&mut record, 3, delay_us.min(MAX_DELAY_US));
                put_u64(&mut record, 7, token.0);
                5
            }
            Action::CloseIdle(endpoint) => {
                put_u32(&mut record, 3, endpoint.0 >> 16);
                record[7..9].copy_from_slice(&endpoint.0.to_be_bytes()[6..]);
                7
            }
            Action::WatchEndpoints => {
                record[3] = 1;
                11
            }
            Action::PublishLoad(_) => return, // sent as a datagram: see `push_gossip`
        };
        self.append(code, record);
    }

    /// Appends a gossip datagram from an instance to all others.
    pub fn push_gossip(&mut self, instance: Instance, datagram: &[u8]) {
        let mut record = [0_u8; ACTION_BYTES];
        record[1..3].copy_from_slice(&instance.0.to_be_bytes());
        record[3..5].fill(ALL_INSTANCES);
        put_u32(&mut record, 5, self.tail.len() as u64);
        put_u32(&mut record, 9, datagram.len() as u64);
        self.tail.extend_from_slice(datagram);
        self.append(8, record);
    }

    fn append(&mut self, code: u8, mut record: [u8; ACTION_BYTES]) {
        record[0] = code;
        self.records.extend_from_slice(&record);
        self.count += 1;
    }

    /// Returns the reply as a frame.
    #[must_use]
    pub fn into_frame(self) -> Vec<u8> {
        let bytes = self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(HEADER_BYTES + bytes);
        let len = u32::try_from(bytes + 4).unwrap_or(u32::MAX);
        frame.extend_from_slice(&len.to_be_bytes());
        frame.extend_from_slice(&self.count.to_be_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }
}

fn put_u64(record: &mut [u8], at: usize, value: u64) {
    record[at..at + 8].copy_from_slice(&value.to_be_bytes());
}

fn put_u32(record: &mut [u8], at: usize, value: u64) {
    let value = u32::try_from(value).unwrap_or(u32::MAX);
    record[at..at + 4].copy_from_slice(&value.to_be_bytes());
}
