//! Checks that docs/BUNDLE.md lists exactly the fields of a bundle.

use std::collections::{BTreeMap, BTreeSet};

use th_protocol::{Bundle, parse_bundle};

const PAGE: &str = include_str!("../../../docs/BUNDLE.md");

/// A bundle in which every field is set and no map is empty.
const FULL_BUNDLE: &str = r#"{
    "version": 1,
    "regions": { "north": { "cap": 40, "floors": { "n1": 1 } }, "south": { "cap": 1 } },
    "zones": { "n1": { "region": "north", "shards": 1 } },
    "links": { "ns": {
        "from": "north", "to": "south", "cap": 280, "delay": 20, "floors": { "n1": 1 }
    } },
    "services": { "roster": {
        "regions": { "north": { "weight": 2, "cap": 20 } },
        "operations": { "book": { "idempotent": false, "deadline": 2000, "size": 4000 } },
        "backends": { "b1": {
            "zone": "n1", "address": "10.0.0.1:80", "slots": 4, "connections": 330, "leaving": true
        } },
        "shift": { "cap": 200, "window": 10000 },
        "slo": { "latency": 250, "objective": 990, "headroom": 100, "drain": 30000 },
        "customers": { "alpha": 1 }
    } },
    "classes": { "c1": { "delays": { "north": 8 } } },
    "blocks": { "10.1.2.0/24": "c1" },
    "operators": { "ana": "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a" }
}"#;

/// The path of one object of each type in [`FULL_BUNDLE`].
const TYPES: [(&str, &str); 11] = [
    ("Bundle", ""),
    ("Region", "/regions/north"),
    ("Zone", "/zones/n1"),
    ("Link", "/links/ns"),
    ("Service", "/services/roster"),
    ("Target", "/services/roster/regions/north"),
    ("Operation", "/services/roster/operations/book"),
    ("Backend", "/services/roster/backends/b1"),
    ("Shift", "/services/roster/shift"),
    ("Slo", "/services/roster/slo"),
    ("Class", "/classes/c1"),
];

type Fields = BTreeMap<String, BTreeSet<String>>;

/// Returns the fields of each type. Serde writes every field, since all of them are set.
fn fields_of_types(bundle: &Bundle) -> Fields {
    let value = serde_json::to_value(bundle).unwrap();
    let mut fields = Fields::new();
    for (name, path) in TYPES {
        let object = value.pointer(path).unwrap().as_object().unwrap();
        fields.insert(name.into(), object.keys().cloned().collect());
    }
    fields
}

/// Returns the first column of the table below each heading.
fn fields_of_page(page: &str) -> Fields {
    let mut fields = Fields::new();
    let mut section = String::new();
    for line in page.lines() {
        if let Some(heading) = line.strip_prefix("## ") {
            section = heading.to_owned();
        }
        let Some(row) = line.strip_prefix("| `") else { continue };
        let (field, _) = row.split_once('`').unwrap();
        assert_eq!(line.matches(" |").count(), 5, "{line}");
        let new = fields.entry(section.clone()).or_default().insert(field.to_owned());
        assert!(new, "{section}.{field} is listed twice");
    }
    fields
}

#[test]
fn page_lists_exactly_the_fields_of_the_types() {
    let bundle = parse_bundle(FULL_BUNDLE).unwrap();
    assert_eq!(fields_of_page(PAGE), fields_of_types(&bundle));
}

/// Guards against a comparison that misses a field removed from the page or from the types.
#[test]
fn missing_and_extra_fields_are_detected() {
    let types = fields_of_types(&parse_bundle(FULL_BUNDLE).unwrap());
    assert_ne!(fields_of_page(&PAGE.replace("| `leaving` |", "| `leaves` |")), types);
    let more = format!("{PAGE}| `more` | ms | | | |\n");
    assert_ne!(fields_of_page(&more), types);
}
