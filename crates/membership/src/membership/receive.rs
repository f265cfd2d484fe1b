//! Received datagrams: which are admitted, and which of their updates reach foca.

use foca::Message;

use super::Membership;
use crate::Micros;
use crate::action::DownReason;
use crate::counters::DatagramError;
use crate::identity::MemberId;
use crate::wire::{self, Datagram};

/// How often a member exceeds a stale incarnation of its number: two processes with one number must not exceed each other
/// forever.
const MAX_OVERTAKES: u32 = 3;

impl Membership {
    /// Admits datagrams for this incarnation from members of the roster that no later incarnation has replaced.
    pub(super) fn admit(&mut self, datagram: Datagram) -> Result<Datagram, DatagramError> {
        let (from, to, own) = (datagram.header.src, datagram.header.dst, *self.foca.identity());
        if from.number == own.number {
            return Err(DatagramError::OwnNumber);
        }
        if !self.roster.contains_all(&datagram.header) {
            return Err(DatagramError::UnknownMember);
        }
        let any_incarnation = datagram.header.message == Message::Announce;
        if to.number != own.number || (to != own && !any_incarnation) {
            return Err(DatagramError::NotForUs);
        }
        match self.incarnations.get(&from.number) {
            Some(&incarnation) if incarnation > from.incarnation => {
                // A late datagram, or a process that started with a clock that went back: it learns what to exceed.
                let newest = MemberId { number: from.number, incarnation };
                self.send_update(from, foca::Member::alive(newest));
                Err(DatagramError::StaleIncarnation)
            }
            _ => Ok(datagram),
        }
    }

    /// Takes in an admitted datagram, whose bytes are `encoded`.
    pub(super) fn receive(&mut self, now: Micros, mut datagram: Datagram, encoded: &[u8]) {
        self.first_received_at.get_or_insert(now);
        let newer = self.newer_own_incarnation(&datagram);
        let filtered = self.filter_updates(&mut datagram);
        let Datagram { header, updates } = datagram;
        for id in updates.iter().map(|it| *it.id()).chain([header.src]) {
            self.record_incarnation(id);
        }
        let reencoded = filtered.then(|| wire::encode(&header, &updates));
        let refutations = self.counters.refutations;
        let passed_on = reencoded.as_deref().unwrap_or(encoded);
        if self.foca.handle_data(passed_on, &mut self.foca_output).is_err() {
            self.counters.record_dropped(DatagramError::Garbled);
        }
        self.process_foca_output_of(now, &updates, DownReason::Gossip);
        if self.counters.refutations > refutations {
            // Tells the member that passed on the suspicion at once, before gossip gets there.
            self.announce(header.src.number);
        }
        if let Some(incarnation) = newer {
            self.handle_newer_incarnation(now, incarnation);
        }
    }

    /// The highest incarnation of this member's number that the updates name, if it is higher than its own.
    fn newer_own_incarnation(&self, datagram: &Datagram) -> Option<u64> {
        let own = *self.foca.identity();
        let ids = datagram.updates.iter().map(|it| *it.id());
        let incarnations = ids.filter(|id| id.number == own.number).map(|id| id.incarnation);
        incarnations.max().filter(|&incarnation| incarnation > own.incarnation)
    }

    /// Removes updates about unknown numbers and about other incarnations of this member. The latter are stale, or a
    /// replacement, and never a member. Returns whether any was removed.
    fn filter_updates(&mut self, datagram: &mut Datagram) -> bool {
        let (roster, own, updates) = (&self.roster, *self.foca.identity(), &mut datagram.updates);
        let received = updates.len();
        updates.retain(|it| roster.contains(it.id().number));
        self.counters.unknown_updates += (received - updates.len()) as u64;
        updates.retain(|it| it.id().number != own.number || *it.id() == own);
        updates.len() < received
    }

    /// Remembers the highest incarnation of each other member.
    pub(super) fn record_incarnation(&mut self, id: MemberId) {
        if id.number != self.local.number {
            let known = self.incarnations.entry(id.number).or_default();
            *known = id.incarnation.max(*known);
        }
    }

    /// Handles a higher incarnation of this member's number: soon after the start that of an earlier process, later this
    /// member's replacement.
    fn handle_newer_incarnation(&mut self, now: Micros, incarnation: u64) {
        let started = self.first_received_at;
        let young = started.is_none_or(|at| now.saturating_sub(at) < self.settings.stale_incarnation_time);
        let next = incarnation.checked_add(1).filter(|_| young && self.overtakes < MAX_OVERTAKES);
        let Some(next) = next else { return self.handle_replacement(incarnation) };
        self.overtakes += 1;
        let id = MemberId { number: self.local.number, incarnation: next };
        if self.foca.change_identity(id, &mut self.foca_output).is_ok() {
            self.handle_renewal(now);
        }
    }
}
