//! Changes of the store that VMs pass on: completeness of what is passed on, and the choice of whom to ask.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use th_protocol::{Era, Mbit, Millis, Revision, StoreMoment, Time, VmId};
use th_steer::relay::{ChangeLog, ItemChange, Source, Upstream};

const START: Time = Time(100_000);

/// A moment of the first era.
fn at(revision: u64) -> StoreMoment {
    StoreMoment::new(Era(1), Revision(revision))
}

fn put(key: &str, revision: u64) -> ItemChange {
    let value = Some(format!("{key}@{revision}").into_bytes());
    ItemChange { key: key.to_owned(), value, moment: at(revision) }
}

fn removal(key: &str, revision: u64) -> ItemChange {
    ItemChange { value: None, ..put(key, revision) }
}

fn vms(count: usize) -> Vec<VmId> {
    (1..=count).map(|it| format!("vm-{it}").parse().unwrap()).collect()
}

/// VMs whose links are not known.
fn unknown_links(vms: &[VmId]) -> BTreeMap<VmId, Option<Mbit>> {
    vms.iter().map(|it| (it.clone(), None)).collect()
}

/// Applies changes to a copy of the items.
fn apply(items: &mut BTreeMap<String, Vec<u8>>, changes: Vec<ItemChange>) {
    for change in changes {
        match change.value {
            Some(value) => items.insert(change.key, value),
            None => items.remove(&change.key),
        };
    }
}

/// Whatever the revision that a VM continues from, it ends with the same items as one that saw each change.
#[test]
fn a_vm_that_continues_anywhere_reaches_the_same_items() {
    let mut log = ChangeLog::default();
    log.reset(at(10), START);
    let mut states = vec![(at(10), BTreeMap::new())];
    let mut items = BTreeMap::new();
    for step in 1..=60_u64 {
        // Two items change in one revision.
        let (first, second) = (format!("k{}", step % 7), format!("k{}", step % 5 + 10));
        let changes = match step % 4 {
            0 => vec![removal(&first, 10 + step), put(&second, 10 + step)],
            _ => vec![put(&first, 10 + step), put(&second, 10 + step)],
        };
        apply(&mut items, changes.clone());
        log.append(changes, at(10 + step), START, START.after(Millis(step)));
        states.push((at(10 + step), items.clone()));
    }
    for (revision, mut state) in states {
        apply(&mut state, log.since(revision).unwrap());
        assert_eq!(state, items, "from {revision}");
    }
    assert_eq!(log.since(at(9)), None, "older changes are not known");
    assert_eq!(log.since(at(70)), Some(Vec::new()));
}

#[test]
fn a_log_knows_nothing_before_its_start() {
    let mut log = ChangeLog::default();
    assert_eq!(log.since(at(5)), None);
    log.append(vec![put("a", 5)], at(5), START, START);
    assert_eq!(log.since(at(4)), None, "changes before the first one may be missing");
    log.reset(at(8), START);
    assert_eq!((log.since(at(8)), log.since(at(7))), (Some(Vec::new()), None));
}

/// A VM that follows one whose history was cut must read everything itself, until that one has read everything.
#[test]
fn a_cut_log_knows_nothing_until_it_starts_anew() {
    let mut log = ChangeLog::default();
    log.reset(at(5), START);
    log.append(vec![put("a", 6)], at(6), START, START);
    log.cut();
    assert_eq!((log.since(at(6)), log.since(at(5))), (None, None));
    let late = START.after(Millis(60_000));
    log.append(vec![put("b", 7)], at(7), late, late);
    assert_eq!((log.at(), log.since(at(6))), (at(7), None));
    log.reset(at(8), late);
    assert_eq!(log.since(at(8)), Some(Vec::new()));
}

/// The log of a fleet that changes all the time is bounded, and tells a VM that was away too long to read everything.
#[test]
fn old_changes_are_dropped() {
    let mut log = ChangeLog::default();
    log.reset(at(0), START);
    for step in 1..=1_000 {
        let now = START.after(Millis(step * 100));
        log.append(vec![put(&format!("k{step}"), step)], at(step), now, now);
    }
    let known = (0..=1_000).find(|it| log.since(at(*it)).is_some()).unwrap();
    assert!((800..=900).contains(&known), "known from {known}");
    assert_eq!(log.since(at(known)).unwrap().len() as u64, 1_000 - known);
    assert_eq!((log.at(), log.current()), (at(1_000), START.after(Millis(100_000))));
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(8)]
#[case(40)]
fn one_vm_of_a_data_centre_watches_the_store(#[case] count: usize) {
    let vms = vms(count);
    let mut asked = BTreeSet::new();
    let mut watchers = Vec::new();
    for vm in &vms {
        match Upstream::new(vm.clone()).choose(&unknown_links(&vms), START) {
            Source::Store => watchers.push(vm.clone()),
            Source::Peer(peer) => {
                asked.insert(peer);
            }
        }
    }
    assert_eq!(watchers.len(), 1);
    assert!(asked.iter().eq(watchers.iter().filter(|_| 1 < count)));
}

/// Guards against large changes that reach a data centre over the link of its smallest VM.
#[test]
fn the_vm_with_the_widest_link_watches_the_store() {
    let vms = vms(8);
    for wide in &vms {
        let mut links = unknown_links(&vms);
        for (vm, link) in links.iter_mut().take(6) {
            *link = Some(Mbit(if vm == wide { 200 } else { 10 }));
        }
        links.insert(wide.clone(), Some(Mbit(200)));
        for vm in &vms {
            let expected = if vm == wide { Source::Store } else { Source::Peer(wide.clone()) };
            assert_eq!(Upstream::new(vm.clone()).choose(&links, START), expected);
        }
    }
}

/// A VM whose sources fail one after the other ends at the store, and none is asked again at once.
#[test]
fn sources_that_fail_are_passed_over_for_a_while() {
    let vms = vms(6);
    for vm in &vms {
        let mut upstream = Upstream::new(vm.clone());
        let mut asked = Vec::new();
        while let Source::Peer(peer) = upstream.choose(&unknown_links(&vms), START) {
            assert!(!asked.contains(&peer) && peer != *vm);
            upstream.on_failure(peer.clone(), START);
            asked.push(peer);
        }
        let later = START.after(Millis(10_000));
        match upstream.choose(&unknown_links(&vms), later) {
            Source::Peer(peer) => assert_eq!(Some(&peer), asked.first()),
            Source::Store => assert!(asked.is_empty()),
        }
    }
}

/// A VM that is not registered, or whose view of the others is empty, watches the store.
#[test]
fn without_others_the_store_is_asked() {
    let own: VmId = "vm-9".parse().unwrap();
    assert_eq!(Upstream::new(own).choose(&BTreeMap::new(), START), Source::Store);
}

/// A VM that cannot reach the store, and may be the one that the others ask, finds another one that has not failed it.
#[test]
fn without_the_store_any_other_vm_is_asked() {
    let vms = vms(6);
    for vm in &vms {
        let mut upstream = Upstream::new(vm.clone());
        let mut asked = BTreeSet::new();
        while let Some(other) = upstream.choose_other(&unknown_links(&vms), START) {
            assert!(other != *vm && asked.insert(other.clone()));
            upstream.on_failure(other, START);
        }
        assert_eq!(asked.len(), vms.len() - 1);
        assert!(upstream.choose_other(&unknown_links(&vms), START.after(Millis(10_000))).is_some());
    }
    let own = vms[0].clone();
    assert_eq!(Upstream::new(own.clone()).choose_other(&unknown_links(&[own]), START), None);
}
