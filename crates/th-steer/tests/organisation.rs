//! Organisations: keys, admission by the age of what is known, home regions, ranks and fair shares.

#[path = "dispatch_world/mod.rs"]
mod dispatch_world;

use std::{collections::BTreeMap, sync::Arc};

use dispatch_world::{World, id, route, table};
use rstest::rstest;
use th_protocol::{Millis, OrganisationId, RegionId, RequestRate};
use th_steer::{
    dispatch::{AttemptOutcome, DispatchSettings, Job, Placement},
    organisation::{Denial, KeyDigest, Organisation, OrganisationTable, TableError, admit},
    quota::Quota,
};

const LIMIT: Millis = Millis(4_000);

fn organisation(name: &str) -> Organisation {
    Organisation { id: id(name), rank: None, quota: None, home_regions: Default::default() }
}

fn key(text: &str) -> KeyDigest {
    KeyDigest::of(text.as_bytes())
}

fn two() -> OrganisationTable {
    let members = vec![
        (organisation("port"), vec![key("p1"), key("p2")]),
        (organisation("quay"), vec![key("q1")]),
    ];
    OrganisationTable::new(members).unwrap()
}

#[rstest]
#[case("p1", Some("port"))]
#[case("p2", Some("port"))]
#[case("q1", Some("quay"))]
#[case("q2", None)]
#[case("", None)]
fn a_key_belongs_to_its_organisation(#[case] text: &str, #[case] owner: Option<&str>) {
    let table = two();
    assert_eq!(table.find(&key(text)).map(|it| it.id.as_str()), owner);
}

#[test]
fn many_organisations_are_found_by_each_of_their_keys() {
    let name = |number: usize| format!("org-{number}");
    let mut members = Vec::new();
    for number in 0..1_000 {
        let keys = (0..10).map(|it| key(&format!("{number}/{it}"))).collect();
        members.push((organisation(&name(number)), keys));
    }
    let table = OrganisationTable::new(members).unwrap();
    for number in 0..1_000 {
        for it in 0..10 {
            let found = table.find(&key(&format!("{number}/{it}"))).unwrap();
            assert_eq!(found.id.as_str(), name(number));
        }
    }
    assert!(table.find(&key("1000/0")).is_none());
}

#[test]
fn organisations_that_contradict_each_other_are_refused() {
    let shared =
        vec![(organisation("port"), vec![key("k")]), (organisation("quay"), vec![key("k")])];
    let error = OrganisationTable::new(shared).unwrap_err();
    assert_eq!(error, TableError::SharedKey(id("port"), id("quay")));
    let twice = vec![(organisation("port"), Vec::new()), (organisation("port"), Vec::new())];
    assert_eq!(OrganisationTable::new(twice).unwrap_err(), TableError::Duplicate(id("port")));
}

/// Guards against a withdrawn key that a VM without news goes on accepting, and against callers that are told their key is
/// unknown by a VM that may not have heard of it.
#[rstest]
#[case::known(Some("p1"), 3_999, Ok("port"))]
#[case::known_too_long_ago(
    Some("p1"),
    4_000,
    Err("the known keys are 4000ms old, the limit is 4000ms")
)]
#[case::unknown(Some("x"), 3_999, Err("unknown key"))]
#[case::unknown_too_long_ago(
    Some("x"),
    4_000,
    Err("the known keys are 4000ms old, the limit is 4000ms")
)]
#[case::none(None, 0, Err("no key"))]
fn keys_count_up_to_an_age(
    #[case] text: Option<&str>,
    #[case] age: u64,
    #[case] expected: Result<&str, &str>,
) {
    let given = text.map(key);
    let admitted = admit(&two(), given.as_ref(), Millis(age), Some(LIMIT));
    let admitted = admitted.map(|it| it.id.to_string()).map_err(|it| it.to_string());
    assert_eq!(admitted, expected.map(str::to_owned).map_err(str::to_owned));
}

#[test]
fn keys_count_at_any_age_where_nothing_bounds_it() {
    assert!(admit(&two(), Some(&key("p1")), Millis(1_000_000), None).is_ok());
}

#[test]
fn a_public_route_needs_no_key_at_any_age() {
    let mut world = World::with(
        DispatchSettings { key_age: Some(LIMIT), ..DispatchSettings::default() },
        &[("i-1", "north-a")],
    );
    let mut public = route("look");
    public.public = true;
    let routes = table(2, vec![public.clone(), route("book")]).with_organisations(two());
    assert!(world.dispatcher.on_routes(routes));
    let old = Millis(60_000);
    assert_eq!(world.dispatcher.admit(&public, None, old), Ok(None));
    let denied = world.dispatcher.admit(&route("book"), Some(&key("q1")), old).unwrap_err();
    // The organisation is kept: another VM may take the request, but only where its home regions allow it.
    assert!(
        matches!(denied, Denial::StaleKeys { organisation: Some(it), .. } if it.id == id("quay"))
    );
    assert_eq!(world.dispatcher.admit(&route("book"), None, Millis(0)), Err(Denial::MissingKey));
}

