//! Turns what foca wants done into actions, with the stretched times and the reminders of this crate.

use super::{
    Action, DownReason, Duration, Id, LEAVING, Member, Membership, Message, Micros, OwnedNotification, State,
    What, wire,
};

impl Membership {
    /// Takes all that foca left, until nothing more follows.
    pub(super) fn settle(&mut self, now: Micros, why: DownReason) {
        self.settle_news(now, &[], why);
    }

    /// The same, where some of the news may say that a member left.
    pub(super) fn settle_news(&mut self, now: Micros, news: &[foca::Member<Id>], why: DownReason) {
        while self.out.backlog() > 0 {
            while let Some(notice) = self.out.to_notify() {
                self.notice(now, notice, news, why);
            }
            let mut passed_over = false;
            while let Some((after, timer)) = self.out.to_schedule() {
                self.timer(now, after, timer, &mut passed_over);
            }
            while let Some((to, datagram)) = self.out.to_send() {
                self.outgoing(to, datagram);
            }
        }
    }

    fn notice(
        &mut self, now: Micros, notice: OwnedNotification<Id>, news: &[foca::Member<Id>], why: DownReason,
    ) {
        match notice {
            OwnedNotification::MemberUp(id) => self.up(id),
            OwnedNotification::MemberDown(id) => {
                let said = |it: &foca::Member<Id>| *it.id() == id && it.state() == State::Down;
                let left = news.iter().any(|it| said(it) && it.incarnation() == LEAVING);
                self.down(id.number, if left { DownReason::Left } else { why });
            }
            OwnedNotification::Rename(_, after) => {
                // One that was in stays in under its later life, or is said to be out right after this.
                if self.down(after.number, DownReason::Superseded) {
                    self.up(after);
                }
            }
            OwnedNotification::Active => self.connected = true,
            OwnedNotification::Idle => self.connected = false,
            OwnedNotification::Rejoin(_) => self.renewed(now),
            OwnedNotification::Defunct => self.replaced(self.me.incarnation),
        }
    }

    fn up(&mut self, id: Id) {
        self.knows_life(id);
        self.accusations.forget(id.number);
        let Some(member) = self.roster.member(id) else { return };
        if self.view.insert(id.number, member) != Some(member) {
            self.actions.push_back(Action::Up(member));
        }
    }

    fn down(&mut self, number: u16, why: DownReason) -> bool {
        self.accusations.forget(number);
        let gone: Option<Member> = self.view.remove(&number);
        self.actions.extend(gone.map(|member| Action::Down(member, why)));
        gone.is_some()
    }

    fn timer(&mut self, now: Micros, after: Duration, timer: foca::Timer<Id>, passed_over: &mut bool) {
        let mut after = Micros::try_from(after.as_micros()).unwrap_or(Micros::MAX);
        match &timer {
            foca::Timer::SendIndirectProbe { probed_id, .. } => {
                *passed_over = self.suspected(*probed_id).is_some_and(|at| {
                    self.accusations.pass_over(now, probed_id.number, at, self.settings.suspicion)
                });
                self.asking = Some(timer.clone());
                after = self.health.stretch(after);
            }
            foca::Timer::ProbeRandomMember(_) if *passed_over => after = self.settings.probe_wait / 2,
            foca::Timer::ProbeRandomMember(_) => after = self.health.stretch(after),
            &foca::Timer::ChangeSuspectToDown { member_id: id, incarnation: swim_incarnation, .. } => {
                if self.accusations.open(id.number, Some(&timer)) {
                    self.counts.suspicions += 1;
                    let reminders = self.settings.reminders;
                    self.accused(now, id, swim_incarnation, reminders, Some(timer));
                }
                return;
            }
            _ => {}
        }
        self.schedule(now, after, What::Foca(timer));
    }

    fn outgoing(&mut self, to: Id, datagram: bytes::Bytes) {
        if let Some(header) = wire::header(&datagram) {
            if header.src == *self.foca.identity() && header.src_incarnation > self.swim_incarnation {
                self.swim_incarnation = header.src_incarnation;
                self.counts.refutations += 1;
                self.health.suspected();
                self.actions.push_back(Action::Refuted);
            }
            if matches!(header.message, Message::Ping(_)) {
                self.ping = Some((to, datagram.clone()));
            }
        }
        self.send(to, datagram);
    }
}
