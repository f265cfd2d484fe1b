//! What is known of hosts: the list, their load and warmth, and their health by what became of reads.

use super::*;

const START_PER_SERVER: f64 = 10.0; // the stated figure: fetches a second per cache server, split
const START_HELD: f64 = 2.0; // and no lower than this many within the shortest aim: a second is held
const BOUND_FACTOR: f64 = 1.25; // in-flight bound: this many times the server's share of the mean ...
const BOUND_MIN: f64 = 2.0; // ... and at least this many, so that chance alone moves no key
const FULL_US: Micros = 100_000; // a server that turned a read away is out of bounds for this long
const COLD_BUDGET: f64 = 1.5; // sends to a warming server, as a multiple of its ramped share of our reads
const COLD_STORE: (f64, f64) = (2.5, 3.0); // saved up: by all, of what tips it over; by one, in permits
const COLD_GROWTH: (f64, f64) = (1.2, 0.55); // further sends for each quick hit, and each quick miss
const BAD_GAIN: f64 = 0.25; // weight of one outcome in a server's smoothed failed share
const FAULT_GAIN: f64 = 0.08; // the same for resets and bad answers: chance alone must not take a server out
const EJECT_SHARE: f64 = 0.45; // smoothed failed share that takes a server out of use
const FAULT_SHARE: f64 = 0.4; // and that of resets and bad answers: one that serves most is worth keeping
const EJECT_US: Micros = 1_000_000; // for this long at first; doubles with each failed trial, thrice at most
const SLOW: f64 = 3.0; // an answer that took this many times the fleet's median, and half an aim, is a fault
const FAULT_PART: f64 = 0.2; // at most this part of the fleet at a time for faults: the rest bears its load
const EJECT_PART: f64 = 0.34; // without proof of unreachability, at most this part of the fleet at a time

