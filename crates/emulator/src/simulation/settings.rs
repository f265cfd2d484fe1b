//! The settings of the simulated gateways.

use crate::scenario::{Effect, Scenario, micros};
use crate::{Micros, SECOND};
use decide::api::{Class, DedupScope, Mode, Settings, Tenant};

/// The time for which the origin deduplicates writes with an idempotency key.
pub(super) const DEDUP_WINDOW: Micros = 4_000_000;
/// The maximum number of attempts of a request.
const MAX_ATTEMPTS: u32 = 5;
/// The longest Retry-After that is sent to clients.
const MAX_RETRY_AFTER: Micros = SECOND;

/// Returns the settings of the gateways of a scenario.
#[must_use]
pub fn settings(scenario: &Scenario) -> Settings {
    let class = |class: &crate::scenario::Class| Class {
        latency_objective_us: micros(class.latency_objective),
        deadline_us: micros(class.deadline),
        priority_weight: class.priority_weight,
        late_weight: 0.0,
        effect: decision_effect(class.effect),
    };
    let total: f64 = scenario.municipios.iter().map(|m| m.quota_share).sum();
    let tenant =
        |share: f64| Tenant { quota_per_s: share / total * scenario.clients.requests_per_second * 1.05 };
    Settings {
        balancers: scenario.gateways.count as u32,
        classes: scenario.classes.iter().map(class).collect(),
        tenants: scenario.municipios.iter().map(|m| tenant(m.quota_share)).collect(),
        over_quota_weight: 0.2,
        mode: Mode::CacheAside,
        origin_kind: Some(1),
        max_attempts: MAX_ATTEMPTS,
        may_cancel: true,
        max_retry_after_us: MAX_RETRY_AFTER,
        has_stable_weights: true,
        slow_start_fraction: scenario.fleet.slow_start_fraction,
        slow_start_us: micros(scenario.fleet.slow_start_duration),
        overload_multiple: scenario.fleet.overload_multiple,
        ..Settings::default()
    }
}

/// Converts the effect of a request class of a scenario to that of the decision module.
pub(super) fn decision_effect(effect: Effect) -> decide::api::Effect {
    match effect {
        Effect::Idempotent => decide::api::Effect::Idempotent,
        Effect::IdempotentWithKey => {
            decide::api::Effect::IdempotentWithKey { scope: DedupScope::All, span_us: DEDUP_WINDOW }
        }
        Effect::NonIdempotent => decide::api::Effect::NonIdempotent,
    }
}
