//! When a silence counts, and how often the agent is asked: the clock of the list in one place.
//!
//! One term goes before all others: a change counts as told 6 s after discovery had it and could be reached, whatever was
//! allowed after a call that failed, was refused or was given up. `docs/design/crossings-list.md` adds it up for each path.
//!
//! | what happened | counts as told | so that |
//! | --- | --- | --- |
//! | a line came | as it came | it is handed on at once |
//! | pushed: the agent has something | at once, watch or not, also after an outage and at a start | a silent agent is asked again each [`AGAIN`] |
//! | a watch fell silent | 6 s after | a second one is asked for after [`Pace::silence`], with time for one call that is lost |
//! | a call that may wait in turn | 2 s after that wait | it is given [`Pace::answer`], and asked again soon after it failed |
//! | discovery turned a call away | 6 s after it could have been told | [`REJECTED_MOST`] bounds the pause, whatever the number of balancers |
//! | SIGHUP moved discovery | 4 s after | the new agent is asked at once; the old one is heard until the new one has told its list |

use std::time::Duration;

/// A watch sends a line every 2 s. Silence by this much longer means that it is broken, where asking costs nothing.
const SILENCE_PUSHED: Duration = Duration::from_millis(2_250);
/// The same where a call costs the service: between these, drawn each time, so that watches that fell silent together are
/// not begun anew together. With one call that is lost and one that is answered within 1 s the longest stays under 6 s.
const SILENCE_ASKED: (Duration, Duration) = (Duration::from_millis(2_350), Duration::from_millis(2_600));
/// How often an agent on this machine that says nothing is asked again. Guards the end of an outage: what the agent has got by
/// then counts at once, and nothing new may go to a host that drains 250 ms later.
pub const AGAIN: Duration = Duration::from_millis(150);
/// How long a call to such an agent is waited for: it answers at once or is silent.
const ANSWER_PUSHED: Duration = Duration::from_millis(1_200);
/// How long a call is waited for that may stand in turn: the service answers or turns it away after about 2 s.
const ANSWER_ASKED: Duration = Duration::from_millis(2_200);
/// How long its connection may take to come up, which is before it stands in turn. A dial that is lost is known sooner, at no
/// cost to the service.
const DIAL_ASKED: Duration = Duration::from_millis(1_200);
/// Calls that are out at a time where they are free: one each [`AGAIN`] for as long as one is waited for. Bounds descriptors.
pub const MOST_CALLS: usize = 8;
/// Watches that are open at a time: the one that spoke last, and one that was asked for since and has not spoken.
pub const MOST_WATCHES: usize = 2;
/// Lines that are taken off a watch before it is closed for another. Bounds what one that writes without end can hold up.
pub const MOST_LINES: usize = 64;
/// How long behind its first list an agent that discovery moved to may be behind the one before: whatever discovery has to tell
/// counts as told 6 s later. One whose revisions are lower after that counts its own.
pub const BEHIND: Duration = Duration::from_secs(6);
/// Hosts whose drain or end is remembered. Bounds memory on days on which new hosts take the place of old ones all the time.
pub const MOST_HELD: usize = 4_096;
/// Connections that are open at a time: to the agent, and after a move to the one before. The configuration keeps their
/// descriptors back from clients and peers.
pub const MOST_CONNECTIONS: usize = 2 * (MOST_CALLS + MOST_WATCHES);
/// How long after a move the agent before is still asked anew where its watch breaks: from then on, what the new one has
/// counts.
pub const MOVED: Duration = Duration::from_secs(4);
/// Waits between calls that failed: the first, and the longest. They double, and each is drawn from half to one and a half of
/// that. Guards discovery, which may be one small service for a hundred balancers, against being kept down by those that ask.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// The longest where the agent is on this machine: with a half more it stays under what the rule on drains leaves.
const BACKOFF_PUSHED: Duration = Duration::from_millis(100);
/// From one call to the next where a service that is asked answers and turns us away: it is up, and has too much to do. The
/// first is so much for each balancer that may be asking, and [`REJECTED_LEAST`] at least; it doubles up to
/// [`REJECTED_MOST`]. Each is drawn from half to one and a half of that.
const REJECTED_EACH: Duration = Duration::from_millis(25);
/// The shortest of the first. Behind a call that was turned away only after it had waited in turn it may be half of that.
const REJECTED_LEAST: Duration = Duration::from_millis(200);
/// The longest: with a half more, and a call that waits in turn, it stays under the 6 s; and under the 4 s of a move.
pub const REJECTED_MOST: Duration = Duration::from_millis(1_600);