impl Router {
    pub(super) fn list_changed(&mut self, kind: ListKind, entries: &[EndpointEntry]) {
        if self.settings.discovery == Discovery::Poll && matches!(kind, ListKind::Failed | ListKind::Cached) {
            // Jittered and doubling: calls that failed together must not be made together again.
            let step = (self.settings.max_poll_interval_us / 8) << self.failed_calls.min(3);
            let delay_us = if kind == ListKind::Failed { step / 2 } else { 0 } + self.rng.u64(0..=step / 2);
            self.out.push(Action::Timer { delay_us, token: Token(WATCH) });
        }
        self.failed_calls = if kind == ListKind::Failed { self.failed_calls + 1 } else { 0 };
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.fleet.all_gone(); // unless the whole list names them below
        }
        entries.iter().for_each(|&entry| self.fleet.apply(entry, self.rng.f64(), self.reads));
        self.fleet.reweigh(self.now, &self.settings);
        if self.rate.per_s == 0.0 && self.fleet.ready > 0 {
            let start = START_PER_SERVER * f64::from(self.fleet.ready) / f64::from(self.settings.balancers);
            self.pace = Pace::new(self.settings.shortest_latency_objective());
            let least = START_HELD * 1e6 / self.pace.latency_objective_us;
            (self.rate.start, self.rate.per_s) = (start.max(least), start.max(least));
            self.limiter = WarmUpLimiter::new(self.rate.per_s, self.now);
        }
    }

    fn mean(&self) -> f64 {
        f64::from(self.inflight) / f64::from(self.fleet.ready.max(1))
    }
    /// A new or restarted server looks idle before its first answers: it counts at the others' mean.
    pub(super) fn count(&self, slot: u32) -> f64 {
        let server = &self.fleet.servers[slot as usize];
        f64::from(server.inflight).max(if server.answered { 0.0 } else { self.mean() })
    }
    /// Guards a warming server: all may spend what they saved at once. Each saves a part, or a chance of one.
    pub(super) fn cold_permit(&mut self, slot: u32) -> bool {
        let cold = self.fleet.servers.get_mut(slot as usize).filter(|server| server.warmth < 1.0);
        let (Some(server), fall) = (cold, self.settings.overload_multiple) else { return true };
        let (share, rate) = (server.weight * server.warmth / self.fleet.listed, COLD_BUDGET.min(0.5 * fall));
        let earned = (self.reads - mem::replace(&mut server.cold_mark, self.reads)) * rate * share;
        let lately =
            self.lately.sum(self.now, KEY_SPAN_US) * self.settings.overload_window_us as f64 / KEY_SPAN_US;
        let most = (COLD_STORE.0 * fall * share * lately).min(COLD_STORE.1);
        let saved = (server.cold_tokens + earned).min(most);
        server.cold_tokens = if most < 1.0 { (saved + self.rng.f64()).floor() } else { saved };
        server.cold_tokens >= 1.0
    }
    pub(super) fn within_bounds(&self, slot: u32) -> bool {
        let server = &self.fleet.servers[slot as usize];
        let share = server.weight * server.warmth * f64::from(self.fleet.ready) / self.fleet.ramped;
        let bound = (BOUND_FACTOR * self.mean() * share).max(BOUND_MIN);
        self.count(slot) < bound && self.now >= server.full_until
    }

    /// Passive health: what a read's outcome says of its server.
    pub(super) fn judge(&mut self, slot: u32, outcome: Outcome, latency: Micros) {
        let server = &mut self.fleet.servers[slot as usize];
        let (now, time, unreachable) = (self.now, latency as f64, outcome == Outcome::ConnectFailed);
        server.book_end(outcome);
        let (half, slow) = (HEDGE_PART * self.pace.latency_objective_us, SLOW * self.pace.median_us);
        // Late through its own fault: few of ours were in its way, and the fleet is quick.
        let late = time.min(self.pace.latency_objective_us) > half.max(slow)
            && f64::from(server.inflight) < BOUND_MIN;
        if matches!(outcome, Outcome::Ok | Outcome::Miss) {
            self.pace.learn(latency);
            server.answered = true;
            server.bad *= 1.0 - BAD_GAIN;
        }
        match outcome {
            Outcome::Ok | Outcome::Miss if !late => {
                server.faults *= 1.0 - FAULT_GAIN;
                let growth = if outcome == Outcome::Ok { COLD_GROWTH.0 } else { COLD_GROWTH.1 };
                server.cold_tokens += if time < self.pace.median_us.min(half) { growth } else { 0.0 };
                if server.out_until > 0 {
                    // Back, but one that fails by fits and starts is soon out again, and for longer.
                    (server.out_until, server.bad) = (0, 0.5 * EJECT_SHARE);
                    server.faults = server.faults.min(0.5 * FAULT_SHARE);
                } else if server.bad < 0.05 && server.faults < 0.1 {
                    server.out_times = 0;
                }
            }
            Outcome::NotSent | Outcome::Cancelled => {}
            Outcome::Rejected => server.full_until = now + FULL_US,
            Outcome::Timeout => server.bad += (1.0 - server.bad) * BAD_GAIN,
            Outcome::ConnectFailed => server.bad += (1.0 - server.bad) * 0.5,
            // An error, a broken connection, or an answer too late: guards the keys of a slow server.
            _ => server.faults += (1.0 - server.faults) * FAULT_GAIN,
        }
        let silent = server.bad > EJECT_SHARE;
        if (!silent && server.faults <= FAULT_SHARE) || now < server.out_until {
            return;
        }
        // When many look bad, the origin or the network is: only proof of unreachability takes out more.
        let out = (0..).zip(&self.fleet.servers).filter(|(n, s)| *n != slot && s.out_of_use()).count();
        let part = if silent { EJECT_PART } else { FAULT_PART };
        if unreachable || (self.fleet.ready > 1 && (out as f64) < f64::from(self.fleet.ready) * part) {
            let server = &mut self.fleet.servers[slot as usize];
            let span = EJECT_US << server.out_times.min(3);
            server.out_until = now + span + self.rng.u64(0..=span / 2);
            server.out_times += 1;
        }
    }
}
