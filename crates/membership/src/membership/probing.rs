//! Probes and suspicions: repeated pings, notices to the suspect, and declaring it down.

use foca::{Incarnation, State};

use super::Membership;
use crate::Micros;
use crate::action::{SuspicionStep, TimerKind};
use crate::identity::MemberId;

impl Membership {
    pub(super) fn handle_foca_timer(&mut self, now: Micros, late: Micros, timer: foca::Timer<MemberId>) {
        if matches!(timer, foca::Timer::ProbeRandomMember(_)) {
            if let Some(left) = self.health.quiet_for(now) {
                return self.schedule(now, left, TimerKind::Foca(timer));
            }
            if self.health.record_timer(late, self.settings.probe_timeout / 2) {
                self.counters.late_timers += 1;
            }
        }
        let is_indirect = matches!(timer, foca::Timer::SendIndirectProbe { .. });
        let sent = self.counters.sent + self.foca_output.backlog() as u64;
        // foca returns an error if a probe was cut short. It drops that probe and continues with the next.
        let _cut_short = self.foca.handle_timer(timer, &mut self.foca_output);
        if is_indirect && self.counters.sent + self.foca_output.backlog() as u64 > sent {
            self.repeat_ping();
        }
    }

    /// Sends the last ping again. Under packet loss, a second ping succeeds more often than four indirect probes.
    pub(super) fn repeat_ping(&mut self) {
        if let Some((to, datagram)) = self.last_ping.take() {
            self.send(to, datagram);
        }
    }

    /// Advances a suspicion that this member raised: notifies the suspect, or declares it down.
    pub(super) fn advance_suspicion(&mut self, now: Micros, step: SuspicionStep) {
        let SuspicionStep { id, swim_incarnation, notices_left, verdict } = step;
        if self.suspected_at(id) != Some(swim_incarnation) {
            return self.suspicions.withdraw(id.number);
        }
        let interval = self.settings.suspicion_timeout / Micros::from(self.settings.suspicion_notices.max(1));
        if let Some(left) = self.health.quiet_for(now) {
            let step = SuspicionStep { id, swim_incarnation, notices_left: notices_left.max(1), verdict };
            return self.schedule(now, left, TimerKind::Suspicion(step));
        }
        if notices_left == 0 {
            return self.declare_down(id, swim_incarnation, verdict);
        }
        self.send_update(id, foca::Member::new(id, swim_incarnation, State::Suspect));
        let step = SuspicionStep { id, swim_incarnation, notices_left: notices_left - 1, verdict };
        self.schedule(now, interval, TimerKind::Suspicion(step));
    }

    fn declare_down(
        &mut self, id: MemberId, swim_incarnation: Incarnation, verdict: Option<foca::Timer<MemberId>>,
    ) {
        self.suspicions.withdraw(id.number);
        let down = foca::Member::new(id, swim_incarnation, State::Down);
        // foca returns an error if the suspect was already declared down or replaced.
        let _outdated = match verdict {
            Some(verdict) => self.foca.handle_timer(verdict, &mut self.foca_output),
            None => self.foca.apply_many(std::iter::once(down), true, &mut self.foca_output),
        };
    }

    /// Returns the SWIM incarnation at which a member is suspected; `None` if it is not suspected.
    pub(super) fn suspected_at(&self, id: MemberId) -> Option<Incarnation> {
        let member = self.foca.iter_members().find(|it| *it.id() == id)?;
        (member.state() == State::Suspect).then(|| member.incarnation())
    }

    /// Takes over suspicions that last longer than the timeout. The member that raised such a suspicion may
    /// have crashed, or its update that declares the suspect down was lost because many members crashed
    /// together.
    pub(super) fn take_over_suspicions(&mut self, now: Micros) {
        let suspects = self.foca.iter_members().filter(|it| it.state() == State::Suspect);
        let suspects: Vec<(MemberId, Incarnation)> =
            suspects.map(|it| (*it.id(), it.incarnation())).collect();
        let timeout = self.settings.suspicion_timeout;
        for (id, swim_incarnation) in suspects {
            let running = self.suspicions.skips_probe(now, id.number, swim_incarnation, timeout);
            if !running && self.suspicions.raise(id.number, None) {
                self.counters.suspicions += 1;
                let notices_left = self.settings.suspicion_notices.div_ceil(2);
                self.advance_suspicion(
                    now,
                    SuspicionStep { id, swim_incarnation, notices_left, verdict: None },
                );
            }
        }
    }
}
