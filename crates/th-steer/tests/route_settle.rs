//! Tests, in virtual time, that weights settle although measurements lag and answers are cached.

mod world;

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use th_protocol::{Millis, Permille, Time};
use th_steer::explain::{Limit, Rule};
use th_steer::route::{
    ClassIx, ExpectedLoad, LoadSample, LookupTables, MeasuredLoads, PendingEffects, PlannerInputs,
    RegionIx, RowRemap, ServiceIx, Settings, VmIx, VmState, explain_lookup, lookup,
};
use world::{Size, World};

const SERVICE: ServiceIx = ServiceIx(0);
const REGIONS: usize = 3;
const LAG_S: usize = 5;
const TTL_S: usize = 10;
const PERIOD_S: usize = 5;
const LENGTH_S: usize = 600;
const START_S: usize = 60;
/// Slots that requests of each class occupy. Class `i` is nearest to region `i`.
const DEMAND: [f32; REGIONS] = [150.0, 40.0, 40.0];
/// Background load in slots, added to region 0 from [`START_S`] on.
const BACKGROUND: f32 = 80.0;
/// Minimum change of the weight since the last reversal for a reversal to count.
const MIN_SWING: f32 = 0.05;
/// Maximum number of reversals that one change of the load may cause.
const MAX_REVERSALS: usize = 2;

#[derive(Clone, Copy, PartialEq)]
enum EffectsTable {
    Kept,
    /// Effects are cleared after each commit, to show the oscillation that the table prevents.
    Cleared,
}

/// Simulates callers with cached answers, and measurements that arrive late.
struct SimulatedTraffic {
    /// Weights of each second of the last TTL. Cached answers are spread evenly over these ages.
    history: VecDeque<Vec<f32>>,
    reports: VecDeque<(Time, [f32; REGIONS])>,
    rng: ChaCha8Rng,
    noise: f32,
}

impl SimulatedTraffic {
    fn advance(&mut self, world: &World, second: usize) {
        self.history.push_back(world.planner.in_force().rows(SERVICE).to_vec());
        if TTL_S < self.history.len() {
            self.history.pop_front();
        }
        let mut busy = [0.0; REGIONS];
        for rows in &self.history {
            for (class, row) in rows.chunks(REGIONS).take(REGIONS).enumerate() {
                for (busy, weight) in busy.iter_mut().zip(row) {
                    *busy += DEMAND[class] * weight / self.history.len() as f32;
                }
            }
        }
        if START_S <= second {
            busy[0] += BACKGROUND;
        }
        for busy in &mut busy {
            *busy += self.noise * self.rng.random_range(-1.0..=1.0);
        }
        self.reports.push_back((Time(second as u64 * 1_000), busy));
    }
}

/// Runs the planner and returns the weight of region 0 for its nearest class, for each tick.
fn run(table: EffectsTable, noise: f32, step: Permille, seed: u64) -> Vec<f32> {
    let size = Size { regions: 3, zones: 6, sites: 6, vms: 12, blocks: 300, classes: 3 };
    let settings = Settings { ttl: Millis(TTL_S as u64 * 1_000), ..Settings::default() };
    let mut world = world::world(&world::bundle(&size), size.vms, settings.clone());
    world.demand.set_hold(SERVICE, Millis(1_000));
    let mut effects = PendingEffects::new(1, REGIONS, settings.ttl);
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut traffic =
        SimulatedTraffic { history: VecDeque::new(), reports: VecDeque::new(), rng, noise };
    let mut weights = Vec::new();
    for second in 1..LENGTH_S {
        traffic.advance(&world, second);
        if LAG_S < traffic.reports.len() {
            let (at, busy) = traffic.reports.pop_front().unwrap();
            for (region, busy) in busy.into_iter().enumerate() {
                let region = RegionIx(region as u16);
                let expected = world.planner.expected_load(&world.map, SERVICE, region);
                let sample = LoadSample { busy, at };
                world.loads.observe(SERVICE, region, sample, expected, &mut effects);
            }
        }
        if second % PERIOD_S != 0 {
            continue;
        }
        for (class, slots) in DEMAND.iter().enumerate() {
            world.demand.count(SERVICE, ClassIx(class as u16), (slots * PERIOD_S as f32) as u32);
        }
        let now = Time(second as u64 * 1_000);
        world.demand.close_window(now);
        let World { map, fleet, demand, loads, planner, .. } = &mut world;
        let inputs = PlannerInputs { map, fleet, demand, loads };
        planner.tick(now, &inputs);
        planner.step(SERVICE, step);
        planner.commit(SERVICE, now, &inputs, &mut effects);
        if table == EffectsTable::Cleared {
            effects = PendingEffects::new(1, REGIONS, settings.ttl);
        }
        weights.push(planner.in_force().row(SERVICE, ClassIx(0))[0]);
    }
    weights
}

