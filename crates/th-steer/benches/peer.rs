//! Measures encoding and decoding of a heartbeat.

#[path = "../examples/member_measure/sample.rs"]
#[allow(dead_code, reason = "only records and headroom are used")]
mod sample;

use std::hint::black_box;

use criterion::Criterion;
use th_protocol::{Heartbeat, Time};

/// Number of records of other VMs in the heartbeat.
const RECORDS: usize = 5;

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let message = Heartbeat {
        from: sample::record(0),
        clock: Time(1_000_000),
        head: Some(sample::head(1)),
        headroom: sample::headroom(0),
        leaving: Vec::new(),
        records: (1..=RECORDS).map(sample::record).collect(),
    };
    let bytes = rmp_serde::to_vec(&message).expect("messages are plain data");
    criterion.bench_function("heartbeat encode", |b| {
        b.iter(|| rmp_serde::to_vec(black_box(&message)).expect("messages are plain data"));
    });
    criterion.bench_function("heartbeat decode", |b| {
        b.iter(|| {
            let read: Heartbeat =
                rmp_serde::from_slice(black_box(&bytes)).expect("the message was just encoded");
            read
        });
    });
    criterion.final_summary();
}
