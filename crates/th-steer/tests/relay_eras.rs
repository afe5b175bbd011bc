//! A store that comes back from an older copy: what VMs pass on, and which items are from the copy.

use std::collections::BTreeMap;

use rstest::rstest;
use th_protocol::{Era, Millis, Revision, StoreMoment, Time};
use th_steer::relay::{
    ChangeLog, ItemChange, LastWrites, News, NewsError, Write, WriteMark, WriteOrder,
};

const START: Time = Time(100_000);

fn at(era: u64, revision: u64) -> StoreMoment {
    StoreMoment::new(Era(era), Revision(revision))
}

fn put(key: &str, moment: StoreMoment) -> ItemChange {
    let value = Some(format!("{key}@{moment}").into_bytes());
    ItemChange { key: key.to_owned(), value, moment }
}

fn removal(key: &str, moment: StoreMoment) -> ItemChange {
    ItemChange { value: None, ..put(key, moment) }
}

fn keys(changes: Option<Vec<ItemChange>>) -> Option<Vec<String>> {
    Some(changes?.into_iter().map(|it| it.key).collect())
}

/// A log that knew era 1 up to revision 20, and then the differences of the copy, read at revision 15 of era 2.
fn log() -> ChangeLog {
    let mut log = ChangeLog::default();
    log.reset(at(1, 10), START);
    log.append(vec![put("kept", at(1, 12)), put("lost", at(1, 18))], at(1, 20), START, START);
    let changes = vec![put("new", at(2, 14)), removal("lost", at(2, 15))];
    log.append(changes, at(2, 15), START, START);
    log
}

#[rstest]
#[case::before_what_is_known(at(1, 9), None)]
#[case::before_a_change_that_was_kept(at(1, 11), Some(vec!["kept", "new", "lost"]))]
#[case::after_it(at(1, 12), Some(vec!["new", "lost"]))]
#[case::up_to_date_in_the_old_era(at(1, 20), Some(vec!["new", "lost"]))]
#[case::beyond_what_is_known_of_the_old_era(at(1, 21), None)]
#[case::in_the_new_era_before_it_was_read(at(2, 14), None)]
#[case::up_to_date(at(2, 15), Some(vec![]))]
#[case::ahead(at(2, 16), Some(vec![]))]
#[case::in_an_era_that_was_not_seen(at(3, 1), None)]
fn a_vm_of_any_era_gets_all_that_it_lacks_or_is_told_to_read(
    #[case] after: StoreMoment,
    #[case] expected: Option<Vec<&str>>,
) {
    let expected: Option<Vec<String>> =
        expected.map(|it| it.into_iter().map(str::to_owned).collect());
    assert_eq!(keys(log().since(after)), expected);
}

/// Three eras, the second one not seen by the log: what a VM knows of it may be lost.
#[test]
fn an_era_that_was_skipped_is_not_continued_from() {
    let mut log = ChangeLog::default();
    log.reset(at(1, 10), START);
    log.append(Vec::new(), at(3, 8), START, START);
    assert_eq!(keys(log.since(at(1, 10))), Some(vec![]));
    assert_eq!(keys(log.since(at(2, 9))), None);
    assert_eq!(keys(log.since(at(3, 8))), Some(vec![]));
}

/// Answers of two eras that arrive crossed.
#[test]
fn changes_of_an_earlier_era_are_never_put_over_later_ones() {
    let mut log = log();
    let later = START.after(Millis(500));
    log.append(vec![put("late", at(1, 400))], at(1, 400), later, later);
    assert_eq!((log.at(), log.current()), (at(2, 15), START));
    assert_eq!(keys(log.since(at(1, 20))), Some(vec!["new".to_owned(), "lost".to_owned()]));
}

#[test]
fn an_earlier_era_is_forgotten_with_its_changes() {
    let mut log = log();
    let later = START.after(Millis(60_000));
    log.append(vec![put("next", at(2, 30))], at(2, 30), later, later);
    assert_eq!(log.since(at(1, 20)), None);
    assert_eq!(keys(log.since(at(2, 15))), Some(vec!["next".to_owned()]));
}

