//! Typed access to the fields of the configuration file, read one by one so that an error names the invalid field.

use anyhow::{Context, Result, anyhow};
use proto::discovery::EndpointList;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;

/// The whole file as a JSON value.
pub(super) struct ConfigFile(pub(super) Value);

impl ConfigFile {
    /// The settings of the decision module.
    pub(super) fn settings(&self) -> &Value {
        &self.0["settings"]
    }

    /// Returns the field at a path of names joined by dots, or `None` if it is missing or null.
    pub(super) fn optional<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>> {
        let value = path.split('.').fold(&self.0, |value, name| &value[name]);
        Option::<T>::deserialize(value).map_err(|error| anyhow!("{path}: {error}"))
    }

    /// Returns the field at a path; a missing or null field is an error.
    pub(super) fn required<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.optional(path)?.with_context(|| format!("{path}: missing"))
    }

    /// Returns the address and port at a path, or `None` if the field is missing or null.
    pub(super) fn address(&self, path: &str) -> Result<Option<SocketAddr>> {
        self.optional::<String>(path)?.map(|text| parse_address(path, &text)).transpose()
    }

    /// Returns the endpoint list known from before. An invalid list is logged and ignored, since discovery sends a
    /// whole list anyway.
    pub(super) fn known_endpoints(&self) -> Option<EndpointList> {
        self.optional("known").unwrap_or_else(|error| {
            log::warn!("configuration: {error}; started without the list known before");
            None
        })
    }
}

/// Parses an address with its port; `field` is named in the error.
pub(super) fn parse_address(field: &str, text: &str) -> Result<SocketAddr> {
    text.parse().with_context(|| format!("{field}: {text:?} is no address and port"))
}

/// Formats a scalar as text. A whole number is written without a fraction, so that it parses as an integer and as a
/// float.
pub(super) fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            number.as_f64().map_or_else(String::new, |number| number.to_string())
        }
        other => other.to_string(),
    }
}

/// Returns the value as a whole number, or `None`. A number with a fraction of 0 counts as whole.
pub(super) fn whole_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| plain_text(value).parse().ok().filter(|_| value.is_f64()))
}
