//! When the origin is asked: its learned rate, and one fetch a key, for which the others wait.

use super::*;

const FLOOR_PART: f64 = 0.1; // lowest rate, of the start: fewer fetches would not tell of a recovery
const RAISE: f64 = 1.5; // rate raise per round trip, while the limiter binds and outcomes are good
const CUT: f64 = 0.7; // after errors and time-outs: to this part of what the origin serves, per round trip
const CUT_LATE: f64 = 0.95; // and after late answers, which were served and stored: gently
const BAD_SHARE: f64 = 0.45; // smoothed share of bad outcomes that cuts: one slow fetch is no congestion
const BROKEN_GAIN: f64 = 0.1; // weight of a reset in it: connections also break when nothing is slow
const FETCH_PART: (u32, f64) = (10, 0.02); // of the aim, for a fetch alone: beyond so many balancers, each
const CLOSE_SHARE: f64 = 0.3; // from this smoothed share on, connections to the origin are not kept idle

impl OriginRate {
    /// Learns from one outcome of the origin, never from the limiter's own refusals.
    fn learn(&mut self, now: Micros, latency: Micros, outcome: Outcome, in_time: bool) {
        let gain = if self.latency_us == 0.0 { 1.0 } else { 0.15 };
        self.latency_us += (latency as f64 - self.latency_us) * gain;
        let served = outcome == Outcome::Ok;
        let good = served && in_time;
        let weight = if outcome == Outcome::Reset { BROKEN_GAIN } else { 0.3 };
        self.bad += (f64::from(u8::from(!good)) - self.bad) * weight;
        if served {
            self.served.add(now, RATE_SPAN_US);
        }
        let serves = self.served.sum(now, RATE_SPAN_US).clamp(0.5 * self.per_s, self.per_s);
        self.per_s = match (good, self.bad > BAD_SHARE) {
            _ if now < self.next_change => return, // fetches sent before the last change say nothing of it
            (false, true) => ((if served { CUT_LATE } else { CUT }) * serves).max(FLOOR_PART * self.start),
            (true, false) if self.bound => self.per_s * RAISE,
            _ => return,
        };
        self.bound = false;
        self.next_change = now + self.latency_us as Micros;
    }
}

impl Router {
    /// Learns from an outcome; guards a bad origin's places for connections against those we keep idle.
    pub(super) fn origin_ended(&mut self, id: RequestId, slot: u32, outcome: Outcome, latency: Micros) {
        let Some(open) = self.open.get(&id) else { return };
        // What was lost at jammed cache servers before is no fault of a fetch that took a part of the aim.
        let part = (FETCH_PART.1 * f64::from(self.settings.balancers.saturating_sub(FETCH_PART.0))).min(1.0);
        let in_time = self.now <= open.aim || latency as f64 <= part * open.aim_span();
        self.rate.learn(self.now, latency, outcome, in_time);
        self.limiter.set_rate(self.rate.per_s, self.now);
        if self.rate.bad > CLOSE_SHARE {
            self.out.push(Action::CloseIdle(self.fleet.servers[slot as usize].entry.id));
        }
    }

    /// Ends the fetch that `id` leads; those who waited read the cache, or one of them leads the next fetch.
    pub(super) fn land(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let home = open.home().filter(|_| open.stored());
        let waiters = mem::take(&mut open.leads).then(|| self.flights.remove(&open.key)).flatten();
        for id in waiters.unwrap_or_default() {
            self.read_again(id, home);
        }
    }

    /// Reads where a fetch has stored the value, if an attempt stays for our own; on credit where it missed.
    pub(super) fn read_again(&mut self, id: RequestId, home: Option<u32>) {
        let Some(open) = self.open.get(&id).filter(|open| open.phase == Phase::Waiting) else { return };
        let (spare, own) = (open.left(&self.settings) >= 2, home == open.home());
        if !home.is_some_and(|slot| spare && (own || self.cold_permit(slot)) && self.send(id, slot, false)) {
            self.fetch(id);
        }
    }

    /// The ordinary path after a miss: wait for the reserved time, or be refused right now.
    pub(super) fn fetch(&mut self, id: RequestId) {
        let (Some(open), now) = (self.open.get_mut(&id), self.now) else { return };
        if let Some(waiters) = self.flights.get_mut(&open.key) {
            waiters.push(id); // one fetch a key: the others wait for it, then read what it has stored
            let until = open.deadline;
            return self.hold(id, Phase::Waiting, until);
        }
        let latest = open.useful_until.saturating_sub(self.rate.latency_us as Micros);
        if open.left(&self.settings) == 0 {
            return self.give_up(id, Reason::AttemptLimit); // no permit for a fetch that could not be sent
        }
        // What falls into the same tick is no wait: the clock of a batch tells no finer times.
        let wait = if open.low { self.settings.tick_us } else { latest.saturating_sub(now) };
        let granted = self.limiter.try_reserve(now, wait);
        self.rate.bound |= granted.is_none_or(|at| at > now);
        let Some(at) = granted else { return self.give_up(id, Reason::NoPermit) };
        open.leads = true;
        self.flights.insert(open.key, Vec::new());
        if at <= now { self.send_origin(id) } else { self.hold(id, Phase::Held, at) }
    }
}
