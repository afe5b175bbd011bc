//! Tests of membership: suspicion, refutation, death, partitions, pauses and replaced VMs.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use th_protocol::{
    BundleHead, CheckAnswer, Digest, HeadroomDigest, Heartbeat, Incarnation, LeavingNotice,
    LeavingSource, MemberState, Millis, PeerRecord, Permille, Time, Version, VmId,
};
use th_steer::member::{Headroom, MemberAction, MemberSettings, Members, Seed, choose_watchers};

const STEP: Millis = Millis(100);

fn record(i: usize) -> PeerRecord {
    PeerRecord {
        vm: format!("entry-{i}").parse().unwrap(),
        zone: format!("zone-{}", i % 3).parse().unwrap(),
        address: format!("10.0.0.{i}:7000").parse().unwrap(),
        callers: format!("10.0.0.{i}:8000").parse().unwrap(),
        origin: Time::ZERO,
        incarnation: Incarnation(100),
        beat: 0,
        state: MemberState::Live,
    }
}

fn vm(i: usize) -> VmId {
    record(i).vm
}

fn seeds(count: usize) -> Vec<Seed> {
    let mut seeds = Vec::new();
    for i in 0..count {
        let PeerRecord { vm, zone, address, state, .. } = record(i);
        seeds.push(Seed { vm, zone, address, state });
    }
    seeds
}

