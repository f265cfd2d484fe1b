//! Learns which classes of requests are usually answered with a large value.
//!
//! A front reads nothing behind a request of such a class until it is answered: a large value is forwarded as it
//! arrives, and if it breaks off, only the end of the client's connection can follow.

use decide::api::ClassId;
use std::cell::{Cell, RefCell};

/// The weight of the latest answer in the share of large answers.
const LATEST_WEIGHT: f64 = 1.0 / 8.0;
/// From this share of large answers on, the next answer of a class is expected to be large.
const EXPECTED_SHARE: f64 = 0.5;

/// The share of large values among the recent served answers of each class.
#[derive(Debug)]
pub(super) struct AnswerSizes {
    /// Indexed by the class; `None` before the first answer.
    large_shares: RefCell<Vec<Option<f64>>>,
    /// Whether any class expects a large answer.
    any_expected: Cell<bool>,
}

impl AnswerSizes {
    /// Creates the shares of this number of classes, none of which has been answered.
    pub(super) fn new(classes: usize) -> Self {
        Self { large_shares: RefCell::new(vec![None; classes]), any_expected: Cell::default() }
    }

    /// Records whether a served answer was large.
    pub(super) fn record(&self, class: ClassId, is_large: bool) {
        let mut shares = self.large_shares.borrow_mut();
        let Some(share) = shares.get_mut(usize::from(class.0)) else { return };
        let latest = f64::from(u8::from(is_large));
        let updated = share.map_or(latest, |share| share + (latest - share) * LATEST_WEIGHT);
        if share.replace(updated).is_some_and(is_expected) != is_expected(updated) {
            self.any_expected.set(shares.iter().flatten().copied().any(is_expected));
        }
    }

    /// Returns whether the next answer of this class is expected to be large.
    pub(super) fn expects_large(&self, class: ClassId) -> bool {
        let share = self.large_shares.borrow().get(usize::from(class.0)).copied().flatten();
        share.is_some_and(is_expected)
    }

    /// Returns whether a large answer is expected of any class.
    pub(super) fn expects_any_large(&self) -> bool {
        self.any_expected.get()
    }
}

fn is_expected(large_share: f64) -> bool {
    large_share >= EXPECTED_SHARE
}
