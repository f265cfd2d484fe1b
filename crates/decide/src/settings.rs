//! The text form of [`Settings`]: `path=value`, one a line, as an instance receives it when it starts.

use crate::api::{Class, DedupScope, Discovery, Effect, Mode, Reporting, Settings, Tenant, ZoneId};
use rustc_hash::FxHashMap;
use std::str::FromStr;
use thiserror::Error;

/// The most classes or tenants a settings text may announce.
const MAX_ITEMS: usize = 1 << 16;

/// A setting that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("setting {path}: {value:?} is not {wanted}")]
pub struct SettingsError {
    /// Path of the setting.
    pub path: String,
    /// What was found.
    pub value: String,
    /// What would have been right.
    pub wanted: &'static str,
}

struct Facts<'a>(FxHashMap<&'a str, &'a str>);

impl<'a> Facts<'a> {
    fn bad(&self, path: &str, wanted: &'static str) -> SettingsError {
        let value = self.0.get(path).copied().unwrap_or_default();
        SettingsError { path: path.to_owned(), value: value.to_owned(), wanted }
    }

    fn get<T: FromStr>(&self, path: &str, default: T, wanted: &'static str) -> Result<T, SettingsError> {
        match self.0.get(path) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| self.bad(path, wanted)),
        }
    }

    fn whole(&self, path: &str, default: u64) -> Result<u64, SettingsError> {
        self.get(path, default, "a whole number")
    }

    fn flag(&self, path: &str, default: bool) -> Result<bool, SettingsError> {
        self.get(path, default, "true or false")
    }

    /// A finite number of at least 0: a negative share or price would turn decisions around.
    fn number(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        let wanted = "a number of at least 0";
        let value = self.get(path, default, wanted)?;
        if value.is_finite() && value >= 0.0 { Ok(value) } else { Err(self.bad(path, wanted)) }
    }

    fn count(&self, path: &str) -> Result<usize, SettingsError> {
        let wanted = "a count of at most 65536";
        let n = self.get(path, 0_usize, wanted)?;
        if n <= MAX_ITEMS { Ok(n) } else { Err(self.bad(path, wanted)) }
    }

    fn word<T: Copy>(
        &self, path: &str, words: &[(&str, T)], default: T, wanted: &'static str,
    ) -> Result<T, SettingsError> {
        let Some(text) = self.0.get(path) else { return Ok(default) };
        words.iter().find(|(word, _)| word == text).map(|(_, v)| *v).ok_or_else(|| self.bad(path, wanted))
    }

    fn listed(&self, path: &str) -> usize {
        self.0.get(path).map_or(0, |list| list.split(',').filter(|item| !item.is_empty()).count())
    }

    fn class(&self, i: usize) -> Result<Class, SettingsError> {
        let at = |name: &str| format!("profiles.{i}.{name}");
        let deadline_us = self.whole(&at("deadlineUs"), 1_000_000)?;
        let scope = self.word(
            &at("keyScope"),
            &[("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)],
            // The narrowest group is the safe reading of a missing one.
            DedupScope::Cell,
            "all, zone or cell",
        )?;
        let dedup = Effect::IdempotentWithKey { scope, span_us: self.whole(&at("memorySpanUs"), 0)? };
        Ok(Class {
            latency_objective_us: self.whole(&at("onTimeUs"), deadline_us)?,
            deadline_us,
            priority_weight: self.number(&at("worth"), 1.0)?,
            late_weight: self.number(&at("lateWorth"), 0.0)?,
            effect: self.word(
                &at("effect"),
                &[("retryable", Effect::Idempotent), ("dedup", dedup), ("fragile", Effect::NonIdempotent)],
                // A class of unknown effect is never run twice.
                Effect::NonIdempotent,
                "retryable, dedup or fragile",
            )?,
        })
    }
}

impl FromStr for Settings {
    type Err = SettingsError;

    /// Reads the text form. Unknown paths are ignored, missing ones take the defaults of [`Settings::default`].
    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let facts = Facts(text.lines().filter_map(|line| line.split_once('=')).collect());
        let plain = Settings::default();
        let mode = facts.word(
            "specifics.mode",
            &[("aside", Mode::CacheAside), ("through", Mode::ReadThrough)],
            plain.mode,
            "aside or through",
        )?;
        let origin: i64 = facts.get("specifics.originKind", -1, "a whole number")?;
        let hold_off = if facts.flag("permissions.retryAfter", false)? {
            facts.whole("permissions.maxRetryAfterUs", 0)?
        } else {
            0
        };
        let weights = facts.0.get("weights").copied().unwrap_or("off");
        Ok(Settings {
            balancers: facts.get("siblings", plain.balancers, "a whole number")?.max(1),
            instance: facts.get("me", plain.instance, "a whole number")?,
            zone: ZoneId(facts.get("locality", plain.zone.0, "a zone number")?),
            zones: u32::try_from(facts.listed("dcs")).unwrap_or(u32::MAX).max(1),
            classes: (0..facts.count("profiles.count")?).map(|i| facts.class(i)).collect::<Result<_, _>>()?,
            tenants: (0..facts.count("tenants.count")?)
                .map(|i| {
                    let path = format!("tenants.{i}.quotaPerS");
                    // A tenant without a quota has no limit.
                    let quota_per_s =
                        if facts.0.contains_key(&*path) { facts.number(&path, 0.0)? } else { f64::INFINITY };
                    Ok(Tenant { quota_per_s })
                })
                .collect::<Result<_, SettingsError>>()?,
            over_quota_weight: facts.number("overShareWorth", plain.over_quota_weight)?,
            mode,
            origin_kind: u16::try_from(origin).ok(),
            discovery: facts.word(
                "discovery",
                &[("push", Discovery::Push), ("ask", Discovery::Poll)],
                plain.discovery,
                "push or ask",
            )?,
            reporting: facts.word(
                "reporting.how",
                &[("off", Reporting::Off), ("inline", Reporting::Inline), ("on_probe", Reporting::OnProbe)],
                plain.reporting,
                "inline, on_probe or off",
            )?,
            weights_are_lasting: matches!(weights, "nominal" | "rough"),
            max_attempts: facts.get("permissions.maxAttempts", plain.max_attempts, "a whole number")?,
            hedged_requests: facts.flag("permissions.secondCopies", plain.hedged_requests)?,
            cancel: facts.flag("permissions.cancel", plain.cancel)?,
            peers: facts.flag("permissions.peers", plain.peers)?,
            max_retry_after_us: hold_off,
            cross_zone_price: facts.number("prices.crossZone", plain.cross_zone_price)?,
            slow_start_fraction: facts.number("rules.coldFrom", plain.slow_start_fraction)?.min(1.0),
            slow_start_us: facts.whole("rules.coldUs", plain.slow_start_us)?,
            // A server bears what it can do; a span too short for any call would keep all from it.
            overload_multiple: facts.number("rules.fallMultiple", plain.overload_multiple)?.max(1.0),
            overload_window_us: facts.whole("rules.tipAfterUs", plain.overload_window_us)?.max(100_000),
            max_poll_interval_us: facts.whole("rules.mustAskInUs", plain.max_poll_interval_us)?,
            tick_us: facts.whole("resolutionUs", plain.tick_us)?,
        })
    }
}
