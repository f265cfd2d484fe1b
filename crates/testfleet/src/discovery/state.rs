//! The state of a discovery agent: its list with all changes, and its watches. Without I/O.

use super::list::{ListEncoding, Member, Phase, encode_list};
use serde_json::Value;

/// The next event of a watch.
#[derive(Debug)]
pub(super) struct WatchEvent {
    /// Whether the watch is silenced, so that nothing is written.
    pub(super) silent: bool,
    /// The published changes that the watch has not written yet.
    pub(super) unsent: Vec<Member>,
    /// The line to write; empty for a keep-alive.
    pub(super) line: String,
    /// The number of published changes.
    pub(super) published: usize,
    /// The maximum number of bytes per write; `None` writes the event at once.
    pub(super) piece: Option<usize>,
}

/// The list of an agent with its changes, and the numbers of the silenced and the reset watches.
#[derive(Debug)]
pub(super) struct State {
    /// The members of the initial list, which is revision 1.
    pub(super) initial: Vec<Member>,
    /// The changed members, in order. Each change increments the revision; the first makes revision 2.
    pub(super) changes: Vec<Member>,
    /// The index of the first unpublished change while updates are paused.
    pub(super) paused_from: Option<usize>,
    /// Watches with a number below this are silenced.
    pub(super) silent_below: u64,
    /// Watches with a number below this are reset.
    pub(super) reset_below: u64,
    /// The number of watches opened so far. Watches are numbered from 0.
    pub(super) watches: u64,
    pub(super) encoding: ListEncoding,
}

impl State {
    pub(super) fn new(members: Vec<Member>) -> Self {
        Self {
            initial: members,
            changes: Vec::new(),
            paused_from: None,
            silent_below: 0,
            reset_below: 0,
            watches: 0,
            encoding: ListEncoding::default(),
        }
    }

    /// Returns the next event of a watch, with the published changes from the index `from` on; `None` if the watch was
    /// reset.
    pub(super) fn next_event(&self, watch: u64, from: usize) -> Option<WatchEvent> {
        if watch < self.reset_below {
            return None;
        }
        let published = self.published_changes();
        let unsent = self.changes[..published].get(from..).unwrap_or_default().to_vec();
        let line = self.watch_line(&unsent);
        Some(WatchEvent {
            silent: watch < self.silent_below,
            unsent,
            line,
            published,
            piece: self.encoding.piece,
        })
    }

    /// Appends a change of a member: its latest state with `update` applied.
    pub(super) fn update(&mut self, name: &str, update: impl FnOnce(&mut Member)) {
        let members = self.members_after(self.changes.len());
        if let Some(mut member) = members.into_iter().find(|member| member.name == name) {
            update(&mut member);
            self.changes.push(member);
        }
    }
    /// Returns the number of published changes.
    pub(super) fn published_changes(&self) -> usize {
        self.paused_from.unwrap_or(self.changes.len())
    }
    /// Returns the members after the first `changes` changes.
    fn members_after(&self, changes: usize) -> Vec<Member> {
        let changes = &self.changes[..changes];
        let latest = |member: &Member| changes.iter().rfind(|change| change.name == member.name).cloned();
        self.initial.iter().map(|member| latest(member).unwrap_or_else(|| member.clone())).collect()
    }
    /// Returns the published members, including those that are gone.
    pub(super) fn published_members(&self) -> Vec<Member> {
        self.members_after(self.published_changes())
    }
    /// Returns the complete published list, without members that are gone.
    pub(super) fn list(&self) -> Value {
        let listed = self.published_members().into_iter().filter(|it| it.phase != Phase::Gone);
        encode_list(self.published_changes() + 1, true, &listed.collect::<Vec<_>>())
    }
    /// Returns the line that a watch writes for these unsent changes; an empty line is a keep-alive.
    fn watch_line(&self, unsent: &[Member]) -> String {
        match unsent {
            [] => String::new(),
            _ if self.encoding.whole => self.encoding.encode(&self.list()),
            _ => self.encoding.encode(&encode_list(self.published_changes() + 1, false, unsent)),
        }
    }
}
