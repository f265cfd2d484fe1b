//! Converts the settings to the text that the decision module parses: a line `path=value` for each scalar.

use super::fields::plain_text;
use anyhow::anyhow;
use decide::settings::SettingsError;
use serde_json::Value;

/// Flattens the settings to lines of `path=value`.
pub(super) fn flatten(settings: &Value) -> String {
    let mut text = String::new();
    append("", settings, &mut text);
    text
}

fn append(path: &str, value: &Value, out: &mut String) {
    match value {
        Value::Null => {} // counts as missing
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| append(&child(path, name), value, out));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            append(&child(path, "count"), &items.len().into(), out);
            for (index, item) in items.iter().enumerate() {
                append(&child(path, &index.to_string()), item, out);
            }
        }
        Value::Array(items) => {
            let item_text = |item: &Value| plain_text(item).replace([' ', ','], "_");
            append_line(path, &items.iter().map(item_text).collect::<Vec<_>>().join(","), out);
        }
        plain => append_line(path, &plain_text(plain), out),
    }
}

fn append_line(path: &str, text: &str, out: &mut String) {
    out.push_str(path);
    out.push('=');
    // Blanks and line ends are separators in this text, so a value may not contain them.
    out.extend(text.chars().map(|c| if c == ' ' || c == '\n' { '_' } else { c }));
    out.push('\n');
}

fn child(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// Returns the error with the path as it is written in the file: `profiles.2.name` is `settings.profiles[2].name`.
pub(super) fn describe_error(error: &SettingsError) -> anyhow::Error {
    let mut path = "settings".to_owned();
    for name in error.path.split('.') {
        let is_index = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_digit());
        path = if is_index { format!("{path}[{name}]") } else { format!("{path}.{name}") };
    }
    anyhow!("{path}: {:?} is not {}", error.value, error.expected)
}
