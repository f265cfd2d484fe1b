//! What is due on the day's clock, soonest first.

use super::{Answer, EndpointEntry, Micros, Ordering, Outcome, RequestId, Tag, Token, Try, archive, node};

#[derive(Debug)]
pub(super) enum Happening {
    Arrival,
    Retry(usize, u32),
    Reaches(usize, Try),
    AtNode(usize, node::Job<Tag>),
    NodeEnds(usize, u32, node::Job<Tag>),
    AtArchive(archive::Job<Tag>),
    ArchiveEnds(archive::Job<Tag>),
    Comes(Tag, Outcome, RequestId, f64),
    TimesOut(Tag),
    TimeIsUp(usize, RequestId),
    AtClient(Try, Answer, Micros),
    Timer(usize, Token),
    Told(usize, usize, u32, EndpointEntry),
    Falls(usize),
    Passes(usize),
    Goes(usize),
    Returns(usize, u32),
}

pub(super) struct Due {
    pub(super) at: Micros,
    pub(super) order: u64,
    pub(super) what: Happening,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order)) // the soonest is the greatest, for the heap
    }
}
