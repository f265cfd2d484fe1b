//! Admits received datagrams, and filters the updates that reach foca.

use foca::Message;

use super::Membership;
use crate::Micros;
use crate::action::DownReason;
use crate::counters::DatagramError;
use crate::identity::MemberId;
use crate::wire::{self, Datagram};

/// Number of times that a member raises its incarnation above a stale one of its number. The limit keeps two
/// processes with one number from outbidding each other forever.
const MAX_INCARNATION_BUMPS: u32 = 3;

impl Membership {
    /// Admits a datagram that is for this incarnation, or is an announcement to this member's number, and
    /// whose sender is on the roster and not replaced by a later incarnation.
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
                // The datagram is late, or the sender started after its clock went back. The update tells the
                // sender which incarnation it must exceed.
                let newest = MemberId { number: from.number, incarnation };
                self.send_update(from, foca::Member::alive(newest));
                Err(DatagramError::StaleIncarnation)
            }
            _ => Ok(datagram),
        }
    }

    /// Handles an admitted datagram, whose bytes are `encoded`.
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
            self.counters.record_dropped(DatagramError::Malformed);
        }
        self.process_foca_output_with_updates(now, &updates, DownReason::Gossip);
        if self.counters.refutations > refutations {
            // Announces this member to the sender of the suspicion, because gossip would reach the sender later.
            self.announce(header.src.number);
        }
        if let Some(incarnation) = newer {
            self.handle_newer_incarnation(now, incarnation);
        }
    }

    /// Returns the highest incarnation of this member's number in the updates, if it is higher than its own.
    fn newer_own_incarnation(&self, datagram: &Datagram) -> Option<u64> {
        let own = *self.foca.identity();
        let ids = datagram.updates.iter().map(|it| *it.id());
        let incarnations = ids.filter(|id| id.number == own.number).map(|id| id.incarnation);
        incarnations.max().filter(|&incarnation| incarnation > own.incarnation)
    }

    /// Removes updates about unknown numbers and about other incarnations of this member. Such an incarnation
    /// is stale or this member's replacement, and never counts as another member. Returns true if any update
    /// was removed.
    fn filter_updates(&mut self, datagram: &mut Datagram) -> bool {
        let (roster, own, updates) = (&self.roster, *self.foca.identity(), &mut datagram.updates);
        let received = updates.len();
        updates.retain(|it| roster.contains(it.id().number));
        self.counters.unknown_updates += (received - updates.len()) as u64;
        updates.retain(|it| it.id().number != own.number || *it.id() == own);
        updates.len() < received
    }

    /// Records an incarnation of another member, if it is the highest known one.
    pub(super) fn record_incarnation(&mut self, id: MemberId) {
        if id.number != self.local.number {
            let known = self.incarnations.entry(id.number).or_default();
            *known = id.incarnation.max(*known);
        }
    }

    /// Handles a higher incarnation of this member's number. Within [`Settings::stale_incarnation_time`] it
    /// belongs to an earlier process and this member exceeds it; later it is this member's replacement.
    ///
    /// [`Settings::stale_incarnation_time`]: crate::Settings::stale_incarnation_time
    fn handle_newer_incarnation(&mut self, now: Micros, incarnation: u64) {
        let first = self.first_received_at;
        let may_be_stale =
            first.is_none_or(|at| now.saturating_sub(at) < self.settings.stale_incarnation_time);
        let may_exceed = may_be_stale && self.incarnation_bumps < MAX_INCARNATION_BUMPS;
        let next = incarnation.checked_add(1).filter(|_| may_exceed);
        let Some(next) = next else { return self.handle_replacement(incarnation) };
        self.incarnation_bumps += 1;
        let id = MemberId { number: self.local.number, incarnation: next };
        if self.foca.change_identity(id, &mut self.foca_output).is_ok() {
            self.handle_renewal(now);
        }
    }
}