/// How changes reach the agent, as the settings say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// They are pushed to it: it has them, and answers at once and at no cost.
    Pushed,
    /// They are asked for: each call costs a service that all balancers share, and may wait in turn there.
    Asked,
}

/// How a call, or a watch, has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No whole answer came.
    NoAnswer,
    /// Discovery is up, and turned it away.
    Rejected,
    /// An answer came that is no list. It may come again, and costs its reading each time.
    Unusable,
}

/// The times that hold for one way, and the pauses between calls that failed.
#[derive(Debug)]
pub struct Pace {
    way: Way,
    balancers: u32,
    backoff: Duration,
    rejected: Duration,
}

impl Pace {
    /// As at a start, for one of so many balancers.
    #[must_use]
    pub fn new(way: Way, balancers: u32) -> Self {
        let rejected = REJECTED_EACH.saturating_mul(balancers).clamp(REJECTED_LEAST, REJECTED_MOST);
        Self { way, balancers, backoff: BACKOFF.0, rejected }
    }

    /// How long a watch may say nothing before a second one is asked for; `jitter` is drawn evenly from 0 to 1.
    #[must_use]
    pub fn silence(&self, jitter: f64) -> Duration {
        match self.way {
            Way::Pushed => SILENCE_PUSHED,
            Way::Asked => SILENCE_ASKED.0 + (SILENCE_ASKED.1 - SILENCE_ASKED.0).mul_f64(jitter),
        }
    }

    /// How long the connection of a call may take to come up.
    #[must_use]
    pub fn dial(&self) -> Duration {
        match self.way {
            Way::Pushed => ANSWER_PUSHED,
            Way::Asked => DIAL_ASKED,
        }
    }

    /// How long a call is waited for, its dial included.
    #[must_use]
    pub fn answer(&self) -> Duration {
        match self.way {
            Way::Pushed => ANSWER_PUSHED,
            Way::Asked => ANSWER_ASKED,
        }
    }

    /// When the next call is due behind one that has brought no line, be it unanswered or answered with a head alone.
    #[must_use]
    pub fn again(&self) -> Duration {
        match self.way {
            Way::Pushed => AGAIN,
            Way::Asked => ANSWER_ASKED,
        }
    }

    /// How many calls may be out at a time; one where they cost.
    #[must_use]
    pub fn most_calls(&self) -> usize {
        match self.way {
            Way::Pushed => MOST_CALLS,
            Way::Asked => 1,
        }
    }

    /// How long a watch that was asked for beside a silent one may say nothing behind its head. Where calls cost, it has what
    /// is left of [`Pace::again`]: none. Where they are free, the agent has answered: it is a watch like any other.
    #[must_use]
    pub fn unspoken(&self) -> Option<Duration> {
        (self.way == Way::Pushed).then_some(SILENCE_PUSHED)
    }

    /// A line or a list has come: what failed before is over.
    pub fn sound(&mut self) {
        *self = Self::new(self.way, self.balancers);
    }

    /// The pause after a call that failed in this way; it was made so long ago. `jitter` is drawn evenly from 0 to 1.
    pub fn backoff(&mut self, failure: Failure, made: Duration, jitter: f64) -> Duration {
        let drawn = |span: Duration| span.mul_f64(jitter + 0.5);
        let at_length = failure == Failure::Rejected && self.way == Way::Asked;
        if at_length || failure == Failure::Unusable {
            // Those that waited together are turned away together: their waits have spread nothing.
            let waited = self.rejected.mul_f64(jitter).max(REJECTED_LEAST / 2);
            let pause = drawn(self.rejected).saturating_sub(made).max(waited);
            self.rejected = (self.rejected * 2).min(REJECTED_MOST);
            return pause;
        }
        let most = if self.way == Way::Pushed { BACKOFF_PUSHED } else { BACKOFF.1 };
        let pause = drawn(self.backoff);
        self.backoff = (self.backoff * 2).min(most);
        pause
    }
}
