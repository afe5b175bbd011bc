//! Memory held for slow callers. A hundred callers that read slowly keep their answers in memory for minutes; meanwhile
//! others download, and small requests go on.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use th_protocol::{Bytes, Millis, Time};
use th_steer::held::{Admission, HeldKind, HeldMemory, HeldSettings, Lack};

const LIMIT: Bytes = Bytes(8_000_000);
const DOWNLOAD: Bytes = Bytes(90_000);
const SMALL: Bytes = Bytes(500);

/// A time by which any answer is carried.
const NO_DEADLINE: Time = Time(u64::MAX);

fn settings() -> HeldSettings {
    HeldSettings { limit: LIMIT, ..HeldSettings::default() }
}

fn memory() -> HeldMemory {
    HeldMemory::new(settings())
}

/// Guards against memory that is counted for one kind only.
#[test]
fn all_kinds_share_one_limit() {
    let mut memory = memory();
    for kind in HeldKind::ALL {
        memory.hold(kind, Bytes(LIMIT.0 / 4 - 1));
    }
    assert_eq!(memory.total(), Bytes(LIMIT.0 - 4));
    assert!(memory.fits(HeldKind::Answers, Bytes(4)));
    assert!(!memory.try_hold(HeldKind::Answers, Bytes(5)));
    memory.release(HeldKind::Connections, Bytes(1));
    assert!(memory.try_hold(HeldKind::Answers, Bytes(5)));
    assert_eq!(memory.total(), LIMIT);
}

/// Guards against uploads that leave no room for the answers to them.
#[test]
fn requests_take_no_more_than_half() {
    let mut memory = memory();
    assert!(memory.try_hold(HeldKind::Requests, Bytes(LIMIT.0 / 2)));
    assert!(!memory.try_hold(HeldKind::Requests, Bytes(1)));
    assert!(memory.try_hold(HeldKind::Answers, Bytes(LIMIT.0 / 2)));
}

/// Many idle connections, which cannot be turned away for lack of memory. Guards against a VM that serves nothing because
/// of them.
#[test]
fn connections_leave_half_to_messages() {
    let mut memory = memory();
    memory.hold(HeldKind::Connections, LIMIT);
    let reserved = memory.admit(DOWNLOAD, NO_DEADLINE, Time(1));
    assert_eq!(reserved, Admission::Reserved(DOWNLOAD));
    assert!(memory.try_hold(HeldKind::Requests, Bytes(LIMIT.0 / 2 - DOWNLOAD.0)));
    assert!(!memory.try_hold(HeldKind::Answers, Bytes(1)));
}

/// Guards against a request that is refused for ever, since the answers of its route are very large.
#[rstest]
#[case::small(SMALL)]
#[case::download(DOWNLOAD)]
#[case::half(Bytes(LIMIT.0 / 2))]
#[case::more_than_all(Bytes(LIMIT.0 * 2))]
fn an_idle_vm_admits_any_answer(#[case] expected: Bytes) {
    let mut memory = memory();
    let Admission::Reserved(reserved) = memory.admit(expected, NO_DEADLINE, Time(1)) else {
        panic!("refused at an idle VM");
    };
    assert_eq!(reserved, expected.min(memory.largest_message()));
    assert_eq!(memory.used(HeldKind::Expected), reserved);
}

/// Guards against large answers that push out small ones.
#[test]
fn large_answers_are_refused_before_small_ones() {
    let mut memory = memory();
    while let Admission::Reserved(_) = memory.admit(DOWNLOAD, NO_DEADLINE, Time(1)) {}
    let left = LIMIT.0 - memory.total().0;
    assert!(DOWNLOAD.0 <= left, "{left} B are left for small answers");
    for _ in 0..100 {
        assert_eq!(memory.admit(SMALL, NO_DEADLINE, Time(1)), Admission::Reserved(SMALL));
    }
}

