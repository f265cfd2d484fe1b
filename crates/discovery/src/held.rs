//! What was told of hosts that drain or are gone, held against an agent that is behind the one before it.

use crate::pace::{BEHIND, MOST_HELD};
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use std::collections::{HashMap, HashSet};
use tokio::time::Instant;

/// What was told before a move stays told: a list of the new agent with a lower revision brings back no host that drains or is
/// gone, unless it has started since, and no start of a host before its last. That holds until the new one has caught up, or [`BEHIND`] is over.
#[derive(Debug, Default)]
pub(crate) struct Held {
    /// The hosts told of, as told last.
    hosts: HashMap<String, EndpointRecord>,
    revision: u64,
    /// The highest revision that was told before discovery moved, until the new agent has reached it.
    before: Option<u64>,
    /// When an agent that is behind counts on its own: from its first list on.
    until: Option<Instant>,
}

impl Held {
    pub(crate) fn new(known: Option<EndpointList>) -> Self {
        let mut it = Self::default();
        known.iter().for_each(|list| it.note(list, false));
        it
    }

    /// Discovery has moved to another agent.
    pub(crate) fn moved(&mut self) {
        self.before = self.before.max(Some(self.revision));
        self.until = None;
    }

    /// The agent before has told this. It stays told.
    pub(crate) fn told_before(&mut self, list: EndpointList) -> EndpointList {
        self.note(&list, false);
        self.before = self.before.max(Some(list.revision));
        list
    }

    /// The agent has told this; yields what of it holds.
    pub(crate) fn told(&mut self, mut list: EndpointList, now: Instant) -> EndpointList {
        let until = *self.until.get_or_insert(now + BEHIND);
        let behind = self.before.is_some_and(|before| list.revision < before) && now < until;
        if behind {
            list.members.retain_mut(|member| self.holds(member));
        } else {
            self.before = None;
        }
        self.note(&list, behind);
        list
    }

    /// Lays what is held over this; whether it is listed at all.
    fn holds(&self, member: &mut EndpointRecord) -> bool {
        let held = self.hosts.get(&member.id).filter(|held| member.up_since_ms <= held.up_since_ms);
        match held {
            Some(held) if held.phase == Phase::Gone => false,
            Some(held) if held.phase == Phase::Draining || member.up_since_ms < held.up_since_ms => {
                log::warn!("discovery: {} stays {:?}: the new agent is behind", held.id, held.phase);
                *member = held.clone();
                true
            }
            _ => true,
        }
    }

    fn note(&mut self, list: &EndpointList, behind: bool) {
        self.revision = list.revision;
        // What an agent that is behind leaves out may be new to it.
        if list.complete && !behind {
            let listed: HashSet<_> = list.members.iter().map(|member| member.id.as_str()).collect();
            let missing = self.hosts.iter_mut().filter(|(id, _)| !listed.contains(id.as_str()));
            missing.for_each(|(_, member)| member.phase = Phase::Gone);
        }
        for member in &list.members {
            self.hosts.insert(member.id.clone(), member.clone());
        }
        if self.hosts.len() > MOST_HELD {
            self.hosts.retain(|_, member| member.phase != Phase::Gone);
        }
    }
}