/// Counts how often the weight changed its direction.
fn reversals(weights: &[f32]) -> usize {
    let (mut count, mut extreme, mut rising) = (0, weights[0], None);
    for &weight in weights {
        let ahead = match rising {
            Some(true) => weight - extreme,
            Some(false) => extreme - weight,
            None => 0.0,
        };
        if 0.0 < ahead {
            extreme = weight;
        }
        if (weight - extreme).abs() < MIN_SWING || 0.0 < ahead {
            continue;
        }
        count += usize::from(rising.is_some());
        rising = Some(extreme < weight);
        extreme = weight;
    }
    count
}

#[rstest]
#[case::calm(0.0, Permille(1_000))]
#[case::noisy(3.0, Permille(1_000))]
#[case::step_by_step(3.0, Permille(500))]
fn weights_settle_only_if_pending_effects_are_counted(
    #[case] noise: f32,
    #[case] step: Permille,
    #[values(1, 2, 3)] seed: u64,
) {
    let weights = run(EffectsTable::Kept, noise, step, seed);
    // Before the background load starts, all of the class fits its nearest region. After that, the
    // region's limit of 180 slots leaves 100 for a demand of 150.
    let calm = &weights[START_S / PERIOD_S - 3..START_S / PERIOD_S - 1];
    assert!(calm.iter().all(|it| 0.9 < *it), "seed {seed}: {calm:?}");
    let settled = &weights[2 * START_S / PERIOD_S..];
    let deviation = settled.iter().fold(0.0, |most: f32, it| most.max((it - 100.0 / 150.0).abs()));
    // The error may be two tolerances of 5% of the limit, which together are the headroom of 10%.
    assert!(
        deviation <= 2.0 * 0.05 * 180.0 / DEMAND[0],
        "seed {seed}: deviates by {deviation}: {settled:?}"
    );
    let turns_with = reversals(&weights);
    assert!(turns_with <= MAX_REVERSALS, "seed {seed}: {turns_with} reversals: {weights:?}");
    let turns_without = reversals(&run(EffectsTable::Cleared, noise, step, seed));
    assert!(
        MAX_REVERSALS < turns_without,
        "seed {seed}: only {turns_without} reversals without the table"
    );
}

#[rstest]
fn a_measurement_is_credited_only_after_the_decision_and_its_ttl() {
    let mut effects = PendingEffects::new(1, 1, Millis(10_000));
    let mut loads = MeasuredLoads::new(1, 1);
    let region = RegionIx(0);
    effects.record(SERVICE, region, 30.0, Time(100_000));
    // (time of the measurement, whether it is used, effect that is still pending)
    let steps = [
        (99_999, true, 30.0),
        (100_000, false, 30.0),
        (109_999, false, 30.0),
        (110_000, true, 0.0),
        (105_000, false, 0.0),
    ];
    for (at, used, pending) in steps {
        let sample = LoadSample { busy: 10.0, at: Time(at) };
        let taken = loads.observe(SERVICE, region, sample, ExpectedLoad::default(), &mut effects);
        assert_eq!((taken, effects.pending(SERVICE, region)), (used, pending), "at {at}");
    }
    assert_eq!(loads.background(SERVICE, region), 10.0);
}

#[rstest]
fn ttls_are_shorter_while_weights_move() {
    let size = Size { regions: 3, zones: 6, sites: 6, vms: 12, blocks: 300, classes: 3 };
    let mut world = world::world(&world::bundle(&size), size.vms, Settings::default());
    let mut effects = PendingEffects::new(1, REGIONS, Millis(10_000));
    world.demand.count(SERVICE, ClassIx(0), 10_000);
    world.demand.close_window(Time(5_000));
    let World { map, fleet, demand, loads, planner, settings } = &mut world;
    let inputs = PlannerInputs { map, fleet, demand, loads };
    planner.tick(Time(5_000), &inputs);
    planner.set_in_force(SERVICE, ClassIx(0), &[0.0, 0.0, 1.0]);
    planner.commit(SERVICE, Time(5_000), &inputs, &mut effects);
    assert!(0.0 < effects.pending(SERVICE, RegionIx(2)));
    let weights = planner.in_force();
    let tables = LookupTables { map, fleet, weights, settings };
    let answer = lookup(&tables, SERVICE, world::address(0), Time(5_000));
    assert!(answer.ttl <= settings.shift_ttl, "{}", answer.ttl);
    assert_eq!(answer.region, Some(RegionIx(2)));
}

