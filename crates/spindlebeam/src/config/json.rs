//! Parses JSON and rejects duplicate names in an object: the last one would silently win.

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

/// Parses the whole text.
///
/// # Errors
/// If it is not valid JSON, or a name occurs twice in an object; the error says where.
pub(super) fn read(json: &[u8]) -> serde_json::Result<Value> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let value = ValueAt(String::new()).deserialize(&mut reader)?;
    reader.end().map(|()| value)
}

/// Returns the path of a field inside an object, for error messages.
pub(super) fn child_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// Deserializes a JSON value; the string is its path for error messages.
struct ValueAt(String);

impl<'de> DeserializeSeed<'de> for ValueAt {
    type Value = Value;
    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueAt {
    type Value = Value;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }
    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }
    fn visit_bool<E>(self, flag: bool) -> Result<Value, E> {
        Ok(flag.into())
    }
    fn visit_u64<E>(self, number: u64) -> Result<Value, E> {
        Ok(number.into())
    }
    fn visit_i64<E>(self, number: i64) -> Result<Value, E> {
        Ok(number.into())
    }
    fn visit_f64<E>(self, number: f64) -> Result<Value, E> {
        Ok(Number::from_f64(number).map_or(Value::Null, Value::Number))
    }
    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(text.into())
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element_seed(ValueAt(format!("{}[{}]", self.0, list.len())))? {
            list.push(item);
        }
        Ok(list.into())
    }
    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(name) = fields.next_key::<String>()? {
            let path = child_path(&self.0, &name);
            let value = fields.next_value_seed(ValueAt(path.clone()))?;
            if object.insert(name, value).is_some() {
                return Err(Error::custom(format!("{path}: occurs twice")));
            }
        }
        Ok(object.into())
    }
}
