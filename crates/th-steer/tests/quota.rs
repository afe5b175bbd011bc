//! Tokens of one VM and of the keeper, step by step.

use std::collections::BTreeMap;

use th_protocol::{Mbit, Millis, OrganisationId, RequestRate, Time, VmId};
use th_steer::quota::{
    Quota, QuotaBook, QuotaLimits, TokenGrant, UsageAnswer, UsageEntry, UsageReport,
};

const START: Time = Time(1_000_000);
/// Later than a process that starts may be counted, and is young.
const SETTLED: Time = Time(1_006_000);

fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn quotas(rate: f64, burst: f64) -> BTreeMap<OrganisationId, Quota> {
    let rate = RequestRate::per_second(rate).unwrap();
    BTreeMap::from([(id("org"), Quota { rate, burst })])
}

fn book(vm: &str) -> QuotaBook {
    let mut book = QuotaBook::new(QuotaLimits::default(), id(vm), START);
    book.set_quotas(quotas(100.0, 100.0), START);
    book
}

/// Reports a VM to itself.
fn report_to_itself(book: &mut QuotaBook, now: Time) {
    let keeper = book.keeper(now);
    let report = book.report(&keeper, now);
    let answer = book.on_report(report, now);
    book.on_answer(answer, now);
}

fn tokens(book: &QuotaBook) -> u32 {
    book.view(START)[&id("org")].tokens
}

fn grant(number: u64, change: i32) -> UsageAnswer {
    UsageAnswer { number, unknown: false, grants: vec![TokenGrant { id: id("org"), change }] }
}

/// A VM that asks another one, with tokens from it.
fn follower(change: i32) -> (QuotaBook, VmId) {
    let mut book = book("vm-0");
    let keeper: VmId = id("vm-1");
    let report = book.report(&keeper, SETTLED);
    book.on_answer(grant(report.number, change), SETTLED);
    (book, keeper)
}

#[test]
fn an_organisation_without_a_quota_is_unlimited() {
    let mut book = book("vm-0");
    assert!(book.take(&id("other"), START).is_ok());
    book.set_quotas(BTreeMap::new(), START);
    assert!(!book.is_active());
    assert!(book.take(&id("org"), START).is_ok());
}

#[test]
fn a_vm_alone_receives_its_quota() {
    let mut book = book("vm-0");
    assert!(book.take(&id("org"), START).is_err(), "no token before the first report");
    report_to_itself(&mut book, SETTLED);
    report_to_itself(&mut book, SETTLED.after(Millis(500)));
    assert!(book.take(&id("org"), SETTLED).is_ok());
}

#[test]
fn a_refused_request_is_told_when_the_next_answer_is_due() {
    let (mut book, keeper) = follower(0);
    let wait = book.take(&id("org"), SETTLED).unwrap_err();
    let due = book.next_report();
    assert!(due.since(SETTLED) <= wait, "{wait}, the next report is due at {due}");
    let report = book.report(&keeper, due);
    assert_eq!(report.entries[0].wanted, 1);
    book.on_answer(grant(report.number, 1), due);
    assert!(book.take_waiting(&id("org"), due));
    assert_eq!(book.view(due)[&id("org")].refused, 0);
}

#[test]
fn requests_wait_only_while_answers_bring_tokens() {
    let (mut book, keeper) = follower(0);
    assert!(book.may_wait(&id("org")));
    assert!(book.take(&id("org"), SETTLED).is_err());
    let report = book.report(&keeper, SETTLED);
    book.on_answer(grant(report.number, 0), SETTLED);
    assert!(!book.may_wait(&id("org")));
    assert!(book.take(&id("org"), SETTLED).is_err());
    let report = book.report(&keeper, SETTLED);
    book.on_answer(grant(report.number, 1), SETTLED);
    assert!(book.may_wait(&id("org")));
}

#[test]
fn an_answer_to_an_earlier_report_has_no_effect() {
    let (mut book, keeper) = follower(1);
    assert!(book.take(&id("org"), SETTLED).is_ok());
    let earlier = book.report(&keeper, SETTLED);
    assert!(book.take(&id("org"), SETTLED).is_err());
    assert_eq!(book.report(&keeper, SETTLED).entries[0].wanted, 1);
    book.on_answer(grant(earlier.number, 5), SETTLED);
    assert_eq!(tokens(&book), 0);
}

#[test]
fn a_token_comes_back_until_its_use_is_reported() {
    let (mut book, keeper) = follower(2);
    assert!(book.take(&id("org"), SETTLED).is_ok());
    book.give_back(&id("org"));
    assert_eq!(tokens(&book), 2);
    assert!(book.take(&id("org"), SETTLED).is_ok());
    let report = book.report(&keeper, SETTLED);
    assert_eq!((report.entries[0].used, report.entries[0].tokens), (1, 1));
    book.give_back(&id("org"));
    assert_eq!(tokens(&book), 1, "the keeper may have given out another one for it");
}

