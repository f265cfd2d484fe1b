//! The published list of an agent and its watches, without I/O.

use super::list::{ListEncoding, Member, Phase, encode_list};
use serde_json::Value;

/// What a watch writes next.
#[derive(Debug)]
pub(super) struct WatchEvent {
    /// Whether the watch is silenced and writes nothing.
    pub(super) silent: bool,
    /// The changes that the watch has not written yet.
    pub(super) unsent: Vec<Member>,
    /// The line to write; empty for a keep-alive.
    pub(super) line: String,
    /// The number of published changes.
    pub(super) published: usize,
    /// The number of bytes per write; `None` for one write.
    pub(super) piece: Option<usize>,
}

/// The list of an agent with its changes, and which watches are silenced or reset.
#[derive(Debug)]
pub(super) struct State {
    /// The initial list, which is revision 1.
    pub(super) initial: Vec<Member>,
    /// The changes of the list; the first one makes revision 2.
    pub(super) changes: Vec<Member>,
    /// The index of the first unpublished change while updates are paused.
    pub(super) paused_from: Option<usize>,
    /// Watches with a lower number are silent.
    pub(super) silent_below: u64,
    /// Watches with a lower number are reset.
    pub(super) reset_below: u64,
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

    /// Returns what a watch writes next, from this change on; `None` if the watch was reset.
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

    pub(super) fn update(&mut self, name: &str, update: impl FnOnce(&mut Member)) {
        let now = self.members_after(self.changes.len());
        if let Some(mut member) = now.into_iter().find(|member| member.name == name) {
            update(&mut member);
            self.changes.push(member);
        }
    }
    /// Returns the number of published changes.
    pub(super) fn published_changes(&self) -> usize {
        self.paused_from.unwrap_or(self.changes.len())
    }
    /// Returns the members after this many changes.
    fn members_after(&self, changes: usize) -> Vec<Member> {
        let changes = &self.changes[..changes];
        let last = |member: &Member| changes.iter().rfind(|change| change.name == member.name).cloned();
        self.initial.iter().map(|member| last(member).unwrap_or_else(|| member.clone())).collect()
    }
    /// Returns the published members.
    pub(super) fn published_members(&self) -> Vec<Member> {
        self.members_after(self.published_changes())
    }
    pub(super) fn list(&self) -> Value {
        let listed = self.published_members().into_iter().filter(|it| it.phase != Phase::Gone);
        encode_list(self.published_changes() + 1, true, &listed.collect::<Vec<_>>())
    }
    /// Returns the next line of a watch with these unsent changes.
    fn watch_line(&self, unsent: &[Member]) -> String {
        match unsent {
            [] => String::new(),
            _ if self.encoding.whole => self.encoding.encode(&self.list()),
            _ => self.encoding.encode(&encode_list(self.published_changes() + 1, false, unsent)),
        }
    }
}
