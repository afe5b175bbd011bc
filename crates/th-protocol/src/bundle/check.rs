//! Parses and validates a bundle, and lists all faults in it.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::bundle::{fault::Fault, part::split_bundle, rules, spec::Bundle, unique::UniqueKeys};

/// The result of parsing a bundle.
pub(crate) type Result<T, E = Vec<Fault>> = std::result::Result<T, E>;

const FIELDS_HELP: &str = "see docs/BUNDLE.md for the fields of a bundle and their values";

/// Parses a bundle from JSON and validates it, or returns all faults that were found.
///
/// Text that is not a JSON object, or repeats a field, gives a single fault. Otherwise, parse errors
/// are collected over all fields and all entries of maps (one service, one region, and so on), at
/// most one for the key and one for the value of an entry. Validation errors are listed only if
/// there are no parse errors.
pub fn parse_bundle(text: &str) -> Result<Bundle> {
    let object = read_object(text)?;
    let bundle = read_bundle(&object)?;
    let faults = check_bundle(&bundle);
    if faults.is_empty() { Ok(bundle) } else { Err(faults) }
}

/// Returns all validation errors of a parsed bundle, ordered by path, including oversized parts.
pub fn check_bundle(bundle: &Bundle) -> Vec<Fault> {
    let mut faults = check_rules(bundle);
    faults.extend(find_oversized_parts(bundle));
    faults.sort();
    faults
}

/// Like [`check_bundle`], but does not check the sizes of parts: for a bundle that was assembled
/// from parts within the limit. Cheaper, since the parts need not be serialized.
pub fn check_rules(bundle: &Bundle) -> Vec<Fault> {
    let mut faults = rules::find_faults(bundle);
    faults.sort();
    faults
}

fn read_object(text: &str) -> Result<Map<String, Value>> {
    let mut source = serde_json::Deserializer::from_str(text);
    if let Err(e) = serde_path_to_error::deserialize::<_, UniqueKeys>(&mut source) {
        let path = trim_path(&e.path().to_string());
        let help = "fix the JSON at that line and column; each name may be given once";
        return Err(vec![Fault::new(path, e.inner().to_string(), help)]);
    }
    serde_json::from_str(text)
        .map_err(|e| vec![Fault::new("", e.to_string(), "a bundle is one JSON object")])
}

fn read_bundle(object: &Map<String, Value>) -> Result<Bundle> {
    let mut reader = BundleReader { object, faults: Vec::new() };
    let bundle = Bundle {
        version: reader.read_field("version").unwrap_or_default(),
        regions: reader.read_entries("regions", true),
        zones: reader.read_entries("zones", true),
        links: reader.read_entries("links", false),
        services: reader.read_entries("services", true),
        classes: reader.read_entries("classes", false),
        blocks: reader.read_entries("blocks", false),
        operators: reader.read_entries("operators", true),
    };
    reader.check_unknown_fields();
    if reader.faults.is_empty() {
        return Ok(bundle);
    }
    Err(reader.faults)
}

const KNOWN_FIELDS: [&str; 8] =
    ["version", "regions", "zones", "links", "services", "classes", "blocks", "operators"];

struct BundleReader<'a> {
    object: &'a Map<String, Value>,
    faults: Vec<Fault>,
}

impl BundleReader<'_> {
    fn add_fault(&mut self, path: impl Into<String>, cause: impl Into<String>) {
        self.faults.push(Fault::new(path, cause, FIELDS_HELP));
    }

    fn check_unknown_fields(&mut self) {
        for name in self.object.keys() {
            if KNOWN_FIELDS.contains(&name.as_str()) {
                continue;
            }
            self.add_fault(
                name,
                format!("unknown field, expected one of {}", KNOWN_FIELDS.join(", ")),
            );
        }
    }

    fn read_field<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let Some(value) = self.object.get(name) else {
            self.add_fault(name, "missing field");
            return None;
        };
        self.read_value(name, value)
    }

    fn read_value<T: DeserializeOwned>(&mut self, path: &str, value: &Value) -> Option<T> {
        match serde_path_to_error::deserialize(value) {
            Ok(it) => Some(it),
            Err(e) => {
                let inner = trim_path(&e.path().to_string());
                let path = if inner.is_empty() { path.into() } else { format!("{path}.{inner}") };
                self.add_fault(path, e.inner().to_string());
                None
            }
        }
    }

    fn read_entries<K, V>(&mut self, name: &str, required: bool) -> BTreeMap<K, V>
    where
        K: DeserializeOwned + Ord,
        V: DeserializeOwned,
    {
        let mut entries = BTreeMap::new();
        let Some(section) = self.object.get(name) else {
            if required {
                self.add_fault(name, "missing field");
            }
            return entries;
        };
        let Value::Object(section) = section else {
            self.add_fault(name, "expected an object of named entries");
            return entries;
        };
        for (text, value) in section {
            let path = format!("{name}.{text}");
            let key = self.read_value(&path, &Value::String(text.clone()));
            let value = self.read_value(&path, value);
            let (Some(key), Some(value)) = (key, value) else { continue };
            if entries.insert(key, value).is_some() {
                self.add_fault(path, "is equivalent to another entry");
            }
        }
        entries
    }
}

/// Removes the trailing `.` and `?` from a path of serde_path_to_error, which stand for the root
/// and for a field whose name is unknown.
fn trim_path(path: &str) -> String {
    let path = path.trim_end_matches('?').trim_end_matches('.');
    path.to_owned()
}

fn find_oversized_parts(bundle: &Bundle) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, size) in split_bundle(bundle, None).oversized() {
        let cause = format!("its part of the bundle has {size} bytes; the limit is 1 MiB");
        faults.push(Fault::new(name.path(), cause, "split it into smaller entries"));
    }
    faults
}
