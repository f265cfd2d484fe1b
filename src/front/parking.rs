//! Which client connection to close when a place is needed.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// One whose command has been awaited for this long gives way first. A usual client sends its first as soon as it is
/// connected.
const AWAITED_FOR: Duration = Duration::from_millis(250);
/// Then one that has been idle for this long.
const IDLE_FOR: Duration = Duration::from_secs(2);

/// A connection that may be closed to make room, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parked {
    /// Its first command, or the rest of one, is awaited; or it ends with an error.
    Awaited(Instant),
    /// It has been answered all it asked.
    Idle(Instant),
}

type Oldest = BTreeMap<(Instant, u64), Rc<Notify>>;

/// The connections without an open request, each with the way to ask it to close.
#[derive(Debug, Default)]
pub struct Parking {
    awaited: Oldest,
    idle: Oldest,
}

impl Parking {
    fn place(&mut self, parked: Parked) -> (&mut Oldest, Instant) {
        match parked {
            Parked::Awaited(since) => (&mut self.awaited, since),
            Parked::Idle(since) => (&mut self.idle, since),
        }
    }

    /// Enters a connection.
    pub fn enter(&mut self, parked: Parked, number: u64, asked_to_close: Rc<Notify>) {
        let (all, since) = self.place(parked);
        all.insert((since, number), asked_to_close);
    }

    /// Takes a connection out again; it may have been asked to close meanwhile.
    pub fn leave(&mut self, parked: Parked, number: u64) {
        let (all, since) = self.place(parked);
        all.remove(&(since, number));
    }

    /// Asks one connection to close: the one whose command is awaited for longest, else the one idle for longest, and
    /// if neither is old enough for that, the older of the two. False if there is none.
    ///
    /// Guards usual clients, whose next request may be on its way, against those that open many and say nothing.
    pub fn evict(&mut self) -> bool {
        let oldest = |all: &Oldest| all.first_key_value().map(|(key, _)| key.0);
        let old_enough = |since: Option<Instant>, age| since.is_some_and(|since| since.elapsed() >= age);
        let (awaited, idle) = (oldest(&self.awaited), oldest(&self.idle));
        let from_awaited = old_enough(awaited, AWAITED_FOR)
            || (!old_enough(idle, IDLE_FOR)
                && awaited.is_some_and(|since| idle.is_none_or(|idle| since < idle)));
        let all = if from_awaited { &mut self.awaited } else { &mut self.idle };
        all.pop_first().map(|(_, asked)| asked.notify_one()).is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::advance;

    type Kind = fn(Instant) -> Parked;

    /// Parks connections of these kinds and ages in milliseconds; tells which one gives way.
    async fn gives_way(ages: &[(Kind, u64)]) -> Option<usize> {
        let mut parking = Parking::default();
        advance(Duration::from_secs(60)).await;
        let asked: Vec<Rc<Notify>> = ages.iter().map(|_| Rc::default()).collect();
        for (number, (kind, age)) in (0..).zip(ages) {
            let since = Instant::now() - Duration::from_millis(*age);
            parking.enter(kind(since), number, asked[number as usize].clone());
        }
        let any = parking.evict();
        let found = asked.iter().position(was_told);
        assert_eq!(any, found.is_some());
        found
    }

    fn was_told(asked: &Rc<Notify>) -> bool {
        let mut notified = std::pin::pin!(asked.notified());
        notified.as_mut().enable()
    }

    #[tokio::test(start_paused = true)]
    async fn who_owes_a_command_gives_way_first_then_the_longest_idle() {
        use Parked::{Awaited, Idle};
        assert_eq!(gives_way(&[]).await, None);
        assert_eq!(gives_way(&[(Idle, 9_000), (Awaited, 300), (Awaited, 400)]).await, Some(2));
        assert_eq!(
            gives_way(&[(Idle, 2_000), (Idle, 9_000), (Awaited, 200)]).await,
            Some(1),
            "just connected"
        );
        assert_eq!(gives_way(&[(Idle, 100), (Awaited, 200)]).await, Some(1), "neither is old enough");
        assert_eq!(gives_way(&[(Awaited, 100), (Idle, 200)]).await, Some(1));
        assert_eq!(gives_way(&[(Awaited, 1)]).await, Some(0));
    }
}