/// A VM that was frozen, or cut off, for long.
#[test]
fn tokens_lapse() {
    let (mut book, _) = follower(2);
    assert!(book.take(&id("org"), SETTLED.after(Millis(9_900))).is_ok());
    assert!(book.take(&id("org"), SETTLED.after(Millis(10_000))).is_err());
}

#[test]
fn a_keeper_that_does_not_know_a_vm_gives_it_nothing() {
    let (mut vm, keeper) = follower(1);
    let mut other = book("vm-1");
    other.set_members([(id("vm-0"), None)], START);
    let report = vm.report(&keeper, SETTLED);
    assert!(!report.full);
    let answer = other.on_report(report, SETTLED);
    assert!(answer.unknown && answer.grants.is_empty(), "{answer:?}");
    vm.on_answer(answer, SETTLED);
    assert!(vm.report(&keeper, SETTLED).full);
}

/// A keeper of two VMs that counts itself.
fn keeper_of_two() -> QuotaBook {
    let mut keeper = book("vm-1");
    keeper.set_members([(id("vm-0"), None)], START);
    let own = keeper.report(&id("vm-1"), SETTLED);
    keeper.on_report(own, SETTLED);
    keeper
}

#[test]
fn a_repeated_report_gets_nothing() {
    let (mut keeper, mut vm) = (keeper_of_two(), book("vm-0"));
    assert!(vm.take(&id("org"), SETTLED).is_err());
    let report = vm.report(&id("vm-1"), SETTLED);
    let first = keeper.on_report(report.clone(), SETTLED);
    assert!(!first.grants.is_empty());
    assert!(keeper.on_report(report, SETTLED).grants.is_empty());
}

/// A keeper of some VMs that has counted itself for more than a window.
fn long_keeper(vms: &[&str]) -> (QuotaBook, Time) {
    let mut keeper = keeper_of_two();
    keeper.set_members(vms.iter().map(|it| (id(it), None)), SETTLED);
    let mut now = SETTLED;
    for _ in 0..11 {
        now = now.after(Millis(500));
        let own = keeper.report(&id("vm-1"), now);
        keeper.on_report(own, now);
    }
    (keeper, now)
}

fn given(answer: &UsageAnswer) -> i32 {
    answer.grants.iter().map(|it| it.change).sum()
}

/// A VM that is killed again and again may have spent all that each of its processes got.
#[test]
fn an_earlier_process_counts_as_having_used_its_tokens() {
    let (mut keeper, start) = long_keeper(&["vm-0"]);
    let mut sum = 0;
    for process in 0..30 {
        let now = start.after(Millis(process * 50));
        let mut vm = QuotaBook::new(QuotaLimits::default(), id("vm-0"), now);
        vm.set_quotas(quotas(100.0, 100.0), now);
        let report = UsageReport { settled: true, ..vm.report(&id("vm-1"), now) };
        sum += given(&keeper.on_report(report, now));
    }
    let allowed = QuotaLimits::default().allowed(quotas(100.0, 100.0)[&id("org")]);
    assert!(0 < sum && f64::from(sum) <= allowed, "{sum} given, {allowed} allowed");
}

/// A VM that another keeper may still count makes up no majority: with it, this one would have two of three VMs.
#[test]
fn a_vm_that_is_not_settled_does_not_count() {
    let [unsettled, settled] = [false, true].map(|settled| {
        let (mut keeper, now) = long_keeper(&["vm-0", "vm-2"]);
        let report = UsageReport { settled, ..book("vm-0").report(&id("vm-1"), now) };
        given(&keeper.on_report(report, now))
    });
    assert!(unsettled * 2 < settled, "{unsettled} given, {settled} if it counts");
}

/// An earlier process of a VM that has just started may have used tokens of which a new keeper does not know.
#[test]
fn a_new_keeper_gives_nothing_while_a_process_is_young() {
    let [young, older] = [true, false].map(|young| {
        let report = UsageReport { young, ..book("vm-0").report(&id("vm-1"), SETTLED) };
        given(&keeper_of_two().on_report(report, SETTLED))
    });
    assert!(young == 0 && 0 < older, "{young} given, {older} later");
}

/// A keeper that begins doesn't know what others used before: it gives the VMs that report no more than these had.
#[test]
fn a_new_keeper_gives_no_more_than_was_held() {
    let mut keeper = keeper_of_two();
    keeper.set_members([(id("vm-0"), None), (id("vm-2"), None)], SETTLED);
    let (mut vm, vm_keeper) = follower(3);
    for _ in 0..10 {
        let _ = vm.take(&id("org"), SETTLED);
    }
    let mut report = vm.report(&vm_keeper, SETTLED);
    report.full = true;
    assert_eq!((report.entries[0].used, report.entries[0].wanted), (3, 7));
    assert!(keeper.on_report(report.clone(), SETTLED).grants.is_empty());
    report.number += 1;
    // The use of before has left the window.
    report.entries[0].used = 0;
    let given = keeper.on_report(report, SETTLED.after(Millis(900))).grants;
    assert!(given.iter().all(|it| it.change <= 3) && !given.is_empty(), "{given:?}");
}

