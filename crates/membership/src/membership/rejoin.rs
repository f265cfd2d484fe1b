//! Rejoin rounds: periodic announcements to members of the roster that are not up.

use foca::Message;

use super::Membership;
use crate::Micros;
use crate::action::TimerKind;
use crate::identity::MemberId;
use crate::wire;

impl Membership {
    /// Runs a rejoin round now, and uses the fast interval for the following ones.
    pub(super) fn start_fast_rejoin(&mut self, now: Micros) {
        self.fast_rejoin_until = now.saturating_add(self.settings.fast_rejoin_period);
        self.run_rejoin_round(now);
    }

    /// Announces this member to some members that are not up. While no member that is up knows this
    /// incarnation, also announces it to some members that are up.
    pub(super) fn run_rejoin_round(&mut self, now: Micros) {
        let fanout = self.settings.rejoin_fanout;
        let mut targets = self.sample_members(fanout, |it, number| !it.up.contains_key(&number));
        if !self.connected {
            targets.extend(self.sample_members(fanout, |it, number| it.up.contains_key(&number)));
        }
        for number in targets {
            self.announce(number);
        }
        self.take_over_suspicions(now);
        self.rejoin_round += 1;
        let fast = now < self.fast_rejoin_until;
        let interval = if fast { self.settings.fast_rejoin_interval } else { self.settings.rejoin_interval };
        // The jitter keeps members that started together from announcing together.
        let after = interval / 2 + self.random.u64(0..=interval);
        self.schedule(now, after, TimerKind::Rejoin { round: self.rejoin_round });
    }

    /// Draws up to `count` numbers of the roster that satisfy `filter`, without this member's own.
    pub(super) fn sample_members(&mut self, count: usize, filter: impl Fn(&Self, u16) -> bool) -> Vec<u16> {
        let own = self.local.number;
        let numbers = self.roster.numbers().filter(|&number| number != own && filter(self, number));
        let mut numbers: Vec<u16> = numbers.collect();
        for index in 0..count.min(numbers.len()) {
            let other = self.random.usize(index..numbers.len());
            numbers.swap(index, other);
        }
        numbers.truncate(count);
        numbers
    }

    /// Announces this member to the member with this number, in any incarnation. The receiver answers with
    /// the members that are up.
    pub(super) fn announce(&mut self, number: u16) {
        if number != self.local.number {
            let incarnation = self.incarnations.get(&number).copied().unwrap_or_default();
            let header = self.header(MemberId { number, incarnation }, Message::Announce);
            self.send(header.dst, wire::encode(&header, &[]));
        }
    }
}
