//! What the others said of their last grants, and whether it shows that the council is lost.

use super::{GRANT_EVERY, Settings};
use crate::{FleetMicros, Micros};
use std::collections::BTreeMap;

/// What two last grants may differ by for no fault of their holders', beyond the pause between asks and one ask lost: half a second in
/// which the leader gathers, and as much for the log to come round.
const GRANT_MARGIN: Micros = 2 * GRANT_EVERY;

/// A silence counts as listening for no more than this part of `fresh`: a process that was stopped heard nothing meanwhile.
const LONGEST_PAUSE_PART: Micros = 4;

/// The last word of one other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Word {
    at: Micros,
    granted_at: Option<FleetMicros>,
}

/// What the others said; bounded by the roster, whose numbers alone are let in.
///
/// A council that works grants to somebody every moment, so that the newest stamp known, of the log or of a word, grows. It is lost if
/// enough others are heard and that stamp stands *still* while we listen: for [`Settings::still`], or for a whole lease if an other was
/// granted much later than we were (then it was our asks that failed at first) or if we never were. Stamps are compared with stamps
/// only, since fleet time may stand for as long as a new leader's clock is behind. Stillness is counted while words come in: neither a
/// stop nor what has lain in the socket meanwhile adds to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Hearing {
    words: BTreeMap<u16, Word>,
    last: Micros,
    /// How long was listened since the newest stamp grew.
    still: Micros,
    newest_said: FleetMicros,
    /// Apart from what was said: no word, however wrong, hides that the log goes on.
    newest_logged: FleetMicros,
}

impl Hearing {
    pub(super) fn new(now: Micros) -> Self {
        Self { words: BTreeMap::new(), last: now, still: 0, newest_said: 0, newest_logged: 0 }
    }

    pub(super) fn heard(&mut self, now: Micros, number: u16, granted_at: Option<FleetMicros>, fresh: Micros) {
        let silence = now.saturating_sub(self.last);
        self.still = self.still.saturating_add(silence.min(fresh / LONGEST_PAUSE_PART));
        if silence >= fresh {
            self.still = 0;
            self.words.clear();
        }
        self.last = self.last.max(now);
        if let Some(stamp) = granted_at
            && stamp > self.newest_said.max(self.newest_logged)
        {
            self.newest_said = stamp;
            self.still = 0;
        }
        self.words.insert(number, Word { at: now, granted_at });
    }

    /// Grants with this stamp, to whomever, are in the log.
    pub(super) fn logged(&mut self, stamp: FleetMicros) {
        if stamp > self.newest_logged {
            self.newest_logged = stamp;
            self.still = 0;
        }
    }

    /// Until when the council counts as lost by what is heard so far, for one last granted at `own`: not now, if that is not after `now`.
    pub(super) fn orphaned_until(
        &self, now: Micros, own: Option<FleetMicros>, settings: &Settings,
    ) -> Micros {
        let margin = settings.ask_every.saturating_add(GRANT_MARGIN);
        let latest = own.map(|it| it.saturating_add(settings.ask_every).saturating_add(margin));
        let mut needed = settings.still();
        let mut ends = Vec::with_capacity(self.words.len());
        for word in self.fresh(now, settings.fresh) {
            if latest.is_none() || word.granted_at > latest {
                needed = needed.max(settings.longer(settings.lease));
            }
            ends.push(word.at.saturating_add(settings.fresh));
        }
        if self.still < needed {
            return 0;
        }
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(usize::from(settings.witnesses.max(1)) - 1).copied().unwrap_or(0)
    }

    /// When a verdict of "fenced" may change with nothing heard: a word lapses.
    pub(super) fn changes_at(&self, now: Micros, fresh: Micros) -> Micros {
        self.fresh(now, fresh).map(|it| it.at.saturating_add(fresh)).min().unwrap_or(Micros::MAX)
    }

    fn fresh(&self, now: Micros, fresh: Micros) -> impl Iterator<Item = &Word> {
        self.words.values().filter(move |it| now < it.at.saturating_add(fresh))
    }
}