/// A VM counts for one keeper at a time.
#[test]
fn a_vm_that_changes_its_keeper_counts_only_later() {
    let (mut vm, keeper) = follower(1);
    let other: VmId = id("vm-2");
    let mut settled = Vec::new();
    for wait in [0, 1_000, 1_599, 1_600] {
        settled.push(vm.report(&other, SETTLED.after(Millis(wait))).settled);
    }
    assert_eq!(settled, [false, false, false, true]);
    assert!(!vm.report(&keeper, SETTLED.after(Millis(1_650))).settled);
}

/// A VM that reaches none of the others keeps its own part after a few of them.
#[test]
fn a_vm_that_is_cut_off_asks_itself() {
    let mut book = book("vm-0");
    book.set_members((1..300).map(|it| (id(&format!("vm-{it}")), None)), START);
    let mut asked = 0;
    while book.keeper(SETTLED) != id("vm-0") {
        book.on_failure(book.keeper(SETTLED), SETTLED);
        asked += 1;
        assert!(asked < 300);
    }
    assert!(asked <= 8, "{asked} VMs asked");
    assert_ne!(book.keeper(SETTLED.after(Millis(5_000))), id("vm-0"), "it never asks again");
}

#[test]
fn a_malformed_number_is_no_demand() {
    let mut given = Vec::new();
    for asked in [0.0, f32::NAN, f32::NEG_INFINITY] {
        let mut report = book("vm-0").report(&id("vm-1"), SETTLED);
        report.entries[0].asked = asked;
        given.push(keeper_of_two().on_report(report, SETTLED));
    }
    assert!(!given[0].grants.is_empty());
    assert_eq!((&given[1], &given[2]), (&given[0], &given[0]));
}

/// Fields that a later build adds are passed over, and those that an earlier one lacks have defaults.
#[test]
fn messages_of_other_builds_are_read() {
    let report = book("vm-0").report(&id("vm-1"), START);
    let bytes = rmp_serde::to_vec_named(&report).unwrap();
    assert_eq!(rmp_serde::from_slice::<UsageReport>(&bytes).unwrap(), report);
    let text =
        r#"{"vm":"vm-0","start":1,"number":1,"later":[1],"entries":[{"id":"org","more":2}]}"#;
    let value: serde_json::Value = serde_json::from_str(text).unwrap();
    let bytes = rmp_serde::to_vec_named(&value).unwrap();
    let read: UsageReport = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!((read.entries[0].used, read.full), (0, false));
}

/// Load: one VM receives the reports of all. Guards against one with a link that they fill.
#[test]
fn the_vm_with_the_largest_link_gives_out_tokens() {
    let links = [None, Some(10), Some(200), Some(10)];
    for shift in 0..links.len() {
        let mut book = book("vm-0");
        let link = |it: usize| links[(it + shift) % links.len()].map(Mbit);
        book.set_members((0..links.len()).map(|it| (id(&format!("vm-{it}")), link(it))), START);
        let keeper = (0..links.len()).find(|it| link(*it) == Some(Mbit(200))).unwrap();
        assert_eq!(book.keeper(START).to_string(), format!("vm-{keeper}"));
    }
}

/// Guards against a keeper that ends, or gives out more than there is, at numbers of another VM that cannot be.
#[test]
fn absurd_numbers_of_another_vm_end_no_keeper() {
    let mut book = book("vm-0");
    book.set_members([(id("vm-1"), Some(Mbit(u32::MAX)))], SETTLED);
    let (mut number, mut now) = (0, SETTLED);
    for asked in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, f32::MAX, -1.0, 0.0] {
        for (used, tokens, wanted) in [
            (u32::MAX, u32::MAX, u32::MAX),
            (u32::MAX, 1, u32::MAX),
            (u32::MAX - 1, u32::MAX, 0),
            (0, u32::MAX, u32::MAX),
            (0, 0, u32::MAX),
        ] {
            for start in [Time(0), Time(u64::MAX - number), Time(u64::MAX), START] {
                number += 1;
                now = now.after(Millis(150));
                let entry = UsageEntry { id: id("org"), used, tokens, wanted, asked };
                let report = UsageReport {
                    vm: id("vm-1"),
                    start,
                    number,
                    settled: true,
                    young: false,
                    full: true,
                    entries: vec![entry.clone(), entry],
                };
                let answer = book.on_report(report, now);
                let given: i64 = answer.grants.iter().map(|it| i64::from(it.change)).sum();
                let most = QuotaLimits::default().allowed(quotas(100.0, 100.0)[&id("org")]);
                assert!(given as f64 <= most, "{given} of {most} tokens");
            }
        }
    }
    // The same numbers in an answer.
    let (mut vm, keeper) = follower(i32::MAX);
    for change in [i32::MAX, i32::MAX, i32::MIN, i32::MAX] {
        let report = vm.report(&keeper, SETTLED);
        vm.on_answer(grant(report.number, change), SETTLED);
    }
    assert!(vm.take(&id("org"), SETTLED).is_ok());
    vm.give_back(&id("org"));
}
