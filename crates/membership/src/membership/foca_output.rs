//! Translates foca's output into actions. Stretches timeouts by the local health score, and adds the
//! suspicion notices to suspects.

use std::time::Duration;

use bytes::Bytes;
use foca::{Message, OwnedNotification, State};

use super::Membership;
use crate::Micros;
use crate::action::{Action, DownReason, SuspicionStep, TimerKind};
use crate::identity::{LEAVING, MemberId};
use crate::roster::Member;
use crate::wire;

impl Membership {
    /// Processes foca's output until nothing is left. `reason` is reported for members that go down.
    pub(super) fn process_foca_output(&mut self, now: Micros, reason: DownReason) {
        self.process_foca_output_with_updates(now, &[], reason);
    }

    /// Processes foca's output after a datagram with these updates, until nothing is left. For members that
    /// go down, reports [`DownReason::Left`] if an update says so, and `reason` otherwise.
    pub(super) fn process_foca_output_with_updates(
        &mut self, now: Micros, updates: &[foca::Member<MemberId>], reason: DownReason,
    ) {
        while self.foca_output.backlog() > 0 {
            while let Some(notification) = self.foca_output.to_notify() {
                self.handle_notification(now, notification, updates, reason);
            }
            let mut skip_probe = false;
            while let Some((after, timer)) = self.foca_output.to_schedule() {
                self.schedule_foca_timer(now, after, timer, &mut skip_probe);
            }
            while let Some((to, datagram)) = self.foca_output.to_send() {
                self.send_foca_datagram(to, datagram);
            }
        }
    }

    fn handle_notification(
        &mut self, now: Micros, notification: OwnedNotification<MemberId>,
        updates: &[foca::Member<MemberId>], reason: DownReason,
    ) {
        match notification {
            OwnedNotification::MemberUp(id) => self.mark_up(id),
            OwnedNotification::MemberDown(id) => {
                let is_down = |it: &foca::Member<MemberId>| *it.id() == id && it.state() == State::Down;
                let left = updates.iter().any(|it| is_down(it) && it.incarnation() == LEAVING);
                self.mark_down(id.number, if left { DownReason::Left } else { reason });
            }
            OwnedNotification::Rename(_, after) => {
                // A member that was up stays up under its later incarnation, or is reported down right after this.
                if self.mark_down(after.number, DownReason::Superseded) {
                    self.mark_up(after);
                }
            }
            OwnedNotification::Active => self.connected = true,
            OwnedNotification::Idle => self.connected = false,
            OwnedNotification::Rejoin(_) => self.handle_renewal(now),
            OwnedNotification::Defunct => self.handle_replacement(self.local.incarnation),
        }
    }

    fn mark_up(&mut self, id: MemberId) {
        self.record_incarnation(id);
        self.suspicions.remove(id.number);
        let Some(member) = self.roster.member(id) else { return };
        if self.up.insert(id.number, member) != Some(member) {
            self.actions.push_back(Action::Up(member));
        }
    }

    /// Marks the member with this number as down. Returns true if it was up.
    fn mark_down(&mut self, number: u16, reason: DownReason) -> bool {
        self.suspicions.remove(number);
        let down: Option<Member> = self.up.remove(&number);
        self.actions.extend(down.map(|member| Action::Down(member, reason)));
        down.is_some()
    }

    /// Schedules a timer of foca. Sets `skip_probe` at the timer of a probe of a suspect, so that the timer
    /// of the next probe fires early and cuts that probe short.
    fn schedule_foca_timer(
        &mut self, now: Micros, after: Duration, timer: foca::Timer<MemberId>, skip_probe: &mut bool,
    ) {
        let mut after = Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX);
        match &timer {
            foca::Timer::SendIndirectProbe { probed_id, .. } => {
                let timeout = self.settings.suspicion_timeout;
                *skip_probe = self.suspected_at(*probed_id).is_some_and(|swim_incarnation| {
                    self.suspicions.skips_probe(now, probed_id.number, swim_incarnation, timeout)
                });
                self.indirect_probe = Some(timer.clone());
                after = self.health.stretch(after);
            }
            foca::Timer::ProbeRandomMember(_) if *skip_probe => after = self.settings.probe_timeout / 2,
            foca::Timer::ProbeRandomMember(_) => after = self.health.stretch(after),
            &foca::Timer::ChangeSuspectToDown { member_id: id, incarnation: swim_incarnation, .. } => {
                if self.suspicions.raise(id.number, Some(&timer)) {
                    self.counters.suspicions += 1;
                    let notices_left = self.settings.suspicion_notices;
                    let verdict = Some(timer);
                    self.advance_suspicion(
                        now,
                        SuspicionStep { id, swim_incarnation, notices_left, verdict },
                    );
                }
                return;
            }
            _ => {}
        }
        self.schedule(now, after, TimerKind::Foca(timer));
    }

    fn send_foca_datagram(&mut self, to: MemberId, datagram: Bytes) {
        if let Some(header) = wire::decode_header(&datagram) {
            if header.src == *self.foca.identity() && header.src_incarnation > self.swim_incarnation {
                self.swim_incarnation = header.src_incarnation;
                self.counters.refutations += 1;
                self.health.record_suspicion();
                self.actions.push_back(Action::Refuted);
            }
            if matches!(header.message, Message::Ping(_)) {
                self.last_ping = Some((to, datagram.clone()));
            }
        }
        self.send(to, datagram);
    }
}
