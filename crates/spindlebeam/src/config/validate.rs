//! Validates the settings: names are unique, numbers are consistent, and fields without a safe default are present.
//!
//! Harmless settings are accepted: unknown fields, a deduplication window of 0 (such a request is never repeated), any
//! sum of quotas, windows and scopes of classes without an idempotency key, no tenants, and a `Retry-After` of 0.

use super::fields::whole_number;
use super::json::child_path;
use anyhow::{Result, bail, ensure};
use serde_json::Value;
use std::collections::HashSet;

/// Maximum number of classes and of zones: their numbers have eight bits.
const MAX_NUMBERED: usize = 256;
/// Maximum of a time in microseconds: sums of times must not overflow.
const MAX_TIME_US: u64 = 365 * 24 * 3_600 * 1_000_000;
/// Minimum of numbers that may not be 0: balancers, attempts, open requests, and dial timeouts and times of classes in
/// microseconds.
const MIN_POSITIVE: u64 = 1;

/// Checks the settings.
///
/// # Errors
/// At the first inconsistent or missing setting; the error names the field.
pub(super) fn settings(settings: &Value) -> Result<()> {
    let root = Setting { path: "settings".to_owned(), value: settings };
    ensure!(settings.is_object(), "settings: {settings} is no object");
    let classes = root.field("profiles").items()?;
    ensure!(!classes.is_empty(), "settings.profiles: the settings name no classes");
    ensure!(classes.len() <= MAX_NUMBERED, "settings.profiles: more than {MAX_NUMBERED} classes");
    classes.iter().try_for_each(check_class)?;
    unique_names(classes.iter().map(|class| class.field("name")))?;
    unique_names(root.field("tenants").items()?.iter().map(|tenant| tenant.field("name")))?;
    let (zones, kinds) = (root.field("dcs").items()?, root.field("hostTypes").items()?);
    ensure!(zones.len() <= MAX_NUMBERED, "settings.dcs: more than {MAX_NUMBERED} zones");
    unique_names(zones.iter().cloned())?;
    unique_names(kinds.iter().cloned())?;

    // No default is safe: too many calls are costly, and too few break the rule on a silent watch.
    root.field("discovery").required()?;
    let siblings = root.field("siblings").whole_number(MIN_POSITIVE)?.unwrap_or(MIN_POSITIVE);
    root.field("me").index_into("balancers", siblings)?;
    root.field("locality").index_into("zones in settings.dcs", zones.len().max(1) as u64)?;
    let specifics = root.field("specifics");
    let origin = specifics.field("originKind");
    let has_origin = origin.value.as_i64().is_some_and(|kind| kind >= 0);
    if has_origin {
        origin.index_into("kinds in settings.hostTypes", kinds.len() as u64)?;
    }
    let aside = specifics.field("mode").value == "aside";
    ensure!(has_origin || !aside, "{}: mode aside needs the kind of the origin", origin.path);

    let permissions = root.field("permissions");
    for name in ["maxAttempts", "maxOpen", "dialTimeoutUs"] {
        permissions.field(name).whole_number(MIN_POSITIVE)?;
    }
    permissions.field("connIdleUs").whole_number(0)?;
    if permissions.field("retryAfter").value == true {
        permissions.field("maxRetryAfterUs").required()?;
    }
    root.field("rules").field("coldFrom").at_most(1.0)
}

/// Checks that each balancer has an address in `peers`. With several tiers this is not checked, since the file does not
/// say which tier's addresses it holds.
///
/// # Errors
/// If there are more or fewer addresses than balancers.
pub(super) fn peers(peers: usize, settings: &Value) -> Result<()> {
    let has_several_tiers = settings["tiers"].as_array().is_some_and(|tiers| tiers.len() > 1);
    let siblings = settings["siblings"].as_u64();
    let agree = peers == 0 || has_several_tiers || siblings.is_none_or(|siblings| siblings == peers as u64);
    ensure!(agree, "peers: {peers} addresses, and settings.siblings is {}", settings["siblings"]);
    Ok(())
}

fn check_class(class: &Setting) -> Result<()> {
    let (objective, deadline, effect) =
        (class.field("onTimeUs"), class.field("deadlineUs"), class.field("effect"));
    // The default is the safe effect, and would silently disable the retries of a class that may be repeated.
    effect.required()?;
    deadline.required()?;
    let longest = deadline.whole_number(MIN_POSITIVE)?.unwrap_or_default();
    let objective_us = objective.whole_number(MIN_POSITIVE)?.unwrap_or(longest);
    ensure!(objective_us <= longest, "{}: {objective_us} is beyond deadlineUs, {longest}", objective.path);
    if effect.value == "dedup" {
        class.field("memorySpanUs").required()?;
    }
    class.field("memorySpanUs").whole_number(0).map(drop)
}

/// Checks that every name is a string and occurs only once.
fn unique_names<'a>(names: impl Iterator<Item = Setting<'a>>) -> Result<()> {
    let mut seen = HashSet::new();
    for name in names {
        name.required()?;
        let Some(word) = name.value.as_str() else { bail!("{}: {} is no name", name.path, name.value) };
        ensure!(seen.insert(word), "{}: {word:?} occurs twice", name.path);
    }
    Ok(())
}

/// A setting with its path for error messages.
#[derive(Clone)]
struct Setting<'a> {
    path: String,
    value: &'a Value,
}

impl<'a> Setting<'a> {
    fn field(&self, name: &str) -> Setting<'a> {
        Setting { path: child_path(&self.path, name), value: &self.value[name] }
    }

    /// Returns the items of a list; empty if the setting is missing.
    fn items(&self) -> Result<Vec<Setting<'a>>> {
        let items = match self.value {
            Value::Null => &[][..],
            Value::Array(items) => items,
            other => bail!("{}: {other} is no list", self.path),
        };
        let at = |(i, value)| Setting { path: format!("{}[{i}]", self.path), value };
        Ok(items.iter().enumerate().map(at).collect())
    }

    fn required(&self) -> Result<()> {
        ensure!(!self.value.is_null(), "{}: missing", self.path);
        Ok(())
    }

    /// Returns a whole number from `least` to [`MAX_TIME_US`], or `None` if the setting is missing.
    fn whole_number(&self, least: u64) -> Result<Option<u64>> {
        if self.value.is_null() {
            return Ok(None);
        }
        let number = whole_number(self.value).filter(|number| (least..=MAX_TIME_US).contains(number));
        ensure!(
            number.is_some(),
            "{}: {} is no whole number from {least} to {MAX_TIME_US}",
            self.path,
            self.value
        );
        Ok(number)
    }

    /// Checks that the setting is an index below `count`; `what` names the indexed items in the error.
    fn index_into(&self, what: &str, count: u64) -> Result<()> {
        let number = self.whole_number(0)?.unwrap_or_default();
        ensure!(number < count, "{}: {number} is none of the {count} {what}", self.path);
        Ok(())
    }

    fn at_most(&self, most: f64) -> Result<()> {
        let within = self.value.as_f64().is_none_or(|number| number <= most);
        ensure!(within, "{}: {} is more than {most}", self.path, self.value);
        Ok(())
    }
}
