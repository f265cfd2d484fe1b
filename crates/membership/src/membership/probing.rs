//! Probes and accusations: second tries, what the accused is told, and when it is declared down.

use foca::{Incarnation, State};

use super::{Id, Membership, Micros, What};

impl Membership {
    pub(super) fn foca_due(&mut self, now: Micros, late: Micros, timer: foca::Timer<Id>) {
        if matches!(timer, foca::Timer::ProbeRandomMember(_)) {
            if let Some(left) = self.health.quiet(now) {
                return self.schedule(now, left, What::Foca(timer));
            }
            if self.health.timer(late, self.settings.probe_wait / 2) {
                self.counts.late_timers += 1;
            }
        }
        let asks_others = matches!(timer, foca::Timer::SendIndirectProbe { .. });
        let sent = self.counts.sent + self.out.backlog() as u64;
        // An error says that a probe was cut short: foca drops that probe and goes on with the next.
        let _cut_short = self.foca.handle_timer(timer, &mut self.out);
        if asks_others && self.counts.sent + self.out.backlog() as u64 > sent {
            self.ping_again();
        }
    }

    /// With loss, a second try tells more than four ways round through others.
    pub(super) fn ping_again(&mut self) {
        if let Some((to, datagram)) = self.ping.take() {
            self.send(to, datagram);
        }
    }

    pub(super) fn accused(
        &mut self, now: Micros, id: Id, swim_incarnation: Incarnation, reminders: u8,
        verdict: Option<foca::Timer<Id>>,
    ) {
        if self.suspected(id) != Some(swim_incarnation) {
            return self.accusations.closed(id.number);
        }
        let step = self.settings.suspicion / Micros::from(self.settings.reminders.max(1));
        if let Some(left) = self.health.quiet(now) {
            let what = What::Accused { id, swim_incarnation, reminders: reminders.max(1), verdict };
            return self.schedule(now, left, what);
        }
        if reminders == 0 {
            self.accusations.closed(id.number);
            let gone = foca::Member::new(id, swim_incarnation, State::Down);
            let _void = match verdict {
                Some(verdict) => self.foca.handle_timer(verdict, &mut self.out),
                None => self.foca.apply_many(std::iter::once(gone), true, &mut self.out),
            };
            return;
        }
        self.tell(id, foca::Member::new(id, swim_incarnation, State::Suspect));
        self.schedule(now, step, What::Accused { id, swim_incarnation, reminders: reminders - 1, verdict });
    }

    /// The incarnation at which it is suspected, if it is.
    pub(super) fn suspected(&self, id: Id) -> Option<Incarnation> {
        let it = self.foca.iter_members().find(|it| *it.id() == id)?;
        (it.state() == State::Suspect).then(|| it.incarnation())
    }

    /// Takes over the accusation of whoever stays suspected for longer than an accuser's time: the accuser may have crashed, or
    /// the news of its verdict gone astray among many that crashed with it.
    pub(super) fn take_over(&mut self, now: Micros) {
        let suspects = self.foca.iter_members().filter(|it| it.state() == State::Suspect);
        let suspects: Vec<(Id, Incarnation)> = suspects.map(|it| (*it.id(), it.incarnation())).collect();
        for (id, swim_incarnation) in suspects {
            let running =
                self.accusations.pass_over(now, id.number, swim_incarnation, self.settings.suspicion);
            if !running && self.accusations.open(id.number, None) {
                self.counts.suspicions += 1;
                self.accused(now, id, swim_incarnation, self.settings.reminders.div_ceil(2), None);
            }
        }
    }
}
