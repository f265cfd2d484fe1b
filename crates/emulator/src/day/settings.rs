//! What a scenario's gateways are told.

use super::{
    ATTEMPTS, Class, DedupScope, Effect, HOLD_OFF, KEYED_SPAN, Mode, Scenario, Settings, Tenant, micros,
};

/// The settings that a scenario's gateways are told.
#[must_use]
pub fn settings(scenario: &Scenario) -> Settings {
    let class = |class: &crate::scenario::Class| Class {
        latency_objective_us: micros(class.wanted),
        deadline_us: micros(class.deadline),
        priority_weight: class.worth,
        late_weight: 0.0,
        effect: repeat(class.effect),
    };
    let total: f64 = scenario.municipios.iter().map(|m| m.share).sum();
    let tenant = |share: f64| Tenant { quota_per_s: share / total * scenario.callers.per_second * 1.05 };
    Settings {
        balancers: scenario.gateways.count as u32,
        classes: scenario.classes.iter().map(class).collect(),
        tenants: scenario.municipios.iter().map(|m| tenant(m.share)).collect(),
        over_quota_weight: 0.2,
        mode: Mode::CacheAside,
        origin_kind: Some(1),
        max_attempts: ATTEMPTS,
        cancel: true,
        max_retry_after_us: HOLD_OFF,
        weights_are_lasting: true,
        slow_start_fraction: scenario.fleet.slow_start_fraction,
        slow_start_us: micros(scenario.fleet.cold_for),
        overload_multiple: scenario.fleet.falls_at,
        ..Settings::default()
    }
}

/// A class's effect as gateways are told it.
pub(super) fn repeat(effect: Effect) -> decide::api::Effect {
    match effect {
        Effect::SafeToRepeat => decide::api::Effect::Idempotent,
        Effect::Keyed => {
            decide::api::Effect::IdempotentWithKey { scope: DedupScope::All, span_us: KEYED_SPAN }
        }
        Effect::NeverTwice => decide::api::Effect::NonIdempotent,
    }
}
