//! Stalled connections, and which requests may use which connections.

use rstest::rstest;
use th_protocol::{Connections, Millis, Time};
use th_steer::backend::{Generation, Pool, PoolSettings, PoolState};

const ALLOWED: Connections = Connections(4);
const START: Time = Time(10_000);

fn pool() -> Pool {
    Pool::new(PoolSettings { reuse_limit: Millis(2_000), stall_timeout: Millis(1_000) })
}

#[rstest]
#[case::recent_answer(2_000, true)]
#[case::old_answer(2_001, false)]
fn non_idempotent_requests_need_a_recently_responsive_connection(
    #[case] age: u64,
    #[case] same: bool,
) {
    let mut pool = pool();
    let first = pool.take(true, ALLOWED, START).unwrap();
    pool.on_progress(first, START);
    pool.release(first);
    let later = START.after(Millis(age));
    assert_eq!(pool.may_use(first, false, later), same);
    assert!(pool.may_use(first, true, later));
    assert_eq!(pool.take(false, ALLOWED, later).unwrap() == first, same);
}

#[test]
fn a_stall_retires_all_connections_of_the_generation() {
    let mut pool = pool();
    let first = pool.take(true, ALLOWED, START).unwrap();
    assert_eq!(pool.take(true, ALLOWED, START), Some(first));
    pool.on_progress(first, START);
    assert!(!pool.on_stall(first, START, START.after(Millis(999))));
    assert!(pool.on_stall(first, START, START.after(Millis(1_000))));
    assert_eq!(pool.state(first), PoolState::Retired);
    assert!(!pool.may_use(first, true, START.after(Millis(1_000))));
    let second = pool.take(true, ALLOWED, START.after(Millis(1_000))).unwrap();
    assert_ne!(second, first);
    // A late answer does not put the generation back into use.
    pool.on_progress(first, START.after(Millis(1_100)));
    assert_eq!(pool.state(first), PoolState::Retired);
    assert_eq!(pool.state(second), PoolState::Unanswered);
}

#[test]
fn connections_of_retired_generations_count_until_their_requests_end() {
    let mut pool = pool();
    for _ in 0..3 {
        pool.take(true, ALLOWED, START).unwrap();
    }
    let late = START.after(Millis(1_000));
    assert!(pool.on_stall(Generation(0), START, late));
    assert!(pool.take(true, ALLOWED, late).is_some());
    assert_eq!(pool.take(true, ALLOWED, late), None);
    assert_eq!(pool.open(), ALLOWED);
    pool.release(Generation(0));
    assert!(pool.take(true, ALLOWED, late).is_some());
}

#[test]
fn a_retired_generation_is_closed_once_its_requests_end() {
    let mut pool = pool();
    let first = pool.take(false, ALLOWED, START).unwrap();
    pool.retire(first);
    assert_eq!(pool.generations().count(), 2);
    pool.release(first);
    assert_eq!(pool.generations().collect::<Vec<_>>(), [Generation(1)]);
}

#[test]
fn a_lowered_allowance_closes_idle_connections() {
    let mut pool = pool();
    for _ in 0..3 {
        pool.take(true, ALLOWED, START).unwrap();
    }
    pool.release(Generation(0));
    pool.release(Generation(0));
    assert_eq!(pool.open(), Connections(3));
    pool.shrink(Connections(2));
    assert_eq!(pool.open(), Connections(1));
    assert!(pool.take(true, Connections(2), START).is_some());
    assert_eq!(pool.take(true, Connections(2), START), None);
}
