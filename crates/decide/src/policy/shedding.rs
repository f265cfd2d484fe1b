//! What is shed: requests of low worth first, then any, when what is in flight will take too long.

use super::*;

const LOW_WORTH: f64 = 0.5; // at most this part of the best read's worth passes a zero wait
const SHED_PART: f64 = 0.6; // reads are shed when those in flight will take this part of their aim
const SHED_MIN: f64 = 16.0; // but never with fewer than this many in flight
const SPELL: (f64, f64) = (8.0, 64.0); // in flight: where a busy spell begins; the most while young

impl Router {
    /// Grades a request by its class's worth and its tenant's quota.
    pub(super) fn grade(&mut self, open: &mut Open, worth: f64) {
        let (tenant, siblings) = (open.req.tenant.0 as usize, f64::from(self.settings.balancers));
        self.best_worth = self.best_worth.max(if open.req.write { 0.0 } else { worth });
        open.low = worth <= LOW_WORTH * self.best_worth;
        if let Some((sent, tenant)) = self.tenants.get_mut(tenant).zip(self.settings.tenants.get(tenant)) {
            sent.add(self.now, RATE_SPAN_US);
            // Twice an equal part of the quota: how the tenant's requests fall on the balancers is not known.
            let over = sent.sum(self.now, RATE_SPAN_US) > 2.0 + 2.0 * tenant.quota_per_s / siblings;
            open.over = over && worth * self.settings.over_quota_weight <= LOW_WORTH * self.best_worth;
            open.low |= open.over;
        }
    }

    /// Whether a read is shed: those in flight would take too much of its time.
    pub(super) fn sheds(&mut self, row: &Row, low: bool, useful_until: Micros) -> bool {
        let now = self.now;
        let idle = row.len > 0 && self.count(row.slots[0]) < 1.0; // jammed servers must not shut out the rest
        // Little's law: what is in flight takes inflight / answers a second. Beyond the aim it is lost work.
        let part = if low { 0.5 * SHED_PART } else { SHED_PART };
        // One patience for all: by its own, the most urgent class would go first, though it is worth most.
        self.patience_us += ((useful_until - now) as f64 - self.patience_us) / (self.reads.min(100.0));
        // Few answers of late may mean that little was asked: a busy spell has its own, a young one none yet.
        if f64::from(self.inflight) <= SPELL.0 {
            self.spell = Spell { since: now, answers: 0.0 };
        }
        let answers = self.answers.sum(now, RATE_SPAN_US).max(self.spell.answers(now, RATE_SPAN_US));
        let young = ((now - self.spell.since) as f64) < 0.5 * part * self.patience_us;
        let most = if young { SPELL.1 } else { (answers * self.patience_us / 1e6 * part).max(SHED_MIN) };
        !idle && f64::from(self.inflight) > most
    }
}
