//! The endpoint list with the operator overrides applied to it.

use crate::{Millis, OperatorOverrides, OverrideCommand, OverrideError};
use hashlink::LruCache;
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use rustc_hash::{FxBuildHasher, FxHashMap};
use std::fmt;

/// Maximum number of remembered endpoint ids. An endpoint that was listed once may be disabled while it is not listed.
/// The limit bounds memory when endpoints are replaced continually.
const MAX_KNOWN_IDS: usize = 4_096;

/// Discovery's last list, and the overrides that are applied to it.
pub struct OverriddenList {
    /// The flavor of origin endpoints, to which no override applies.
    origin_flavor: Option<String>,
    listed: FxHashMap<String, EndpointRecord>,
    known_ids: LruCache<String, (), FxBuildHasher>,
    overrides: OperatorOverrides,
}

impl OverriddenList {
    /// Creates an empty list. `overrides` are those of the previous process.
    #[must_use]
    pub fn new(origin_flavor: Option<String>, overrides: OperatorOverrides) -> Self {
        let known_ids = LruCache::with_hasher(MAX_KNOWN_IDS, FxBuildHasher);
        Self { origin_flavor, listed: FxHashMap::default(), known_ids, overrides }
    }

    /// Returns the overrides in force.
    #[must_use]
    pub fn overrides(&self) -> &OperatorOverrides {
        &self.overrides
    }

    /// Stores a list from discovery, and returns it with the overrides applied.
    #[must_use]
    pub fn apply_list(&mut self, list: &EndpointList) -> EndpointList {
        if list.complete {
            self.listed.clear();
        }
        for member in &list.members {
            if self.origin_flavor.as_ref() == Some(&member.flavor) {
                continue;
            }
            self.known_ids.insert(member.id.clone(), ());
            match member.phase {
                Phase::Gone => self.listed.remove(&member.id),
                Phase::Ready | Phase::Draining => self.listed.insert(member.id.clone(), member.clone()),
            };
            self.overrides.record_start(&member.id, member.up_since_ms);
        }
        let members = list.members.iter().map(|member| self.overridden_entry(member)).collect();
        EndpointList { members, ..*list }
    }

    /// Applies a command. Returns the endpoints whose entries have changed, for [`OverriddenList::current_entries`]. A
    /// command that is already in force changes nothing.
    ///
    /// # Errors
    /// Returns an error if no cache endpoint has the id.
    pub fn apply_command(
        &mut self, now: Millis, command: &OverrideCommand,
    ) -> Result<Vec<String>, OverrideError> {
        if let OverrideCommand::Disable(id) | OverrideCommand::Enable(id) = command
            && !self.known_ids.contains_key(id)
            && !self.overrides.is_disabled(id)
        {
            return Err(OverrideError::Unknown(id.clone()));
        }
        let changed = self.overrides.apply(now, command);
        for member in changed.iter().filter_map(|id| self.listed.get(id)) {
            self.overrides.record_start(&member.id, member.up_since_ms);
        }
        Ok(changed.into_iter().collect())
    }

    /// Replaces the overrides in force. Returns the endpoints whose entries have changed.
    pub fn replace_overrides(&mut self, overrides: OperatorOverrides) -> Vec<String> {
        let old = std::mem::replace(&mut self.overrides, overrides);
        old.differences(&self.overrides)
    }

    /// Returns the endpoints whose entries have changed since `overrides` were in force.
    #[must_use]
    pub(crate) fn changed_since(&self, overrides: &OperatorOverrides) -> Vec<String> {
        overrides.differences(&self.overrides)
    }

    /// Returns an incremental list of the current entries of `hosts`. It leaves out endpoints that are not listed.
    #[must_use]
    pub fn current_entries(&self, hosts: &[String]) -> EndpointList {
        let listed = hosts.iter().filter_map(|id| self.listed.get(id));
        EndpointList {
            revision: 0,
            complete: false,
            members: listed.map(|member| self.overridden_entry(member)).collect(),
        }
    }

    fn overridden_entry(&self, member: &EndpointRecord) -> EndpointRecord {
        let mut entry = member.clone();
        if self.overrides.is_disabled(&member.id) && member.phase == Phase::Ready {
            entry.phase = Phase::Draining;
        }
        if let Some(enabled_at) = self.overrides.enabled_at(&member.id) {
            // Discovery reports a start seconds late. Until then, the endpoint counts as started when it was enabled.
            entry.up_since_ms = entry.up_since_ms.max(enabled_at);
        }
        entry
    }
}

impl fmt::Debug for OverriddenList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} hosts listed, {:?}", self.listed.len(), self.overrides)
    }
}
