//! The tries of a request: what may be sent, whether it is tried again, and when it is given up.

use super::*;

const ACCIDENT: f64 = 0.2; // a repeat's cost where no load was the cause: broken, unreachable, spoilt

impl Router {
    /// Whether the request may be sent to this server, whatever became of its earlier attempts.
    fn may_send(&self, id: RequestId, slot: Option<u32>) -> bool {
        let (Some(open), Some(slot)) = (self.open.get(&id), slot.or(self.fleet.origin)) else { return false };
        let entry = &self.fleet.servers[slot as usize].entry;
        let most_out = 1 + usize::from(self.settings.hedged_requests);
        let ready = entry.presence == Presence::Ready && self.now < open.deadline;
        let spare = open.phase != Phase::Done && open.left(&self.settings) > 0 && open.out() < most_out;
        let recent = |a: &Attempt, span_us| self.now + 2 * self.settings.tick_us < a.sent + span_us;
        let mut maybe = open.attempts.iter().filter(|a| a.may_have_run());
        match open.effect {
            _ if !ready || !spare => false,
            Effect::Idempotent => true,
            Effect::NonIdempotent => maybe.next().is_none(),
            Effect::IdempotentWithKey { scope, span_us } => {
                maybe.all(|a| recent(a, span_us) && a.in_group(scope, entry))
            }
        }
    }

    pub(super) fn send(&mut self, id: RequestId, slot: u32, to_origin: bool) -> bool {
        let (entry, now) = (self.fleet.servers[slot as usize].entry, self.now);
        let may = self.may_send(id, Some(slot));
        let Some(open) = self.open.get_mut(&id).filter(|_| may) else { return false };
        let patience = (open.aim.saturating_sub(now) as f64 * HEDGE_PART) as Micros;
        let (settings, safe) = (&self.settings, open.effect == Effect::Idempotent);
        let impatient = !to_origin && open.left(settings) >= 2 && patience > 0 && safe;
        // Where a try cannot be cancelled later, it is now that it is cut short.
        let cut_short = impatient && !settings.hedged_requests && !settings.cancel && self.cuts >= 1.0;
        self.cuts -= f64::from(u8::from(cut_short));
        open.attempts.push(Attempt { cut_short, ..Attempt::new(slot, now, to_origin, &entry) });
        (open.phase, open.due) = (Phase::Sent, if impatient { now + patience } else { Micros::MAX });
        let server = &mut self.fleet.servers[slot as usize];
        server.board(now, 1);
        server.cold_tokens -= 1.0;
        self.inflight += u32::from(!to_origin);
        self.out.push(Action::Forward {
            id,
            endpoint: entry.id,
            timeout_us: u64::from(cut_short) * patience,
        });
        if impatient && (self.settings.hedged_requests || self.settings.cancel) {
            self.out.push(Action::Timer { delay_us: patience, token: Token(id.0) });
        }
        true
    }

    pub(super) fn send_read(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let (key, tried) = (open.key, open.attempts.clone());
        let row = self.row(key, false);
        let slot = self.pick(key, &row, &tried);
        if !slot.is_some_and(|slot| self.send(id, slot, false)) {
            // No cache may take a read that has had no try: an origin asked directly may, within its permits.
            let fetch = tried.is_empty() && self.fleet.origin.is_some();
            if fetch { self.fetch(id) } else { self.give_up(id, Reason::NoEndpoint) }
        }
    }

    pub(super) fn send_origin(&mut self, id: RequestId) {
        if !self.fleet.origin.is_some_and(|slot| self.send(id, slot, true)) {
            self.give_up(id, Reason::NoEndpoint);
        }
    }

