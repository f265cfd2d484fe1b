//! Where keys live, and which of its servers reads a key.

use super::*;

const HOT_PART: f64 = 0.6; // a key is spread over one server more for each such part of a mean server's reads
const HOT_COUNT: (f64, f64, f64) = (2.0, 36.0, 6.0); // reads of a hot key: at least, of all balancers, enough
const FAULTY: f64 = 0.2; // smoothed share of resets and bad answers from which repeats shun a server
const LOCAL_PRICE: f64 = 0.05; // from this price of a crossing on, a key's home is in the balancer's zone
const FAR: f64 = 1_000.0; // how much lighter servers of other zones weigh then

impl Router {
    /// The key's servers, best first. Weighted rendezvous: balancers that share nothing agree.
    fn rank(&self, key: Key, allow: impl Fn(u32) -> bool) -> Row {
        let local = self.settings.zones > 1 && self.settings.cross_zone_price >= LOCAL_PRICE;
        let (mut best, mut len) = ([(f64::MAX, 0); RANKS], 0);
        for (slot, server) in (0..).zip(&self.fleet.servers).filter(|(n, s)| s.caches() && allow(*n)) {
            len = (len + 1).min(RANKS);
            let unit = (mix(key.0 ^ mix(server.entry.id.0)) >> 11) as f64 / (1_u64 << 53) as f64;
            let weight = server.weight * server.warmth * server.part;
            // -ln(u) is never below 1 - u: in a large fleet most servers need no logarithm to be passed over.
            if 1.0 - unit >= best[RANKS - 1].0 * weight {
                continue;
            }
            let mut item = (-unit.max(1e-18).ln() / weight, slot);
            if local && server.entry.zone != self.settings.zone {
                item.0 *= FAR;
            }
            for place in &mut best {
                if item.0 < place.0 {
                    mem::swap(&mut item, place);
                }
            }
        }
        let slots = best.map(|(_, slot)| slot);
        Row { slots, len, generation: self.fleet.generation, asked: Lately::default() }
    }

    /// The key's row of the table, ranked anew when the weights have changed.
    pub(super) fn row(&mut self, key: Key, asked: bool) -> Row {
        let kept = self.table.take(key);
        let mut row = kept.filter(|row| row.generation == self.fleet.generation);
        let row = row.get_or_insert_with(|| self.rank(key, |_| true));
        row.asked = kept.map_or(row.asked, |kept| kept.asked);
        if asked {
            row.asked.add(self.now, KEY_SPAN_US);
        }
        self.table.put(key, *row);
        *row
    }

    /// The server for a read: the first of the key's ranks that is in use and within bounds.
    pub(super) fn pick(&mut self, key: Key, row: &Row, tried: &[Attempt]) -> Option<u32> {
        let mut ranks: Vec<u32> = row.slots[..row.len].to_vec();
        // A key hotter than a server's part of the reads is spread over several of its ranks.
        let (asked, all) = (row.asked.sum(self.now, KEY_SPAN_US), self.lately.sum(self.now, KEY_SPAN_US));
        let parts = asked / all * f64::from(self.fleet.ready) / HOT_PART;
        let enough = (HOT_COUNT.1 / f64::from(self.settings.balancers)).clamp(HOT_COUNT.0, HOT_COUNT.2);
        let hot = if asked >= enough { ranks.len().min(1 + parts as usize) } else { 1.min(ranks.len()) };
        ranks[..hot].rotate_left(self.rng.usize(..hot.max(1)));
        let tried_at = |slot: u32| tried.iter().any(|a| a.slot == slot && !a.stale);
        ranks.retain(|&slot| self.fleet.usable(slot, self.now) && !tried_at(slot));
        // Few attempts are left after a try: first those that do not fail by fits and starts, by their ranks.
        ranks.sort_by_key(|&slot| !tried.is_empty() && self.fleet.servers[slot as usize].faults > FAULTY);
        if let Some(&slot) = ranks.iter().find(|&&slot| self.within_bounds(slot) && self.cold_permit(slot)) {
            return Some(slot);
        }
        // All are out of bounds: the one with the fewest in flight, ties going to the better rank.
        ranks.retain(|&slot| self.cold_permit(slot));
        let fewest = ranks.iter().copied().min_by(|&a, &b| self.count(a).total_cmp(&self.count(b)));
        let warm = |slot: u32| self.fleet.servers[slot as usize].warmth >= 1.0;
        let wide = || self.rank(key, |at| warm(at) && self.fleet.usable(at, self.now) && !tried_at(at));
        fewest.or_else(|| Some(wide()).filter(|row| row.len > 0).map(|row| row.slots[0]))
    }
}