/// Entry VMs whose messages are delivered at once or dropped.
struct Fleet {
    now: Time,
    members: Vec<Members>,
    paused: Vec<bool>,
    /// Whether two VMs cannot reach each other.
    cut: Box<dyn Fn(usize, usize) -> bool>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let mut members = Vec::new();
        for i in 0..count {
            let mut member = Members::new(MemberSettings::default(), record(i), Time(0));
            member.on_vm_list(&seeds(count), Time(0));
            members.push(member);
        }
        Fleet {
            now: Time(0),
            members,
            paused: vec![false; count],
            cut: Box::new(|_, _| false),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn is_linked(&self, i: usize, j: usize) -> bool {
        !self.paused[i] && !self.paused[j] && !(self.cut)(i, j)
    }

    fn run(&mut self, span: Millis) {
        let index: BTreeMap<VmId, usize> = (0..self.members.len()).map(|i| (vm(i), i)).collect();
        let end = self.now.after(span);
        while self.now < end {
            self.now = self.now.after(STEP);
            for i in 0..self.members.len() {
                if self.paused[i] {
                    continue;
                }
                let actions = self.members[i].tick(self.now, &mut self.rng);
                for action in actions {
                    self.perform(i, action, &index);
                }
            }
        }
    }

    fn perform(&mut self, i: usize, action: MemberAction, index: &BTreeMap<VmId, usize>) {
        let now = self.now;
        match action {
            MemberAction::Heartbeat { to, message, .. } => {
                let j = index[&to];
                if self.is_linked(i, j) {
                    let answer = self.members[j].on_heartbeat(&message, now);
                    self.members[i].on_answer(&answer, now);
                }
            }
            MemberAction::Check { via, message, .. } => {
                let (j, target) = (index[&via], index[&message.target.vm]);
                if self.is_linked(i, j) && self.is_linked(j, target) {
                    let heartbeat = self.members[j].on_check(&message);
                    let answer = self.members[target].on_heartbeat(&heartbeat, now);
                    let answer = CheckAnswer { record: Some(answer.from) };
                    self.members[i].on_check_answer(&answer, now);
                }
            }
        }
    }

    fn state(&self, at: usize, of: usize) -> MemberState {
        self.members[at].record(&vm(of)).map_or(MemberState::Dead, |record| record.state)
    }

    /// Whether all other VMs that are not paused record `of` in that state.
    fn all_see(&self, of: usize, state: MemberState) -> bool {
        (0..self.members.len()).all(|i| i == of || self.paused[i] || self.state(i, of) == state)
    }
}

#[rstest]
fn a_dead_vm_is_declared_dead_by_all(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(12, seed);
    fleet.run(Millis(5_000));
    fleet.paused[4] = true;
    fleet.run(Millis(20_000));
    assert!(fleet.all_see(4, MemberState::Dead), "seed {seed}");
    for i in 0..12 {
        assert!(i == 4 || fleet.all_see(i, MemberState::Live), "seed {seed}, VM {i}");
    }
}

#[rstest]
fn a_paused_vm_refutes_and_does_not_suspect_the_others(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(12, seed);
    fleet.run(Millis(5_000));
    fleet.paused[4] = true;
    fleet.run(Millis(20_000));
    fleet.paused[4] = false;
    fleet.run(Millis(20_000));
    for i in 0..12 {
        assert!(fleet.all_see(i, MemberState::Live), "seed {seed}, VM {i}");
    }
    assert_eq!(fleet.members[4].counts().suspected, 0);
    assert!(0 < fleet.members[4].counts().refuted);
}

#[rstest]
fn a_lost_link_between_two_vms_declares_neither_dead(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(12, seed);
    fleet.cut = Box::new(|i, j| (i.min(j), i.max(j)) == (2, 7));
    fleet.run(Millis(30_000));
    for i in 0..12 {
        assert!(fleet.all_see(i, MemberState::Live), "seed {seed}, VM {i}");
    }
}

#[rstest]
fn both_sides_of_a_partition_find_each_other_again(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::new(12, seed);
    fleet.run(Millis(5_000));
    fleet.cut = Box::new(|i, j| (i < 4) != (j < 4));
    fleet.run(Millis(30_000));
    assert_eq!(fleet.state(0, 8), MemberState::Dead);
    assert_eq!(fleet.state(0, 3), MemberState::Live);
    fleet.cut = Box::new(|_, _| false);
    fleet.run(Millis(60_000));
    for i in 0..12 {
        assert!(fleet.all_see(i, MemberState::Live), "seed {seed}, VM {i}");
    }
}

#[test]
fn leaving_is_announced_and_a_stale_record_does_not_revert_it() {
    let mut fleet = Fleet::new(12, 5);
    fleet.run(Millis(5_000));
    fleet.members[3].leave();
    fleet.run(Millis(10_000));
    assert!(fleet.all_see(3, MemberState::Leaving));
    fleet.members[0].on_records(&[record(3)], fleet.now);
    assert_eq!(fleet.state(0, 3), MemberState::Leaving);
}

#[test]
fn the_lagging_list_neither_revives_dead_vms_nor_removes_live_ones() {
    let mut fleet = Fleet::new(6, 6);
    fleet.run(Millis(5_000));
    fleet.paused[4] = true;
    fleet.run(Millis(20_000));
    let now = fleet.now;
    fleet.members[0].on_vm_list(&seeds(6), now);
    assert_eq!(fleet.state(0, 4), MemberState::Dead);
    // The list now lacks the dead VM 4 and the live VM 5.
    fleet.members[0].on_vm_list(&seeds(4), now);
    assert!(fleet.members[0].record(&vm(4)).is_none());
    assert_eq!(fleet.state(0, 5), MemberState::Live);
}

#[test]
fn a_vm_learns_that_it_was_replaced() {
    let mut member = Members::new(MemberSettings::default(), record(0), Time(0));
    let later = PeerRecord { incarnation: Incarnation(101), ..record(0) };
    member.on_records(&[later], Time(0));
    assert_eq!(member.replaced_by(), Some(Incarnation(101)));
    assert_eq!(member.me().beat, 0);
}

#[test]
fn a_paused_vm_does_not_count_others_as_unresponsive() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let mut member = Members::new(MemberSettings::default(), record(0), Time(0));
    member.on_vm_list(&seeds(4), Time(0));
    let suspect = PeerRecord { state: MemberState::Suspect, ..record(1) };
    member.on_records(&[suspect], Time(1_000));
    assert!(!member.tick(Time(1_000), &mut rng).is_empty());
    let actions = member.tick(Time(61_000), &mut rng);
    assert!(!actions.iter().any(|action| matches!(action, MemberAction::Check { .. })));
    assert_eq!(member.counts().suspected, 0);
    assert_eq!(member.record(&vm(1)).unwrap().state, MemberState::Suspect);
}