#[rstest]
fn a_new_bundle_moves_nothing_by_itself() {
    let size = Size { regions: 3, zones: 6, sites: 6, vms: 12, blocks: 300, classes: 3 };
    let bundle = world::bundle(&size);
    let mut old = world::world(&bundle, size.vms, Settings::default());
    let mut effects = PendingEffects::new(1, REGIONS, Millis(10_000));
    old.planner.set_in_force(SERVICE, ClassIx(0), &[0.2, 0.5, 0.3]);
    effects.record(SERVICE, RegionIx(1), 7.0, Time(5));
    // Add a class and a region with lower ids, which changes all row numbers.
    let mut next = bundle.clone();
    next.classes.insert("a".parse().unwrap(), th_protocol::Class::default());
    next.regions.insert("a".parse().unwrap(), th_protocol::Region::default());
    let mut new = world::world(&next, size.vms, Settings::default());
    let planned = new.planner.in_force().row(SERVICE, ClassIx(1)).to_vec();
    let rows = RowRemap::new(&old.map, &new.map);
    new.demand.remap_from(&old.demand, &rows);
    new.planner.remap_from(&old.planner, &rows, &new.demand);
    let mut remapped = PendingEffects::new(1, REGIONS + 1, Millis(10_000));
    remapped.remap_from(&effects, &rows);
    let row = new.planner.in_force().row(SERVICE, ClassIx(1));
    assert_eq!(row, [0.0, 0.2, 0.5, 0.3]);
    assert_ne!(row, planned);
    assert_eq!(remapped.pending(SERVICE, RegionIx(2)), 7.0);
    // Remove the last region: its weight is distributed over the others.
    let mut less = bundle.clone();
    less.regions.remove(&"r02".parse().unwrap());
    let mut new = world::world(&less, size.vms, Settings::default());
    new.planner.remap_from(&old.planner, &RowRemap::new(&old.map, &new.map), &new.demand);
    let row = new.planner.in_force().row(SERVICE, ClassIx(0));
    assert!((row[0] - 0.2 / 0.7).abs() < 1e-6 && row.len() == 2, "{row:?}");
}

#[rstest]
fn answers_can_be_explained() {
    let size = Size { regions: 3, zones: 6, sites: 6, vms: 12, blocks: 300, classes: 3 };
    let mut world = world::world(&world::bundle(&size), size.vms, Settings::default());
    let mut effects = PendingEffects::new(1, REGIONS, Millis(10_000));
    let mut rules = |world: &mut World, now: Time| {
        let World { map, fleet, demand, loads, planner, settings } = world;
        let inputs = PlannerInputs { map, fleet, demand, loads };
        planner.tick(now, &inputs);
        planner.step(SERVICE, Permille::WHOLE);
        planner.commit(SERVICE, now, &inputs, &mut effects);
        let weights = planner.in_force();
        let tables = LookupTables { map, fleet, weights, settings };
        let mut rules = Vec::new();
        for block in (0..300).step_by(3) {
            let answer = lookup(&tables, SERVICE, world::address(block), now);
            let record = explain_lookup(&inputs, planner, &effects, SERVICE, &answer, now);
            assert_eq!(record.inputs.as_slice().len(), 5);
            if !rules.contains(&record.rule) {
                rules.push(record.rule);
            }
        }
        rules.sort_by_key(|it| *it as u8);
        rules
    };
    assert_eq!(rules(&mut world, Time(0)), [Rule::StaticPlan]);
    world.demand.count(SERVICE, ClassIx(0), 30_000); // 300 slots for a limit of 180
    world.demand.close_window(Time(5_000));
    for region in (0..3).map(RegionIx) {
        let sample = LoadSample { busy: 0.0, at: Time(5_000) };
        let mut none = PendingEffects::new(1, REGIONS, Millis(10_000));
        world.loads.observe(SERVICE, region, sample, ExpectedLoad::default(), &mut none);
    }
    assert_eq!(rules(&mut world, Time(5_000)), [Rule::Nearest, Rule::Spill]);
    for vm in (0..12).step_by(3).map(VmIx) {
        world.fleet.observe(vm, VmState::Dead, Time(6_000));
    }
    // The weights in force still choose the lost region.
    world.fleet.refresh(&world.map, &world.settings, Time(6_000));
    let World { map, fleet, demand, loads, planner, settings } = &world;
    let tables = LookupTables { map, fleet, weights: planner.in_force(), settings };
    let lost = (0..300).map(|it| lookup(&tables, SERVICE, world::address(it), Time(6_000)));
    let answer = { lost }.find(|it| it.region == Some(RegionIx(0))).unwrap();
    let inputs = PlannerInputs { map, fleet, demand, loads };
    let none = PendingEffects::new(1, REGIONS, Millis(10_000));
    let record = explain_lookup(&inputs, planner, &none, SERVICE, &answer, Time(6_000));
    assert_eq!((record.rule, record.limit), (Rule::Divert, Limit::Usable));
}
