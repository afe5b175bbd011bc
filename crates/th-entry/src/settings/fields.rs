//! Reads the fields of a JSON object one by one, so that all faults are reported and not just the first.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use thiserror::Error;

/// A fault in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{path}: {cause}")]
pub struct SettingsFault {
    /// The full path of the field, for example `listen.callers`.
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
    /// Creates a reader for the fields of `value`; it is a fault if that is not an object.
    pub(crate) fn new(path: &str, value: Value, faults: &'a mut Vec<SettingsFault>) -> Fields<'a> {
        let unread = match value {
            Value::Object(unread) => unread,
            other => {
                // The value may hold secrets, so the message does not show it.
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

    /// Adds a fault of the field `name`.
    pub(crate) fn add_fault(&mut self, name: &str, cause: impl Into<String>) {
        let path = self.path_of(name);
        self.faults.push(SettingsFault { path, cause: cause.into() });
    }

    /// Reads the field `name`. Returns `default` if it is absent or faulty.
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

    /// Returns whether the field `name` is present and has not been read yet.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.unread.contains_key(name)
    }

    /// Reads the field `name`, whose absence is a fault. Returns `placeholder` if it is absent or faulty.
    pub(crate) fn require<T: DeserializeOwned>(&mut self, name: &str, placeholder: T) -> T {
        if !self.has(name) {
            self.add_fault(name, "this field is required");
        }
        self.read(name, placeholder)
    }

    /// Reads a required field like [`Fields::require`], but never shows its value in a fault, since it is a secret.
    pub(crate) fn require_secret<T: DeserializeOwned>(&mut self, name: &str, placeholder: T) -> T {
        if !self.unread.contains_key(name) {
            return self.require(name, placeholder);
        }
        let value = self.unread.remove(name).unwrap_or_default();
        let found = kind(&value);
        serde_json::from_value(value).unwrap_or_else(|_| {
            self.add_fault(name, format!("the value, {found}, has the wrong form"));
            placeholder
        })
    }

    /// Returns a reader for the fields of the object `name`, which has none if it is absent.
    pub(crate) fn inner(&mut self, name: &str) -> Fields<'_> {
        let value = self.unread.remove(name).unwrap_or_else(|| Value::Object(Map::new()));
        Fields::new(&self.path_of(name), value, self.faults)
    }

    /// Adds a fault for each field that was not read, since it is unknown.
    pub(crate) fn finish(mut self) {
        for name in std::mem::take(&mut self.unread).keys() {
            self.add_fault(name, "unknown field");
        }
    }
}

/// Returns the type of a JSON value, as messages name it.
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
