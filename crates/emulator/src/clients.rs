//! The model of the clients: open-loop arrivals of requests, which do not depend on the answers.

use crate::scenario::{Effect, Scenario, micros};
use crate::{Micros, SECOND};
use decide::api::Key;
use rand::Rng;
use rand::distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp1, Zipf};

/// The ratio of a municipio's quota to its usual rate.
const QUOTA_HEADROOM: f64 = 1.05;
/// The first hot key, beyond all other keys.
const FIRST_HOT_KEY: u64 = 1 << 40;

/// A logical request of a client. It covers the first attempt and the retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Intent {
    /// The time of the first attempt.
    pub at: Micros,
    /// The index of the request class.
    pub class: usize,
    /// The index of the municipio.
    pub municipio: usize,
    /// Whether the request exceeds the municipio's quota.
    pub over_quota: bool,
    /// The requested key.
    pub key: Key,
    /// The work of the request on one core of speed 1, in microseconds.
    pub work_us: f64,
    /// The client's timeout of each attempt.
    pub timeout: Micros,
}

/// The token bucket of a municipio's quota.
#[derive(Debug, Clone, Copy)]
struct Quota {
    per_s: f64,
    tokens: f64,
    at: Micros,
}

impl Quota {
    /// Takes a token for a request that arrives at `now`. Returns whether the request exceeds the quota.
    fn take_token(&mut self, now: Micros) -> bool {
        self.tokens += now.saturating_sub(self.at) as f64 / SECOND as f64 * self.per_s;
        // The bucket holds at most the tokens of one second.
        self.tokens = self.tokens.min(self.per_s.max(1.0));
        self.at = now;
        let exceeded = self.tokens < 1.0;
        self.tokens -= if exceeded { 0.0 } else { 1.0 };
        exceeded
    }
}

/// The clients of a simulation.
#[derive(Debug)]
pub struct Clients {
    classes: WeightedIndex<f64>,
    municipios: WeightedIndex<f64>,
    keys: Zipf<f64>,
    quotas: Vec<Quota>,
    /// The usual arrival rate, per second.
    rate: f64,
    /// The current arrival rate as a multiple of the usual one.
    pub surge: f64,
    /// The number of hot keys and the fraction of reads for these keys; `None` when the fault is not active.
    pub hot_keys: Option<(u64, f64)>,
}

impl Clients {
    /// Creates the clients of a scenario.
    ///
    /// # Panics
    /// Panics if a class part, a quota or the Zipf exponent is not positive; in a validated scenario, all are.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let (clients, municipios) = (&scenario.clients, &scenario.municipios);
        let total: f64 = municipios.iter().map(|municipio| municipio.quota_share).sum();
        let quota = |share: f64| {
            let per_s = share / total * clients.requests_per_second * QUOTA_HEADROOM;
            Quota { per_s, tokens: per_s.max(1.0), at: 0 }
        };
        Self {
            classes: WeightedIndex::new(scenario.classes.iter().map(|class| class.share))
                .expect("the class parts are positive in a validated scenario"),
            municipios: WeightedIndex::new(
                municipios.iter().map(|municipio| municipio.quota_share * municipio.demand_multiple),
            )
            .expect("the quotas are positive in a validated scenario"),
            keys: Zipf::new(clients.keys as f64, clients.zipf_exponent)
                .expect("the Zipf exponent is positive in a validated scenario"),
            quotas: municipios.iter().map(|m| quota(m.quota_share)).collect(),
            // A municipio that exceeds its share adds load; it does not displace the load of others.
            rate: clients.requests_per_second
                * municipios
                    .iter()
                    .map(|municipio| municipio.quota_share * municipio.demand_multiple)
                    .sum::<f64>()
                / total,
            surge: 1.0,
            hot_keys: None,
        }
    }

    /// Draws the time until the next arrival.
    pub fn draw_interarrival_time(&self, rng: &mut impl Rng) -> Micros {
        let unit: f64 = Exp1.sample(rng);
        ((unit / (self.rate * self.surge) * SECOND as f64).ceil() as Micros).max(1)
    }

    /// Draws the intent that arrives at `now`.
    pub fn draw_intent(&mut self, now: Micros, scenario: &Scenario, rng: &mut impl Rng) -> Intent {
        let (class, municipio) = (self.classes.sample(rng), self.municipios.sample(rng));
        let spec = &scenario.classes[class];
        let key = match self.hot_keys {
            Some((keys, fraction)) if spec.effect == Effect::Idempotent && rng.random_bool(fraction) => {
                FIRST_HOT_KEY + rng.random_range(0..keys)
            }
            // The multiplication spreads consecutive numbers over all 64 bits.
            _ => (self.keys.sample(rng) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        let timeout_fraction = rng.random_range(scenario.clients.min_timeout_fraction..=1.0);
        Intent {
            at: now,
            class,
            municipio,
            over_quota: self.quotas[municipio].take_token(now),
            key: Key(key),
            work_us: micros(spec.mean_work) as f64 * rng.random_range(0.7..1.3),
            timeout: (micros(spec.deadline) as f64 * timeout_fraction) as Micros,
        }
    }
}
