//! Parsing and validation of a bundle's text.

use rstest::rstest;
use serde_json::{Value, json};
use th_protocol::{Fault, Signer, parse_bundle};

fn valid_bundle() -> Value {
    let key = Signer::new("ana".parse().unwrap(), [7; 32]).public_key_hex();
    json!({
        "version": 1,
        "regions": {
            "north": { "cap": 40, "floors": { "n1": 300, "n2": 300 } },
            "south": { "cap": 40 },
        },
        "zones": {
            "n1": { "region": "north" }, "n2": { "region": "north", "shards": 2 },
            "s1": { "region": "south" },
        },
        "links": {
            "ns": { "from": "north", "to": "south", "cap": 280, "delay": 20, "floors": { "n1": 500 } },
            "sn": { "from": "south", "to": "north", "cap": 280, "delay": 20 },
        },
        "services": { "roster": {
            "regions": {
                "north": { "weight": 2, "cap": 20 }, "south": { "weight": 1, "cap": 20 },
            },
            "operations": { "book": { "idempotent": false, "deadline": 2000, "size": 4000 } },
            "backends": {
                "b1": { "zone": "n1", "address": "10.0.0.1:80", "slots": 4, "connections": 330 },
                "b2": { "zone": "s1", "address": "10.0.0.2:80", "slots": 4, "connections": 330 },
            },
            "shift": { "cap": 200, "window": 10000 },
            "slo": { "latency": 250, "objective": 990, "headroom": 100, "drain": 30000 },
        }},
        "classes": { "c1": { "delays": { "north": 8, "south": 28 } } },
        "blocks": { "10.1.2.0/24": "c1" },
        "operators": { "ana": key },
    })
}

fn faults(text: &str) -> Vec<Fault> {
    parse_bundle(text).err().unwrap_or_default()
}

#[test]
fn valid_bundle_has_no_faults() {
    assert_eq!(faults(&valid_bundle().to_string()), Vec::new());
}

const B1: &str = "/services/roster/backends/b1";

#[rstest]
#[case("/version", json!(0), "version")]
#[case("/version", json!("one"), "version")]
#[case("/regions", json!([]), "regions")]
#[case("/regions/north/floors/n1", json!(701), "regions.north.floors")]
#[case("/regions/north/floors", json!({ "s1": 1 }), "regions.north.floors.s1")]
#[case("/regions/north/floors", json!({ "zz": 1 }), "regions.north.floors.zz")]
#[case("/regions/south/cap", json!(0), "regions.south.cap")]
#[case("/regions/south/cap", json!(19), "services.roster.regions.south.cap")]
#[case("/regions/south/colour", json!(1), "regions.south.colour")]
#[case("/regions/South", json!({ "cap": 1 }), "regions.South")]
#[case("/zones/s1/region", json!("west"), "zones.s1.region")]
#[case("/zones/n2/shards", json!(0), "zones.n2.shards")]
#[case("/links/ns/from", json!("west"), "links.ns.from")]
#[case("/links/sn/to", json!("west"), "links.sn.to")]
#[case("/links/sn/to", json!("south"), "links.sn.to")]
#[case("/links/sn/cap", json!(0), "links.sn.cap")]
#[case("/links/ns/floors/n1", json!(1001), "links.ns.floors")]
#[case("/links/ns/floors", json!({ "s1": 1 }), "links.ns.floors.s1")]
#[case("/links/x", json!({ "from": "north", "to": "south", "cap": 1, "delay": 1 }), "links.x")]
#[case("/services", json!({}), "services")]
#[case("/services/roster/regions", json!({}), "services.roster.regions")]
#[case("/services/roster/regions/west", json!({ "weight": 1, "cap": 1 }), "services.roster.regions.west")]
#[case("/services/roster/regions/north/cap", json!(0), "services.roster.regions.north.cap")]
#[case("/services/roster/regions/north/cap", json!(41), "services.roster.regions.north.cap")]
#[case("/services/roster/regions", json!({ "north": { "weight": 0, "cap": 1 } }), "services.roster.regions")]
#[case("/services/roster/operations/book/deadline", json!(0), "services.roster.operations.book.deadline")]
#[case("/services/roster/operations/book/deadline", json!(600001), "services.roster.operations.book.deadline")]
#[case("/services/roster/backends", json!({}), "services.roster.backends")]
#[case(&format!("{B1}/zone"), json!("zz"), "services.roster.backends.b1.zone")]
#[case(&format!("{B1}/slots"), json!(0), "services.roster.backends.b1.slots")]
#[case(&format!("{B1}/slots"), json!(-1), "services.roster.backends.b1.slots")]
#[case(&format!("{B1}/connections"), json!(0), "services.roster.backends.b1.connections")]
#[case(&format!("{B1}/address"), json!("10.0.0.2:80"), "services.roster.backends.b2.address")]
#[case(&format!("{B1}/address"), json!("nowhere"), "services.roster.backends.b1.address")]
#[case("/services/roster/shift/cap", json!(0), "services.roster.shift.cap")]
#[case("/services/roster/shift/cap", json!(1001), "services.roster.shift.cap")]
#[case("/services/roster/shift/window", json!(0), "services.roster.shift.window")]
#[case("/services/roster/slo/latency", json!(0), "services.roster.slo.latency")]
#[case("/services/roster/slo/objective", json!(1001), "services.roster.slo.objective")]
#[case("/services/roster/slo/headroom", json!(1001), "services.roster.slo.headroom")]
#[case("/services/roster/slo/drain", json!(0), "services.roster.slo.drain")]
#[case("/services/roster/customers", json!({ "a": 0 }), "services.roster.customers")]
#[case("/classes/c1/delays/west", json!(1), "classes.c1.delays.west")]
#[case("/blocks/10.1.3.0~124", json!("zz"), "blocks.10.1.3.0/24")]
#[case("/blocks/10.1.2.9~124", json!("c1"), "blocks.10.1.2.9/24")]
#[case("/blocks/10.1.2.0~133", json!("c1"), "blocks.10.1.2.0/33")]
#[case("/operators", json!({}), "operators")]
#[case("/operators/ana", json!("00"), "operators.ana")]
#[case("/colour", json!(1), "colour")]
fn each_fault_reports_its_path(#[case] at: &str, #[case] value: Value, #[case] path: &str) {
    let mut bundle = valid_bundle();
    let (parent, name) = at.rsplit_once('/').unwrap();
    let parent = bundle.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    parent.insert(name.replace("~1", "/"), value);
    let found = faults(&bundle.to_string());
    let paths: Vec<_> = found.iter().map(|it| it.path.as_str()).collect();
    assert_eq!(paths, [path], "{found:#?}");
    assert!(found.iter().all(|it| !it.cause.is_empty() && !it.help.is_empty()));
}

