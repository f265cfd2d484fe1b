//! The text form of [`Settings`] that an instance receives when it starts: one `path=value` per line.

use crate::api::{Class, DedupScope, Discovery, Effect, Micros, Mode, Reporting, Settings, Tenant, ZoneId};
use rustc_hash::FxHashMap;
use std::str::FromStr;
use thiserror::Error;

/// Maximum number of classes, and of tenants, in a settings text.
const MAX_ITEMS: usize = 1 << 16;

/// Deadline of a class whose text has none.
const DEFAULT_DEADLINE_US: Micros = 1_000_000;

/// Lower limit of [`Settings::overload_window_us`].
const MIN_OVERLOAD_WINDOW_US: Micros = 100_000;

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("setting {path}: {value:?} is not {expected}")]
pub struct SettingsError {
    /// Path of the setting.
    pub path: String,
    /// Its value in the text; empty if it is missing.
    pub value: String,
    /// Description of valid values.
    pub expected: &'static str,
}

/// The values of a settings text by path.
struct Lines<'a>(FxHashMap<&'a str, &'a str>);

impl<'a> Lines<'a> {
    fn parse(text: &'a str) -> Self {
        Self(text.lines().filter_map(|line| line.split_once('=')).collect())
    }

    fn error(&self, path: &str, expected: &'static str) -> SettingsError {
        let value = self.0.get(path).copied().unwrap_or("");
        SettingsError { path: path.to_owned(), value: value.to_owned(), expected }
    }

    /// Parses a value, or returns `default` if it is missing. `expected` describes valid values for the error.
    fn read<T: FromStr>(&self, path: &str, default: T, expected: &'static str) -> Result<T, SettingsError> {
        match self.0.get(path) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| self.error(path, expected)),
        }
    }

    fn read_integer<T: FromStr>(&self, path: &str, default: T) -> Result<T, SettingsError> {
        self.read(path, default, "a whole number")
    }

    fn read_bool(&self, path: &str, default: bool) -> Result<bool, SettingsError> {
        self.read(path, default, "true or false")
    }

    /// Reads a finite number of at least 0; a negative weight or price would reverse decisions.
    fn read_number(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        let expected = "a number of at least 0";
        let value = self.read(path, default, expected)?;
        if value.is_finite() && value >= 0.0 { Ok(value) } else { Err(self.error(path, expected)) }
    }

    fn read_count(&self, path: &str) -> Result<usize, SettingsError> {
        let expected = "a count of at most 65536";
        let count = self.read(path, 0_usize, expected)?;
        if count <= MAX_ITEMS { Ok(count) } else { Err(self.error(path, expected)) }
    }

    /// Reads one of several words.
    fn read_word<T: Copy>(
        &self, path: &str, words: &[(&str, T)], default: T, expected: &'static str,
    ) -> Result<T, SettingsError> {
        let Some(text) = self.0.get(path) else { return Ok(default) };
        let found = words.iter().find(|(word, _)| word == text);
        found.map(|(_, value)| *value).ok_or_else(|| self.error(path, expected))
    }

    /// Counts the items of a comma-separated list.
    fn count_items(&self, path: &str) -> usize {
        self.0.get(path).map_or(0, |list| list.split(',').filter(|item| !item.is_empty()).count())
    }

    fn read_class(&self, index: usize) -> Result<Class, SettingsError> {
        let path = |name: &str| format!("profiles.{index}.{name}");
        let deadline_us = self.read_integer(&path("deadlineUs"), DEFAULT_DEADLINE_US)?;
        let with_key = self.read_idempotency_key(path)?;
        Ok(Class {
            latency_objective_us: self.read_integer(&path("onTimeUs"), deadline_us)?,
            deadline_us,
            priority_weight: self.read_number(&path("worth"), 1.0)?,
            late_weight: self.read_number(&path("lateWorth"), 0.0)?,
            effect: self.read_effect(&path("effect"), with_key)?,
        })
    }

    /// Reads the scope and span of idempotency keys; they are checked even if the class does not use them.
    fn read_idempotency_key(&self, path: impl Fn(&str) -> String) -> Result<Effect, SettingsError> {
        let scopes = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];
        // The default for a missing scope is the narrowest one, which is always safe.
        let scope = self.read_word(&path("keyScope"), &scopes, DedupScope::Cell, "all, zone or cell")?;
        let span_us = self.read_integer(&path("memorySpanUs"), 0)?;
        Ok(Effect::IdempotentWithKey { scope, span_us })
    }

    fn read_effect(&self, path: &str, with_key: Effect) -> Result<Effect, SettingsError> {
        let effects =
            [("retryable", Effect::Idempotent), ("dedup", with_key), ("fragile", Effect::NonIdempotent)];
        // Requests of a class without a stated effect never run twice.
        self.read_word(path, &effects, Effect::NonIdempotent, "retryable, dedup or fragile")
    }

    fn read_tenant(&self, index: usize) -> Result<Tenant, SettingsError> {
        let path = format!("tenants.{index}.quotaPerS");
        // A tenant without a quota has no limit.
        let is_limited = self.0.contains_key(&*path);
        let quota_per_s = if is_limited { self.read_number(&path, 0.0)? } else { f64::INFINITY };
        Ok(Tenant { quota_per_s })
    }

    fn read_mode(&self, default: Mode) -> Result<Mode, SettingsError> {
        let modes = [("aside", Mode::CacheAside), ("through", Mode::ReadThrough)];
        self.read_word("specifics.mode", &modes, default, "aside or through")
    }

    fn read_origin_kind(&self) -> Result<Option<u16>, SettingsError> {
        let kind: i64 = self.read_integer("specifics.originKind", -1)?;
        Ok(u16::try_from(kind).ok())
    }

    fn read_max_retry_after(&self) -> Result<Micros, SettingsError> {
        let is_permitted = self.read_bool("permissions.retryAfter", false)?;
        if is_permitted { self.read_integer("permissions.maxRetryAfterUs", 0) } else { Ok(0) }
    }

    fn read_discovery(&self, default: Discovery) -> Result<Discovery, SettingsError> {
        let words = [("push", Discovery::Push), ("ask", Discovery::Poll)];
        self.read_word("discovery", &words, default, "push or ask")
    }

    fn read_reporting(&self, default: Reporting) -> Result<Reporting, SettingsError> {
        let words =
            [("off", Reporting::Off), ("inline", Reporting::Inline), ("on_probe", Reporting::OnProbe)];
        self.read_word("reporting.how", &words, default, "inline, on_probe or off")
    }
}