/// Guards against callers that are all told to return at the same time.
#[rstest]
#[case::nothing_is_taken(0)]
#[case::slow(100_000)]
#[case::fast(20_000_000)]
fn rejected_callers_return_spread_over_time(#[case] rate: u64) {
    let mut memory = memory();
    for tick in 0..200 {
        memory.hold(HeldKind::Answers, Bytes(rate / 20));
        memory.release(HeldKind::Answers, Bytes(rate / 20));
        memory.tick(Time(tick * 50));
    }
    memory.hold(HeldKind::Answers, LIMIT);
    let mut returns: BTreeMap<Millis, u32> = BTreeMap::new();
    for _ in 0..160 {
        let Admission::Refused(Lack::Memory, after) =
            memory.admit(DOWNLOAD, NO_DEADLINE, Time(10_000))
        else {
            panic!("admitted without room");
        };
        let HeldSettings { backoff_min, backoff_max, .. } = settings();
        assert!((backoff_min..=backoff_max).contains(&after), "{after}");
        *returns.entry(after).or_default() += 1;
    }
    let most = returns.values().max().unwrap();
    assert!(*most <= 160 / 16 + 1, "{most} of 160 callers return together: {returns:?}");
}

/// A caller that takes its answer at some rate.
struct Reader {
    left: u64,
    size: u64,
    /// Bytes a millisecond.
    rate: u64,
}

/// Callers that start downloads and small requests, and take their answers; one step is a tenth of a second.
struct Load {
    memory: HeldMemory,
    readers: Vec<Reader>,
    now: Time,
}

impl Load {
    fn new(limit: Bytes) -> Load {
        let memory = HeldMemory::new(HeldSettings { limit, ..settings() });
        Load { memory, readers: Vec::new(), now: Time(1) }
    }

    /// Sends a request; its answer comes at once and whole.
    fn send(&mut self, size: Bytes, rate: u64) -> bool {
        let Admission::Reserved(reserved) = self.memory.admit(size, NO_DEADLINE, self.now) else {
            return false;
        };
        assert_eq!(reserved, size);
        self.memory.answer(size);
        self.readers.push(Reader { left: size.0, size: size.0, rate });
        assert!(self.memory.total() <= self.memory.limit(), "{}", self.memory.total());
        true
    }

    fn step(&mut self) {
        self.now = self.now.after(Millis(100));
        for reader in &mut self.readers {
            reader.left = reader.left.saturating_sub(reader.rate * 100);
            if reader.left == 0 {
                self.memory.release(HeldKind::Answers, Bytes(reader.size));
            }
        }
        self.readers.retain(|it| 0 < it.left);
        self.memory.tick(self.now);
    }
}

/// A hundred callers who read 1 KB a second, ten downloads and fifty small requests a second of others. Guards against
/// memory beyond its bound, against small requests that are refused, and against refusals while there is room.
#[rstest]
#[case::room_for_all(Bytes(20_000_000), true)]
#[case::room_for_some(LIMIT, false)]
fn slow_callers_leave_room_for_others(#[case] limit: Bytes, #[case] has_room: bool) {
    let mut load = Load::new(limit);
    let (mut slow, mut refused) = (0, 0);
    for _ in 0..600 {
        if slow < 100 && load.send(DOWNLOAD, 1) {
            slow += 1;
        }
        refused += u32::from(!load.send(DOWNLOAD, 1_000));
        for _ in 0..5 {
            assert!(load.send(SMALL, 1_000), "a small request is refused");
        }
        load.step();
    }
    assert_eq!(refused == 0, has_room, "{refused} downloads are refused");
    assert_eq!(slow == 100, has_room);
    // Once the slow callers have their answers, all is as before.
    for _ in 0..1_000 {
        load.step();
    }
    assert_eq!(load.memory.total(), Bytes::ZERO);
    assert!(load.send(DOWNLOAD, 1_000));
}

/// Guards against memory that is counted twice or lost when an answer differs from what was expected.
#[test]
fn an_answer_takes_what_was_reserved_for_it() {
    let mut memory = memory();
    assert_eq!(memory.admit(DOWNLOAD, NO_DEADLINE, Time(1)), Admission::Reserved(DOWNLOAD));
    memory.answer(SMALL);
    assert_eq!(memory.total(), DOWNLOAD);
    memory.release(HeldKind::Expected, Bytes(DOWNLOAD.0 - SMALL.0));
    assert_eq!(memory.used(HeldKind::Answers), SMALL);
    assert_eq!(memory.total(), SMALL);
    let kinds: BTreeSet<&str> = HeldKind::ALL.iter().map(|it| it.name()).collect();
    assert_eq!(kinds.len(), HeldKind::ALL.len());
}
