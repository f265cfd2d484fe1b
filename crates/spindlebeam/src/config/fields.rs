//! Access to the fields of the configuration file, each read apart so that an error names the one at fault.

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

    /// The field at this path, names joined by dots; none where it is missing or null.
    pub(super) fn optional<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>> {
        let value = path.split('.').fold(&self.0, |value, name| &value[name]);
        Option::<T>::deserialize(value).map_err(|error| anyhow!("{path}: {error}"))
    }

    /// The field at this path.
    pub(super) fn required<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.optional(path)?.with_context(|| format!("{path}: missing"))
    }

    /// An address with its port.
    pub(super) fn address(&self, path: &str) -> Result<Option<SocketAddr>> {
        self.optional::<String>(path)?.map(|text| parse_address(path, &text)).transpose()
    }

    /// The endpoint list known from before. One that cannot be read is ignored: discovery sends all of it anyway.
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

/// A plain value as text. A whole number bears no fraction, so that it reads as either kind of number.
pub(super) fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            number.as_f64().map_or_else(String::new, |number| number.to_string())
        }
        other => other.to_string(),
    }
}

/// A whole number, also one that is written with a fraction of 0.
pub(super) fn whole_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| plain_text(value).parse().ok().filter(|_| value.is_f64()))
}
