//! Asking for those who are on the roster and not in view, for as long as they are not.

use super::{Id, Membership, Message, Micros, What, wire};

impl Membership {
    pub(super) fn seek_anew(&mut self, now: Micros) {
        self.hurry_until = now.saturating_add(self.settings.hurry);
        self.seek(now);
    }

    /// Asks some who are not in view, and some who are while nobody who is in knows this life.
    pub(super) fn seek(&mut self, now: Micros) {
        let mut asked = self.some_of(self.settings.seek, |it, number| !it.view.contains_key(&number));
        if !self.connected {
            asked.extend(self.some_of(self.settings.seek, |it, number| it.view.contains_key(&number)));
        }
        for number in asked {
            self.announce(number);
        }
        self.take_over(now);
        self.round += 1;
        let hurried = now < self.hurry_until;
        let after = if hurried { self.settings.seek_period_hurried } else { self.settings.seek_period };
        // Drawn around the period: a fleet that started in one moment must not ask in one moment.
        let after = after / 2 + self.random.u64(0..=after);
        self.schedule(now, after, What::Seek(self.round));
    }

    pub(super) fn some_of(&mut self, many: usize, which: impl Fn(&Self, u16) -> bool) -> Vec<u16> {
        let others = self.roster.numbers().filter(|&number| number != self.me.number && which(self, number));
        let mut others: Vec<u16> = others.collect();
        for place in 0..many.min(others.len()) {
            let from = self.random.usize(place..others.len());
            others.swap(place, from);
        }
        others.truncate(many);
        others
    }

    /// Asks a number, whatever its life, who is in.
    pub(super) fn announce(&mut self, number: u16) {
        if number != self.me.number {
            let incarnation = self.incarnations.get(&number).copied().unwrap_or_default();
            let header = self.header(Id { number, incarnation }, Message::Announce);
            self.send(header.dst, wire::write(&header, &[]));
        }
    }
}