    /// No further attempt: the final answer, unless an attempt that is still out may yet bring one.
    pub(super) fn give_up(&mut self, id: RequestId, why: Reason) {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.phase != Phase::Done) else { return };
        if !open.all_ended() {
            return open.phase = Phase::Sent; // guards against a held request that no timer answers any more
        }
        let anyhow = matches!(
            open.effect,
            Effect::Idempotent | Effect::IdempotentWithKey { scope: DedupScope::All, .. }
        );
        let harmless = anyhow || !open.maybe_ran();
        let reason = open.reason(why, self.now, harmless, &self.settings);
        let retry_after_us =
            self.limiter.earliest().saturating_sub(self.now).min(self.settings.max_retry_after_us);
        let refuse = Action::Reject { id, retry_after_us, reason };
        self.out.push(if harmless { refuse } else { Action::Fail { id, reason } });
        self.close(id, true);
    }

    /// Sends nothing for a request until a time, unless what it waits for comes first.
    pub(super) fn hold(&mut self, id: RequestId, phase: Phase, until: Micros) {
        let Some(open) = self.open.get_mut(&id) else { return };
        (open.phase, open.due) = (phase, until);
        self.out.push(Action::Timer { delay_us: until.saturating_sub(self.now), token: Token(id.0) });
    }

    /// Cuts a read's try short if it looks lost, or looks again later: most servers are only slow.
    pub(super) fn consider(&mut self, id: RequestId) {
        let (Some(open), now) = (self.open.get_mut(&id), self.now) else { return };
        open.due = Micros::MAX;
        let (n, left) = (open.attempts.len() - 1, open.aim.saturating_sub(now));
        let attempt = &mut open.attempts[n];
        let server = &self.fleet.servers[attempt.slot as usize];
        let budget = match attempt.sent {
            sent if server.newest[1] > sent => Some(&mut self.retries), // later tries overtook it: lost
            sent if server.heard < sent => Some(&mut self.cuts),        // silent since: it may be
            _ => None,
        };
        let Some(budget) = budget.filter(|budget| **budget >= 1.0) else {
            if left / 2 > self.settings.tick_us {
                self.hold(id, Phase::Sent, now + left / 2);
            }
            return;
        };
        // Guards a try that is cut short against an empty budget at its end: its repeat is set aside with it.
        *budget -= 1.0;
        attempt.cut_short = true;
        self.out.push(Action::Cancel { id, attempt: n as u16 });
    }

    /// What follows an attempt that did not serve.
    pub(super) fn go_on(&mut self, id: RequestId, to_origin: bool, outcome: Outcome, fetch_pending: bool) {
        if to_origin {
            self.land(id); // guards those who wait, and a copy still out, against a fetch that failed
        }
        let wait = self.rate.latency_us as Micros;
        let Some(open) = self.open.get_mut(&id) else { return };
        if open.fetching() && !to_origin {
            return; // a second copy came back while the fetch is held or out: the fetch decides
        }
        if !to_origin && outcome == Outcome::Miss && self.settings.mode == Mode::CacheAside {
            if fetch_pending
                && open.left(&self.settings) >= 2
                && !open.reread
                && self.now + 2 * wait < open.aim
            {
                open.reread = true; // another balancer's fetch will store it: one fetch for all, not one each
                return self.hold(id, Phase::Waiting, self.now + wait);
            }
            return self.fetch(id);
        }
        // One budget for all repeats: more attempts are more load; a repeat that no load caused costs a part.
        let by_load = matches!(outcome, Outcome::Rejected | Outcome::Timeout);
        let cost = if by_load { 1.0 } else { ACCIDENT };
        let write = open.req.write && self.now + wait < open.aim;
        let refetch = to_origin && !open.req.write && !by_load;
        let again = !to_origin || refetch || (write && self.may_send(id, None));
        let not_sent = matches!(outcome, Outcome::NotSent | Outcome::Cancelled);
        if !again || self.retries < cost || not_sent {
            let why = if again { Reason::RetryBudget } else { Reason::FetchFailed };
            return self.give_up(id, if not_sent { Reason::NotSent } else { why });
        }
        self.retries -= cost;
        match (to_origin, refetch) {
            (false, _) => self.send_read(id),
            (true, true) => self.fetch(id), // if a permit is in time
            (true, false) => self.hold(id, Phase::Held, self.now + wait),
        }
    }
}