#[rstest]
#[case::parse_errors(&[("/regions/south/cap", json!("x")), ("/zones/s1/region", json!(1)),
    ("/links/ns/cap", json!(-1)), ("/operators/ana", json!(1)), ("/version", json!({}))])]
#[case::validation_errors(&[("/regions/south/cap", json!(0)), ("/zones/n2/shards", json!(0)),
    ("/links/ns/cap", json!(0)), ("/operators/ana", json!("")), ("/version", json!(0))])]
fn all_faults_are_reported_together(#[case] changes: &[(&str, Value)]) {
    let mut bundle = valid_bundle();
    for (at, value) in changes {
        *bundle.pointer_mut(at).unwrap() = value.clone();
    }
    let found = faults(&bundle.to_string());
    for (at, _) in changes {
        let path = at[1..].replace('/', ".");
        assert!(found.iter().any(|it| it.path == path), "{path} is not in {found:#?}");
    }
}

#[rstest]
#[case::empty("", "")]
#[case::truncated("{\"version\": 1,", "")]
#[case::list("[]", "")]
#[case::repeated_field("{\"version\": 1, \"version\": 2}", "")]
#[case::repeated_inner_field("{\"zones\": {\"a\": {\"region\": 1, \"region\": 2}}}", "zones.a")]
fn text_that_is_not_a_bundle_is_rejected(#[case] text: &str, #[case] path: &str) {
    let found = faults(text);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert_eq!(found[0].path, path, "{found:#?}");
}

#[test]
fn part_over_one_mebibyte_is_rejected() {
    let mut bundle = valid_bundle();
    let backends = bundle.pointer_mut("/services/roster/backends").unwrap();
    for n in 0..14_000u32 {
        let address = format!("10.{}.{}.9:80", n / 250, n % 250);
        let it = json!({ "zone": "n1", "address": address, "slots": 4, "connections": 330 });
        backends[format!("backend-{n}")] = it;
    }
    let found = faults(&bundle.to_string());
    assert_eq!(found.len(), 1, "{found:#?}");
    assert_eq!(found[0].path, "services.roster");
}
