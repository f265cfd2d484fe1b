//! The operator overrides in force, and the format in which they are stored.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Version of the format of [`OperatorOverrides::to_text`]. Files of other versions are rejected.
const FORMAT_VERSION: u32 = 1;
/// Maximum number of enabled endpoints whose new start is not known. When it is exceeded, the start that discovery
/// lists is used for the endpoint that was enabled first.
const MAX_AWAITING_START: usize = 256;

/// An operator's command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OverrideCommand {
    /// Disable this cache endpoint: forward no more requests to it.
    Disable(String),
    /// Enable this cache endpoint again.
    Enable(String),
    /// Drain the balancer: admit no new clients.
    Drain,
    /// End the drain of the balancer: admit clients again.
    Undrain,
}

/// The reason why a command is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OverrideError {
    /// No cache endpoint has this id.
    #[error("no cache host has the id {0:?}")]
    Unknown(String),
}

/// The reason why stored overrides cannot be used.
#[derive(Debug, Error)]
pub enum UnreadableOverrides {
    /// The text is not JSON in the known format.
    #[error("not in the form of orders: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The text has another version of the format.
    #[error("of version {0}, not {FORMAT_VERSION}")]
    Version(u32),
}

/// An endpoint that was enabled again, and that is not known to have started since it was disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(expecting = "struct Back")]
struct Reenabled {
    #[serde(rename = "out")]
    disabled_at: Millis,
    #[serde(rename = "back")]
    enabled_at: Millis,
}

/// Operator overrides: the disabled and re-enabled endpoints, and whether the balancer drains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorOverrides {
    version: u32,
    /// The ids of the disabled endpoints, and when each was disabled.
    #[serde(rename = "out")]
    disabled: BTreeMap<String, Millis>,
    /// The ids of the endpoints that were enabled again and whose new start is not yet known.
    #[serde(rename = "back")]
    awaiting_start: BTreeMap<String, Reenabled>,
    draining: bool,
}

impl Default for OperatorOverrides {
    fn default() -> Self {
        Self {
            version: FORMAT_VERSION,
            disabled: BTreeMap::new(),
            awaiting_start: BTreeMap::new(),
            draining: false,
        }
    }
}

impl OperatorOverrides {
    /// Returns whether this endpoint is disabled.
    #[must_use]
    pub fn is_disabled(&self, id: &str) -> bool {
        self.disabled.contains_key(id)
    }

    /// Returns whether the balancer drains.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns when this endpoint was enabled, unless it is known to have started since it was disabled.
    pub(crate) fn enabled_at(&self, id: &str) -> Option<Millis> {
        self.awaiting_start.get(id).map(|it| it.enabled_at)
    }

    /// Records the start time that discovery lists for an endpoint.
    pub(crate) fn record_start(&mut self, id: &str, start: Millis) {
        if self.awaiting_start.get(id).is_some_and(|it| start >= it.disabled_at) {
            self.awaiting_start.remove(id);
        }
    }

    /// Applies a command. Returns the endpoint whose state has changed, if any.
    pub(crate) fn apply(&mut self, now: Millis, command: &OverrideCommand) -> Option<String> {
        match command {
            OverrideCommand::Disable(id) if !self.is_disabled(id) => {
                self.awaiting_start.remove(id);
                self.disabled.insert(id.clone(), now);
                Some(id.clone())
            }
            OverrideCommand::Enable(id) => {
                let disabled_at = self.disabled.remove(id)?;
                if self.awaiting_start.len() >= MAX_AWAITING_START {
                    self.evict_first_enabled();
                }
                self.awaiting_start.insert(id.clone(), Reenabled { disabled_at, enabled_at: now });
                Some(id.clone())
            }
            OverrideCommand::Disable(_) => None,
            OverrideCommand::Drain | OverrideCommand::Undrain => {
                self.draining = *command == OverrideCommand::Drain;
                None
            }
        }
    }

    fn evict_first_enabled(&mut self) {
        let first = self.awaiting_start.iter().min_by_key(|(_, it)| it.enabled_at);
        if let Some(id) = first.map(|(id, _)| id.clone()) {
            self.awaiting_start.remove(&id);
        }
    }

    /// Returns the endpoints whose state differs between these overrides and `other`.
    pub(crate) fn differences(&self, other: &Self) -> Vec<String> {
        let ids: BTreeSet<&String> = [&self.disabled, &other.disabled]
            .into_iter()
            .flat_map(BTreeMap::keys)
            .chain(self.awaiting_start.keys())
            .chain(other.awaiting_start.keys())
            .collect();
        let differs = |id: &str| {
            self.is_disabled(id) != other.is_disabled(id) || self.enabled_at(id) != other.enabled_at(id)
        };
        ids.into_iter().filter(|id| differs(id)).cloned().collect()
    }

    /// Encodes the overrides as the text that the next process reads.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string(self)
            .expect("operator overrides are maps with string keys, which always encode as JSON")
    }

    /// Decodes the text of [`OperatorOverrides::to_text`].
    ///
    /// # Errors
    /// Returns an error if the text is malformed or has another format version.
    pub fn from_text(text: &str) -> Result<Self, UnreadableOverrides> {
        #[derive(Deserialize)]
        struct Versioned {
            version: u32,
        }
        let Versioned { version } = serde_json::from_str(text)?;
        if version != FORMAT_VERSION {
            return Err(UnreadableOverrides::Version(version));
        }
        Ok(serde_json::from_str(text)?)
    }
}
