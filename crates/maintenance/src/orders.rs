//! The orders in force, and the form in which the next process finds them.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The form of [`OperatorOverrides::to_text`]. A process of another form must not guess at what it finds.
const VERSION: u32 = 1;
/// Hosts called back whose start is still to be heard of; beyond it the one called back first is taken as listed.
const MOST_BACK: usize = 256;

/// What staff may order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OverrideCommand {
    /// Nothing more to this cache host.
    Disable(String),
    /// Back to use with it.
    Enable(String),
    /// The balancer takes no further clients.
    Drain,
    /// It takes them again.
    Undrain,
}

/// Why an order is not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OverrideError {
    /// No cache host has this id.
    #[error("no cache host has the id {0:?}")]
    Unknown(String),
}

/// What was kept cannot be used.
#[derive(Debug, Error)]
pub enum UnreadableOverrides {
    /// Not in the form of orders.
    #[error("not in the form of orders: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Written by a process of another version.
    #[error("of version {0}, not {VERSION}")]
    Version(u32),
}

/// A host called back whose start since then has not been heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Back {
    out: Millis,
    back: Millis,
}

/// The orders in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorOverrides {
    version: u32,
    /// Hosts out by hand, and since when.
    out: BTreeMap<String, Millis>,
    back: BTreeMap<String, Back>,
    draining: bool,
}

impl Default for OperatorOverrides {
    fn default() -> Self {
        Self { version: VERSION, out: BTreeMap::new(), back: BTreeMap::new(), draining: false }
    }
}

impl OperatorOverrides {
    /// Whether this host is out by hand.
    #[must_use]
    pub fn is_out(&self, id: &str) -> bool {
        self.out.contains_key(id)
    }

    /// Whether the balancer is being drained.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// When this host was called back, if no start of it since it was put out has been heard of.
    pub(crate) fn back_since(&self, id: &str) -> Option<Millis> {
        self.back.get(id).map(|it| it.back)
    }

    /// Books a start that discovery tells of.
    pub(crate) fn heard_of_start(&mut self, id: &str, start: Millis) {
        if self.back.get(id).is_some_and(|it| start >= it.out) {
            self.back.remove(id);
        }
    }

    /// Carries out an order; yields the host whose state has changed.
    pub(crate) fn carry_out(&mut self, now: Millis, order: &OverrideCommand) -> Option<String> {
        match order {
            OverrideCommand::Disable(id) if !self.is_out(id) => {
                self.back.remove(id);
                self.out.insert(id.clone(), now);
                Some(id.clone())
            }
            OverrideCommand::Enable(id) => {
                let out = self.out.remove(id)?;
                if self.back.len() >= MOST_BACK
                    && let Some(first) =
                        self.back.iter().min_by_key(|(_, it)| it.back).map(|(id, _)| id.clone())
                {
                    self.back.remove(&first);
                }
                self.back.insert(id.clone(), Back { out, back: now });
                Some(id.clone())
            }
            OverrideCommand::Disable(_) => None,
            OverrideCommand::Drain | OverrideCommand::Undrain => {
                self.draining = *order == OverrideCommand::Drain;
                None
            }
        }
    }

    /// The hosts about which these orders and others differ.
    pub(crate) fn differences(&self, other: &Self) -> Vec<String> {
        let all: BTreeSet<&String> = [&self.out, &other.out]
            .into_iter()
            .flat_map(BTreeMap::keys)
            .chain(self.back.keys())
            .chain(other.back.keys())
            .collect();
        let differs =
            |id: &str| self.is_out(id) != other.is_out(id) || self.back_since(id) != other.back_since(id);
        all.into_iter().filter(|id| differs(id)).cloned().collect()
    }

    /// The form in which the next process finds them.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() // plain maps with text as keys: nothing in it can fail
    }

    /// Reads that form.
    ///
    /// # Errors
    /// When it is not in that form, or of another version.
    pub fn from_text(text: &str) -> Result<Self, UnreadableOverrides> {
        #[derive(Deserialize)]
        struct Versioned {
            version: u32,
        }
        let Versioned { version } = serde_json::from_str(text)?;
        if version != VERSION {
            return Err(UnreadableOverrides::Version(version));
        }
        Ok(serde_json::from_str(text)?)
    }
}