impl FromStr for Settings {
    type Err = SettingsError;

    /// Parses the text form. Unknown paths are ignored; missing ones take their values from [`Settings::default`].
    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let lines = Lines::parse(text);
        let default = Settings::default();
        let mode = lines.read_mode(default.mode)?;
        let origin_kind = lines.read_origin_kind()?;
        let max_retry_after_us = lines.read_max_retry_after()?;
        let classes = lines.read_count("profiles.count");
        let tenants = lines.read_count("tenants.count");
        Ok(Settings {
            balancers: lines.read_integer("siblings", default.balancers)?.max(1),
            instance: lines.read_integer("me", default.instance)?,
            zone: ZoneId(lines.read("locality", default.zone.0, "a zone number")?),
            zones: u32::try_from(lines.count_items("dcs")).unwrap_or(u32::MAX).max(1),
            classes: (0..classes?).map(|index| lines.read_class(index)).collect::<Result<_, _>>()?,
            tenants: (0..tenants?).map(|index| lines.read_tenant(index)).collect::<Result<_, _>>()?,
            over_quota_weight: lines.read_number("overShareWorth", default.over_quota_weight)?,
            mode,
            origin_kind,
            discovery: lines.read_discovery(default.discovery)?,
            reporting: lines.read_reporting(default.reporting)?,
            has_stable_weights: matches!(lines.0.get("weights"), Some(&("nominal" | "rough"))),
            max_attempts: lines.read_integer("permissions.maxAttempts", default.max_attempts)?,
            hedged_requests: lines.read_bool("permissions.secondCopies", default.hedged_requests)?,
            may_cancel: lines.read_bool("permissions.cancel", default.may_cancel)?,
            may_message_peers: lines.read_bool("permissions.peers", default.may_message_peers)?,
            max_retry_after_us,
            cross_zone_price: lines.read_number("prices.crossZone", default.cross_zone_price)?,
            slow_start_fraction: lines.read_number("rules.coldFrom", default.slow_start_fraction)?.min(1.0),
            slow_start_us: lines.read_integer("rules.coldUs", default.slow_start_us)?,
            // An endpoint can handle its own capacity, and a window too short for any request would block all requests.
            overload_multiple: lines.read_number("rules.fallMultiple", default.overload_multiple)?.max(1.0),
            overload_window_us: lines
                .read_integer("rules.tipAfterUs", default.overload_window_us)?
                .max(MIN_OVERLOAD_WINDOW_US),
            max_poll_interval_us: lines.read_integer("rules.mustAskInUs", default.max_poll_interval_us)?,
            tick_us: lines.read_integer("resolutionUs", default.tick_us)?,
        })
    }
}
