//! The life of a request: it arrives, the module decides on it as often as something happens, it is given its one final
//! answer, and it is forgotten once none of its tries is out.

use super::handle::{IncomingRequest, Owed, refuse_unseen};
use super::{Due, Engine};
use decide::api::{Action, ClassId, Effect, Event, Micros, Reason, Request, RequestId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::time::delay_queue;
use upstream::call::{Answer, Call};
use upstream::memory::MemoryPermit;

/// How long after its deadline a request that the module left without an answer is failed.
const OVERDUE: Duration = Duration::from_millis(10);
/// An answer this long after its time is logged with its client's id: the rules allow no more.
const LATE: Duration = Duration::from_millis(50);

/// What the core holds of a request until it is answered and none of its tries is out.
pub(super) struct RequestContext {
    pub(super) call: Rc<Call>,
    _held: Option<MemoryPermit>,
    pub(super) class: ClassId,
    pub(super) effect: Effect,
    taken: Instant,
    pub(super) deadline: Instant,
    pub(super) answer: Option<oneshot::Sender<Answer>>,
    /// Whether it is still owed one. Cleared with `answer`, and by the client's side as soon as that leaves.
    pub(super) owed: Rc<Cell<bool>>,
    pub(super) attempts: u16,
    /// Whether a try of it went to a connection that its peer had closed.
    pub(super) stale: bool,
    /// Its tries that are out or may have run, and when each was sent. No more than the attempts that a request may make.
    pub(super) maybe_ran: Vec<(u16, Instant)>,
    pub(super) out: Vec<(u16, oneshot::Sender<()>)>,
    /// Whether its answer has begun to come, and was given to its client.
    pub(super) streams: bool,
    /// Whether the guard behind its deadline has come late once.
    guarded_late: bool,
    /// Its timers that have not fallen due. Guards memory: they go with the context, not at their time.
    timers: Vec<delay_queue::Key>,
}

impl RequestContext {
    /// When the last byte of a further try must have been written: repeats of a keyed request are dropped for a span from
    /// the first that may have run on. That one is taken to have run when it was decided on, which is earlier; the two
    /// ticks are the module's own margin, and the way to the peer is what the rule's slack is for.
    pub(super) fn window_ends(&self, tick: Duration) -> Option<Instant> {
        let Effect::IdempotentWithKey { span_us, .. } = self.effect else { return None };
        let first = self.maybe_ran.iter().map(|(_, sent)| *sent).min()?;
        Some(first + Duration::from_micros(span_us).saturating_sub(2 * tick))
    }
}

impl Engine {
    pub(super) fn arrived(&mut self, id: RequestId, mut incoming: IncomingRequest, owed: Owed) {
        let taken = Instant::now();
        let Owed { answer, still: owed } = owed;
        if !owed.get() {
            self.handle.counters.borrow_mut().left += 1; // its client left before the core came to it
            return;
        }
        if self.fenced() {
            self.count_refused();
            return refuse_unseen(&self.handle.counters, incoming.class, Reason::Fenced, answer);
        }
        // Guards places for requests: no client may have one kept for minutes.
        let deadline = incoming.received + incoming.time_limit.min(self.bounds.longest);
        let time_left = deadline.saturating_duration_since(taken);
        if time_left.is_zero() && !incoming.time_limit.is_zero() {
            self.count_refused();
            return refuse_unseen(&self.handle.counters, incoming.class, Reason::Deadline, answer);
        }
        if let Some(value) = incoming.call.value.as_ref().filter(|_| incoming.memory.is_none()) {
            incoming.memory = self.handle.budget.hold(value.len());
            if incoming.memory.is_none() {
                // Guards memory: turned away before the module hears of it.
                self.count_refused();
                return refuse_unseen(&self.handle.counters, incoming.class, Reason::NoCapacity, answer);
            }
        }
        let request = Request {
            id,
            class: incoming.class,
            tenant: incoming.tenant,
            key: incoming.key,
            write: incoming.call.value.is_some(),
            remaining_us: time_left.as_micros() as Micros,
        };
        let client_id = String::from_utf8_lossy(&incoming.call.id);
        log::debug!("request {}: {client_id}, class {}, {:?} left", id.0, incoming.class.0, time_left);
        let context = RequestContext {
            call: incoming.call,
            _held: incoming.memory,
            class: incoming.class,
            effect: self.effects.get(incoming.class.0 as usize).copied().unwrap_or(Effect::NonIdempotent),
            taken,
            deadline,
            answer: Some(answer),
            owed,
            attempts: 0,
            stale: false,
            maybe_ran: Vec::new(),
            out: Vec::new(),
            streams: false,
            timers: vec![self.timers.insert(Due::Overdue(id), time_left + OVERDUE)],
            guarded_late: false,
        };
        self.contexts.insert(id, context);
        self.events.push_back(Event::Request(request));
    }

    /// Hands the module what has happened and carries out what it decides, until nothing is left to tell.
    pub(super) fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.router.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Forward { id, endpoint: server, timeout_us } => self.send(id, server, timeout_us),
            Action::Reject { id, retry_after_us, reason } => {
                self.handle.counters.borrow_mut().refuse(reason);
                self.count_refused();
                log::debug!(
                    "request {}: rejected ({}), retry after {retry_after_us} us",
                    id.0,
                    reason.label()
                );
                self.answer(id, Answer::Refused(retry_after_us.div_ceil(1_000)));
                self.forget(id);
            }
            Action::Fail { id, reason } => {
                self.handle.counters.borrow_mut().fail(reason);
                log::debug!("request {}: failed ({})", id.0, reason.label());
                self.answer(id, Answer::Failed);
                self.forget(id);
            }
            Action::Cancel { id, attempt } => {
                let context = self.contexts.get_mut(&id);
                let cancel = context.and_then(|c| {
                    c.out.iter().position(|(n, _)| *n == attempt).map(|at| c.out.swap_remove(at))
                });
                if let Some((_, cancel)) = cancel {
                    let _ = cancel.send(()); // its try closes its connection, then reports
                }
            }
            Action::Timer { delay_us, token } => {
                let key = self.timers.insert(Due::Module(token), Duration::from_micros(delay_us));
                if let Some(context) = self.contexts.get_mut(&RequestId(token.0)) {
                    context.timers.push(key);
                }
            }
            Action::CloseIdle(server) => self.pools.close_idle(server),
            Action::Watch => {} // the watch is always on
            Action::PublishLoad(loads) => {
                let now = self.now();
                if let Some(talk) = &mut self.talk {
                    self.events.push_back(talk.tell(now, &loads));
                }
            }
        }
    }

    /// Gives the final answer, if it is still owed.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(context) = self.contexts.get_mut(&id) else { return };
        if let Some(sender) = context.answer.take() {
            context.owed.set(false); // a copy that is still dialling or writing goes no further
            let (class, us) = (context.class, context.taken.elapsed().as_micros());
            log::debug!("request {}: class {} {} after {us} us", id.0, class.0, answer.word());
            let late = context.deadline.elapsed();
            if late >= LATE
                && let Some(more) = self.lines.late.line()
            {
                let client_id = String::from_utf8_lossy(&context.call.id);
                log::warn!("request {client_id}: {} {late:?} after its time{more}", answer.word());
            }
            self.handle.counters.borrow_mut().answered(class, &answer);
            let _ = sender.send(answer); // a client that has just left is told by its ticket
        }
    }

    /// Its client has left: nobody is owed an answer any more.
    pub(super) fn left(&mut self, id: RequestId) {
        if self.contexts.get_mut(&id).is_some_and(|context| context.answer.take().is_some()) {
            self.handle.counters.borrow_mut().left += 1;
            self.events.push_back(Event::ClientLeft(id));
            self.forget(id);
        }
    }

    /// Its front has failed it: the answer is counted, and nothing more is done for it.
    pub(super) fn given_up(&mut self, id: RequestId) {
        if self.contexts.get(&id).is_some_and(|context| context.answer.is_some()) {
            self.fail_for(id, Reason::ShuttingDown);
        }
    }

    /// Guards the rule that none is lost against a request that the module forgot: found by nothing so far.
    pub(super) fn overdue(&mut self, id: RequestId) {
        let Some(context) = self.contexts.get_mut(&id).filter(|context| context.answer.is_some()) else {
            return;
        };
        // Guards against blaming the module for a hold-up: its own timers, and those of tries, are as late, and come first now.
        if context.deadline.elapsed() >= 2 * OVERDUE && !std::mem::replace(&mut context.guarded_late, true) {
            return context.timers.push(self.timers.insert(Due::Overdue(id), OVERDUE));
        }
        let client_id = String::from_utf8_lossy(&context.call.id);
        log::error!("request {} ({client_id}) had no answer at its deadline", id.0);
        self.fail_for(id, Reason::Forgotten);
    }

    /// Fails an open request without the module.
    fn fail_for(&mut self, id: RequestId, why: Reason) {
        self.handle.counters.borrow_mut().fail(why);
        self.answer(id, Answer::Failed);
        self.events.push_back(Event::ClientLeft(id));
        self.forget(id);
    }

    /// Guards the timers of others: a key may be given again once its timer has fallen due.
    pub(super) fn fell_due(&mut self, id: RequestId, key: delay_queue::Key) {
        if let Some(context) = self.contexts.get_mut(&id) {
            context.timers.retain(|kept| *kept != key);
        }
    }

    pub(super) fn forget(&mut self, id: RequestId) {
        let done = |context: &RequestContext| context.answer.is_none() && context.out.is_empty();
        if !self.contexts.get(&id).is_some_and(done) {
            return;
        }
        if let Some(context) = self.contexts.remove(&id) {
            for key in &context.timers {
                self.timers.remove(key);
            }
        }
    }
}