/// Runs random writes, returns from copies, and questions of VMs: whoever gets an answer ends with the store's items.
#[test]
fn a_vm_that_continues_from_any_era_has_the_items_of_the_store() {
    for seed in 0..200_u64 {
        let mut random = seed * 0x9E37_79B9 + 1;
        let mut below = |bound: u64| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888);
            (random >> 33) % bound
        };
        let mut items: BTreeMap<String, StoreMoment> = BTreeMap::new();
        let (mut moment, mut copy) = (at(1, 1), (at(1, 1), items.clone()));
        let mut log = ChangeLog::default();
        log.reset(moment, START);
        let mut states = vec![(moment, items.clone())];
        for _ in 0..60 {
            match below(10) {
                0 => copy = (moment, items.clone()),
                1 if copy.0.era == moment.era => {
                    let known = items;
                    moment = StoreMoment::new(Era(moment.era.0 + 1), copy.0.revision);
                    items = copy.1.clone();
                    copy = (moment, items.clone());
                    let mut changes = Vec::new();
                    for (key, written) in &items {
                        if known.get(key) != Some(written) {
                            let moment = StoreMoment::new(moment.era, written.revision);
                            changes.push(ItemChange { moment, ..put(key, *written) });
                        }
                    }
                    for key in known.keys().filter(|it| !items.contains_key(*it)) {
                        changes.push(removal(key, moment));
                    }
                    log.append(changes, moment, START, START);
                    states.push((moment, items.clone()));
                }
                choice => {
                    moment.revision = Revision(moment.revision.0 + 1);
                    let key = format!("k{}", below(4));
                    let change = if choice < 4 { removal(&key, moment) } else { put(&key, moment) };
                    if change.value.is_some() {
                        items.insert(key, moment);
                    } else {
                        items.remove(&key);
                    }
                    log.append(vec![change], moment, START, START);
                    states.push((moment, items.clone()));
                }
            }
        }
        for (after, mut state) in states {
            for change in log.since(after).into_iter().flatten() {
                let value = change.value.map(|it| String::from_utf8(it).unwrap());
                match value.and_then(|it| it.split_once('@').unwrap().1.parse().ok()) {
                    Some(written) => state.insert(change.key, written),
                    None => state.remove(&change.key),
                };
            }
            assert_eq!(state, items, "seed {seed}, from {after}");
        }
    }
}

fn mark(start: u64, count: u64) -> Option<WriteMark> {
    Some(WriteMark { start, count })
}

fn write(moment: StoreMoment, mark: Option<WriteMark>) -> Write {
    Write { moment, mark, is_awaited: false }
}

/// A server was ready with its third write and draining with its fifth, in era 1.
#[rstest]
#[case::ready_in_the_copy(at(2, 8), mark(70, 3), true)]
#[case::written_again_by_the_server(at(2, 8), mark(70, 6), false)]
#[case::the_last_write_in_the_copy(at(2, 8), mark(70, 5), false)]
#[case::the_start_before_in_the_copy(at(2, 8), mark(60, 90), true)]
#[case::started_again(at(2, 8), mark(80, 1), false)]
#[case::no_order_stated(at(2, 8), None, false)]
#[case::held_up_in_the_same_era(at(1, 40), mark(70, 3), true)]
#[case::before_the_last_start_in_the_same_era(at(1, 40), mark(60, 90), true)]
#[case::next_in_the_same_era(at(1, 40), mark(70, 6), false)]
#[case::the_same_write_in_the_same_era(at(1, 40), mark(70, 5), false)]
#[case::started_again_in_the_same_era(at(1, 40), mark(80, 0), false)]
#[case::no_order_stated_in_the_same_era(at(1, 40), None, false)]
fn a_server_that_drains_is_not_made_ready_by_an_earlier_write(
    #[case] moment: StoreMoment,
    #[case] read: Option<WriteMark>,
    #[case] expected: bool,
) {
    let mut writes = LastWrites::default();
    writes.on_put("s", write(at(1, 8), mark(70, 3)), START);
    writes.on_put("s", write(at(1, 20), mark(70, 5)), START);
    let order = writes.on_put("s", write(moment, read), START);
    assert_eq!(order, if expected { WriteOrder::Outdated } else { WriteOrder::Latest });
}

#[rstest]
#[case::in_the_copy(mark(70, 5), true)]
#[case::written_again(mark(70, 6), false)]
fn a_server_that_has_left_is_not_brought_back_by_the_copy(
    #[case] read: Option<WriteMark>,
    #[case] expected: bool,
) {
    let mut writes = LastWrites::default();
    writes.on_put("s", write(at(1, 20), mark(70, 5)), START);
    writes.on_removed("s", Era(1), START);
    assert_eq!(writes.is_from_copy("s", at(2, 20), read), expected);
    // Once it was removed in the new era too, what is written there is judged like any other write.
    writes.on_removed("s", Era(2), START);
    assert!(!writes.is_from_copy("s", at(2, 30), read));
    let order = writes.on_put("s", write(at(2, 30), read), START);
    assert_eq!(order, if expected { WriteOrder::Outdated } else { WriteOrder::Unconfirmed });
}