#[test]
fn watchers_are_few_live_and_the_same_for_all() {
    let mut records: Vec<PeerRecord> = (0..30).map(record).collect();
    let zone = record(0).zone;
    let chosen = choose_watchers(records.iter(), &zone, 2);
    assert_eq!(chosen.len(), 2);
    records.reverse();
    assert_eq!(choose_watchers(records.iter(), &zone, 2), chosen);
    for record in &mut records {
        if record.vm == chosen[0] {
            record.state = MemberState::Suspect;
        }
    }
    let next = choose_watchers(records.iter(), &zone, 2);
    assert_eq!(next[0], chosen[1]);
    assert!(!next.contains(&chosen[0]));
}

#[test]
fn the_newest_headroom_digest_is_kept() {
    let mut headroom = Headroom::default();
    let digest = |free, age| HeadroomDigest {
        region: "north".parse().unwrap(),
        zone: "zone-1".parse().unwrap(),
        free: Permille(free),
        age: Millis(age),
    };
    headroom.merge(&digest(500, 100), Time(10_000));
    headroom.merge(&digest(900, 4_000), Time(12_000));
    assert_eq!(headroom.digests(Time(12_000)).next(), Some(digest(500, 2_100)));
    headroom.expire(Millis(2_000), Time(12_000));
    assert_eq!(headroom.digests(Time(12_000)).count(), 0);
}

const STATES: [MemberState; 4] =
    [MemberState::Live, MemberState::Leaving, MemberState::Suspect, MemberState::Dead];

fn any_record() -> impl Strategy<Value = PeerRecord> {
    (0usize..6, any::<u64>(), any::<u32>(), 0usize..4).prop_map(|(i, incarnation, beat, state)| {
        let incarnation = Incarnation(incarnation);
        PeerRecord { incarnation, beat, state: STATES[state], ..record(i) }
    })
}

prop_compose! {
    fn any_heartbeat()(
        from in any_record(),
        records in prop::collection::vec(any_record(), 0..8),
        version: u64,
        digest: [u8; 32],
        age: u64,
    ) -> Heartbeat {
        let backend = "b1".parse().unwrap();
        Heartbeat {
            from,
            clock: Time(age),
            head: Some(BundleHead { version: Version(version), digest: Digest::from_bytes(digest) }),
            headroom: Vec::new(),
            leaving: vec![LeavingNotice { backend, source: LeavingSource::Own, age: Millis(age) }],
            records,
        }
    }
}

proptest! {
    #[test]
    fn a_heartbeat_survives_encoding_and_decoding(message in any_heartbeat()) {
        let bytes = rmp_serde::to_vec(&message).unwrap();
        prop_assert_eq!(rmp_serde::from_slice::<Heartbeat>(&bytes).unwrap(), message);
    }

    #[test]
    fn other_bytes_are_rejected_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = rmp_serde::from_slice::<Heartbeat>(&bytes);
    }

    /// Whatever records arrive in whatever order, known records only advance in precedence and this
    /// VM's own record stays live.
    #[test]
    fn records_only_advance(messages in prop::collection::vec(any_heartbeat(), 1..20)) {
        let mut member = Members::new(MemberSettings::default(), record(0), Time(0));
        member.on_vm_list(&seeds(6), Time(0));
        for (i, message) in messages.iter().enumerate() {
            let before: Vec<PeerRecord> = member.records().cloned().collect();
            member.on_heartbeat(message, Time(i as u64 * 100));
            for old in before {
                let new = member.record(&old.vm).unwrap();
                prop_assert!(old.precedence() <= new.precedence());
            }
            prop_assert_eq!(member.me().state, MemberState::Live);
        }
    }
}