fn job_of(world: &World, organisation: Organisation, object: u64) -> Job {
    Job { organisation: Some(Arc::new(organisation)), ..world.job(object) }
}

#[rstest]
#[case::no_homes(&[], &[], &["north", "south"])]
#[case::of_the_route(&["north"], &[], &["north"])]
#[case::of_the_organisation(&[], &["south"], &["south"])]
#[case::of_both(&["north", "south"], &["south"], &["south"])]
#[case::of_both_without_a_common_one(&["north"], &["south"], &[])]
fn home_regions_of_route_and_organisation_both_bind(
    #[case] route_homes: &[&str],
    #[case] homes: &[&str],
    #[case] allowed: &[&str],
) {
    let world = World::new(&[("i-1", "north-a")]);
    let ids = |names: &[&str]| names.iter().map(|it| id::<RegionId>(it)).collect();
    let mut route = route("look");
    route.home_regions = ids(route_homes);
    let mut job = world.job_of(route, 1);
    job.organisation =
        Some(Arc::new(Organisation { home_regions: ids(homes), ..organisation("port") }));
    for region in ["north", "south"] {
        assert_eq!(job.allows(Some(&id(region))), allowed.contains(&region), "{region}");
    }
    assert_eq!(job.allows(None), route_homes.is_empty() && homes.is_empty());
}

#[test]
fn the_rank_of_the_organisation_goes_before_that_of_the_route() {
    let world = World::new(&[("i-1", "north-a")]);
    assert_eq!(job_of(&world, organisation("port"), 1).rank(), 1);
    let ranked = Organisation { rank: Some(0), ..organisation("port") };
    assert_eq!(job_of(&world, ranked, 1).rank(), 0);
}

fn with_quota(name: &str, rate: f64) -> Organisation {
    let quota = Quota { rate: RequestRate::per_second(rate).unwrap(), burst: rate };
    Organisation { quota: Some(quota), ..organisation(name) }
}

/// Load: one organisation asks for eight times as much as another with the same quota, and there are too few slots for
/// either. Guards against an organisation that takes the others' slots by asking for more.
#[rstest]
#[case::same_quota(100.0, 100.0, 1.0)]
#[case::quotas_of_three_to_one(300.0, 100.0, 3.0)]
fn waiting_requests_get_slots_in_proportion_to_the_quotas(
    #[case] busy_quota: f64,
    #[case] calm_quota: f64,
    #[case] expected: f64,
) {
    let mut world = World::new(&[("i-1", "north-a")]);
    let (busy, calm) = (with_quota("busy", busy_quota), with_quota("calm", calm_quota));
    let mut jobs: BTreeMap<u64, Job> = BTreeMap::new();
    let mut running = Vec::new();
    for number in 0..450 {
        let who = if number % 9 == 0 { &calm } else { &busy };
        let mut job = job_of(&world, who.clone(), number);
        job.deadline = world.now.after(Millis(3_600_000));
        match world.dispatcher.place(job.clone(), world.now) {
            (Placement::Send { attempt, .. }, _) => running.push((job, attempt)),
            (Placement::Wait, Some(waiter)) => drop(jobs.insert(waiter, job)),
            other => panic!("{other:?}"),
        }
    }
    let mut served: BTreeMap<OrganisationId, f64> = BTreeMap::new();
    // As many turns as leave requests of both waiting.
    for _ in 0..60 {
        world.now = world.now.after(Millis(100));
        let (job, attempt) = running.remove(0);
        world.dispatcher.on_attempt_end(&job, &attempt, AttemptOutcome::Answered, world.now);
        for (waiter, placement) in world.dispatcher.place_waiting(usize::MAX, world.now) {
            let job = jobs.remove(&waiter).unwrap();
            let Placement::Send { attempt, .. } = placement else {
                panic!("{placement:?}");
            };
            *served.entry(job.organisation.as_ref().unwrap().id.clone()).or_default() += 1.0;
            running.push((job, attempt));
        }
    }
    let ratio = served[&id("busy")] / served[&id("calm")];
    assert!((0.8..=1.25).contains(&(ratio / expected)), "{served:?}");
}