/// A server was removed after its fifth write. Guards against the return of a server that is gone, by a write that was on its
/// way when its entry was removed, and against live ones that stay out of use.
#[rstest]
#[case::one_that_was_seen(&[(70, 5)], WriteOrder::Outdated)]
#[case::one_from_before(&[(70, 2)], WriteOrder::Outdated)]
#[case::one_that_was_not_seen(&[(70, 6)], WriteOrder::Unconfirmed)]
#[case::the_same_once_more(&[(70, 6), (70, 6)], WriteOrder::Outdated)]
#[case::two_that_come_crossed(&[(70, 7), (70, 6)], WriteOrder::Outdated)]
#[case::it_goes_on_writing(&[(70, 6), (70, 7)], WriteOrder::Latest)]
#[case::some_of_its_writes_are_not_passed_on(&[(70, 9), (70, 14)], WriteOrder::Latest)]
#[case::it_started_again(&[(80, 0)], WriteOrder::Latest)]
#[case::its_clock_was_set_back(&[(60, 0)], WriteOrder::Unconfirmed)]
#[case::and_it_goes_on_writing(&[(60, 0), (60, 1)], WriteOrder::Latest)]
#[case::two_starts_in_turn(&[(60, 0), (70, 6)], WriteOrder::Unconfirmed)]
fn a_removed_server_is_back_once_it_goes_on_writing(
    #[case] written: &[(u64, u64)],
    #[case] expected: WriteOrder,
) {
    let mut writes = LastWrites::default();
    writes.on_put("s", write(at(1, 20), mark(70, 5)), START);
    writes.on_removed("s", Era(1), START);
    let mut last = None;
    for (number, (start, count)) in (30..).zip(written) {
        let now = START.after(Millis(number * 50));
        last = Some(writes.on_put("s", write(at(1, number), mark(*start, *count)), now));
    }
    assert_eq!(last, Some(expected));
}

/// A write can be on its way for some seconds only, and a server may be alive whose removal is not applied yet.
#[rstest]
#[case::soon(Millis(9_000), false, WriteOrder::Unconfirmed)]
#[case::later(Millis(11_000), false, WriteOrder::Latest)]
#[case::awaited(Millis(1_000), true, WriteOrder::Latest)]
fn a_single_write_is_enough_where_it_cannot_be_late(
    #[case] after: Millis,
    #[case] is_awaited: bool,
    #[case] expected: WriteOrder,
) {
    let mut writes = LastWrites::default();
    writes.on_put("s", write(at(1, 20), mark(70, 5)), START);
    writes.on_removed("s", Era(1), START);
    let next = Write { is_awaited, ..write(at(1, 30), mark(70, 6)) };
    assert_eq!(writes.on_put("s", next, START.after(after)), expected);
    let outdated = Write { is_awaited, ..write(at(1, 31), mark(70, 4)) };
    assert_eq!(writes.on_put("s", outdated, START.after(after)), WriteOrder::Outdated);
}

/// Guards against a server that started again with its clock set back and is taken for its own past while the entry stands.
#[test]
fn an_earlier_start_that_goes_on_writing_is_a_new_one() {
    let mut writes = LastWrites::default();
    writes.on_put("s", write(at(1, 20), mark(70, 5)), START);
    assert_eq!(writes.on_put("s", write(at(1, 21), mark(60, 3)), START), WriteOrder::Outdated);
    assert_eq!(writes.on_put("s", write(at(1, 22), mark(60, 4)), START), WriteOrder::Latest);
}

#[rstest]
#[case::in_the_copy(at(2, 20), true)]
#[case::written_again(at(2, 33), false)]
fn an_evacuation_that_was_taken_back_is_not_brought_back_by_the_copy(
    #[case] moment: StoreMoment,
    #[case] expected: bool,
) {
    let mut writes = LastWrites::default();
    writes.on_put("e", write(at(1, 20), None), START);
    assert!(!writes.is_from_copy("e", moment, None), "it is in force");
    writes.on_removed("e", Era(1), START);
    assert_eq!(writes.is_from_copy("e", moment, None), expected);
}

/// Guards against knowledge of an earlier era that is put over a later one, and against builds that do not tell eras apart.
#[rstest]
#[case::current(News { age: Millis(900), era: Era(2), is_stated: true }, Ok(()))]
#[case::of_a_later_era(News { age: Millis(900), era: Era(4), is_stated: true }, Ok(()))]
#[case::old(News { age: Millis(1_501), era: Era(2), is_stated: true }, Err(NewsError::Old(Millis(1_501), Millis(1_500))))]
#[case::of_an_earlier_era(News { age: Millis(0), era: Era(1), is_stated: true }, Err(NewsError::EarlierEra(Era(1), Era(2))))]
#[case::of_an_earlier_build(News { age: Millis(0), era: Era(2), is_stated: false }, Err(NewsError::Unsure(Era(3))))]
fn what_another_vm_passes_on_is_checked(
    #[case] news: News,
    #[case] expected: Result<(), NewsError>,
) {
    assert_eq!(news.check(Millis(1_500), Era(2), Era(3)), expected);
}

/// A store that states no era, or that has not come back since: earlier builds are followed.
#[test]
fn an_earlier_build_is_followed_while_the_era_stays() {
    for era in [Era::ZERO, Era(2)] {
        let news = News { age: Millis(10), era, is_stated: false };
        assert_eq!(news.check(Millis(1_500), era, era), Ok(()));
    }
}

/// A VM that cannot reach the store is better off with some changes than with none.
#[test]
fn kept_changes_are_given_where_not_all_are_known() {
    let log = log();
    assert_eq!(log.since(at(1, 21)), None);
    let kept: Vec<String> = log.kept(at(1, 21)).into_iter().map(|it| it.key).collect();
    assert_eq!(kept, ["new", "lost"]);
}
