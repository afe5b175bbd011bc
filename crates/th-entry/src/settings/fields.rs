//! Reads the fields of a JSON object one by one, so that every fault is found and not just the first.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use thiserror::Error;

/// One thing that is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{path}: {cause}")]
pub struct SettingsFault {
    /// The field, from the top: `listen.callers`.
    pub path: String,
    /// What is wrong with it.
    pub cause: String,
}

/// The fields of one object that have not been read yet.
pub(crate) struct Fields<'a> {
    path: String,
    unread: Map<String, Value>,
    faults: &'a mut Vec<SettingsFault>,
}

impl<'a> Fields<'a> {
    /// The fields of `value`, which should be an object.
    pub(crate) fn new(path: &str, value: Value, faults: &'a mut Vec<SettingsFault>) -> Fields<'a> {
        let unread = match value {
            Value::Object(unread) => unread,
            other => {
                // What stands there may hold secrets, so the message does not show it.
                let cause = format!("expected an object, found {}", kind(&other));
                let path = if path.is_empty() { "settings" } else { path };
                faults.push(SettingsFault { path: path.to_owned(), cause });
                Map::new()
            }
        };
        Fields { path: path.to_owned(), unread, faults }
    }

    fn path_of(&self, name: &str) -> String {
        let name = if name.is_empty() { "\"\"" } else { name };
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Notes a fault of the field `name`.
    pub(crate) fn add_fault(&mut self, name: &str, cause: impl Into<String>) {
        let path = self.path_of(name);
        self.faults.push(SettingsFault { path, cause: cause.into() });
    }

    /// The field `name`, or `default` where it is absent or faulty.
    pub(crate) fn read<T: DeserializeOwned>(&mut self, name: &str, default: T) -> T {
        let Some(value) = self.unread.remove(name) else {
            return default;
        };
        match serde_json::from_value(value) {
            Ok(it) => it,
            Err(error) => {
                self.add_fault(name, error.to_string());
                default
            }
        }
    }

    /// Whether the field `name` is there and was not read yet.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.unread.contains_key(name)
    }

    /// The field `name`; its absence is a fault.
    pub(crate) fn require<T: DeserializeOwned>(&mut self, name: &str, placeholder: T) -> T {
        if !self.has(name) {
            self.add_fault(name, "this field is required");
        }
        self.read(name, placeholder)
    }

    /// As [`Fields::require`], for a secret: the message does not show it.
    pub(crate) fn require_secret<T: DeserializeOwned>(&mut self, name: &str, placeholder: T) -> T {
        if !self.unread.contains_key(name) {
            return self.require(name, placeholder);
        }
        let value = self.unread.remove(name).unwrap_or_default();
        let found = kind(&value);
        serde_json::from_value(value).unwrap_or_else(|_| {
            self.add_fault(name, format!("the value, {found}, has a wrong form"));
            placeholder
        })
    }

    /// The fields of the object `name`; none where it is absent.
    pub(crate) fn inner(&mut self, name: &str) -> Fields<'_> {
        let value = self.unread.remove(name).unwrap_or_else(|| Value::Object(Map::new()));
        Fields::new(&self.path_of(name), value, self.faults)
    }

    /// Notes every field that nobody asked for.
    pub(crate) fn finish(mut self) {
        for name in std::mem::take(&mut self.unread).keys() {
            self.add_fault(name, "there is no such field");
        }
    }
}

/// What sort of JSON value it is.
fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
