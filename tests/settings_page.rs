//! docs/SETTINGS.md lists exactly the fields of the settings, with the defaults and bounds that the code has.

use std::collections::BTreeSet;

use serde_json::{Map, Value, json};
use th_entry::{Keys, Limits, Listen, Logs, Pace, Settings, Stop};

const PAGE: &str = include_str!("../docs/SETTINGS.md");

/// Expands to the names of all fields of a struct; does not compile if one is missing.
macro_rules! fields {
    ($type:ident { $($field:ident),* }) => {{
        let _ = |it: $type| {
            let $type { $($field: _),* } = it;
        };
        [$(stringify!($field)),*]
    }};
}

/// Returns the paths of all fields of the settings types.
fn fields_of_types() -> BTreeSet<String> {
    let top = fields!(Settings { vm, zone, listen, peers, store, keys, limits, stop, pace, logs });
    let inner: [(&str, &[&str]); 6] = [
        ("listen", &fields!(Listen { callers, peers })),
        ("keys", &fields!(Keys { peer, tickets, operators })),
        ("limits", &fields!(Limits { head, body, answer, requests, slow })),
        ("stop", &fields!(Stop { linger, limit })),
        ("pace", &fields!(Pace { tick, list, watch, call })),
        ("logs", &fields!(Logs { form, level, parts })),
    ];
    let mut fields: BTreeSet<_> = top.iter().map(|it| (*it).to_owned()).collect();
    for (name, names) in inner {
        assert!(fields.remove(name), "{name}");
        fields.extend(names.iter().map(|it| format!("{name}.{it}")));
    }
    fields
}

/// Returns the rows of the page's table: field, default and bounds.
fn rows(page: &str) -> Vec<[String; 3]> {
    let mut rows = Vec::new();
    for line in page.lines().filter(|it| it.starts_with("| `")) {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 7, "{line}");
        rows.push([cells[1].trim_matches('`'), cells[3], cells[4]].map(str::to_owned));
    }
    rows
}

fn fields_of_page(page: &str) -> BTreeSet<String> {
    let rows = rows(page);
    let fields: BTreeSet<_> = rows.iter().map(|[field, ..]| field.clone()).collect();
    assert_eq!(fields.len(), rows.len(), "a field is listed twice");
    fields
}

/// Returns settings with the required fields alone.
fn minimal_settings() -> Value {
    json!({
        "vm": "e1", "zone": "n1", "store": "http://10.0.0.1:7000",
        "listen": { "callers": "10.0.0.2:8080", "peers": "10.0.0.2:8180" },
        "keys": { "peer": "0123456789abcdef", "tickets": ["00".repeat(32)] },
    })
}

fn put(settings: &mut Value, field: &str, value: Value) {
    let (object, name) = match field.split_once('.') {
        Some((object, name)) => (&mut settings[object], name),
        None => (settings, field),
    };
    let fields = object.as_object_mut();
    match fields {
        Some(fields) => drop(fields.insert(name.to_owned(), value)),
        None => *object = Value::Object(Map::from_iter([(name.to_owned(), value)])),
    }
}

/// Returns the causes of the errors that are reported at a field.
fn faults(settings: &Value, field: &str) -> Vec<String> {
    let faults = Settings::read(&settings.to_string()).err().unwrap_or_default();
    let here = faults.into_iter().filter(|it| it.path == field);
    here.map(|it| it.cause).collect()
}

#[test]
fn the_page_has_each_field_and_no_other() {
    assert_eq!(fields_of_page(PAGE), fields_of_types());
}

/// Guards against a comparison that misses a field removed from the page, or one that no type has.
#[test]
fn a_difference_is_detected() {
    assert_ne!(
        fields_of_page(&PAGE.replace("| `stop.linger` |", "| `stop.wait` |")),
        fields_of_types()
    );
    let more = format!("{PAGE}| `more` | ms | | | |\n");
    assert_ne!(fields_of_page(&more), fields_of_types());
}

#[test]
fn the_defaults_hold() {
    let (bare, mut full) = (minimal_settings(), minimal_settings());
    for [field, default, _] in rows(PAGE) {
        match (default.as_str(), default.parse::<u64>()) {
            ("" | "none", _) => {}
            (_, Ok(number)) => put(&mut full, &field, number.into()),
            (text, Err(_)) => put(&mut full, &field, text.into()),
        }
    }
    let [bare, full] = [bare, full].map(|it| Settings::read(&it.to_string()).unwrap());
    assert_eq!(format!("{bare:?}"), format!("{full:?}"));
}

#[test]
fn the_bounds_hold() {
    let mut checked = 0;
    for [field, _, bounds] in rows(PAGE) {
        let Some((low, high)) = bounds.split_once(" to ") else { continue };
        let Ok(high) = high.parse::<u64>() else { continue };
        let mut good = vec![high];
        let mut bad = vec![high + 1];
        if let Ok(low) = low.parse::<u64>() {
            good.push(low);
            bad.push(low - 1);
        }
        for (values, is_valid) in [(good, true), (bad, false)] {
            for value in values {
                let mut settings = minimal_settings();
                put(&mut settings, &field, value.into());
                assert_eq!(faults(&settings, &field).is_empty(), is_valid, "{field} = {value}");
            }
        }
        checked += 1;
    }
    assert_eq!(checked, 11, "number of fields with numeric bounds");
}

/// A field is required exactly if the page lists no default for it.
#[test]
fn fields_without_a_default_are_required() {
    for [field, default, _] in rows(PAGE) {
        let mut settings = minimal_settings();
        let object = match field.split_once('.') {
            Some((object, _)) => &mut settings[object],
            None => &mut settings,
        };
        let name = field.rsplit('.').next().unwrap();
        if let Some(object) = object.as_object_mut() {
            object.remove(name);
        }
        let missing = faults(&settings, &field).iter().any(|it| it.contains("required"));
        assert_eq!(missing, default.is_empty(), "{field}");
    }
}
