//! Counts and bounds each call to the platform's service.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use th_protocol::{Millis, Revision, VmRecord};
use tokio::time::timeout;

use crate::{Entry, Key, LeaseId, Platform, PlatformError, Result, Step, Write};

/// Calls so far of each kind, and how many of them failed or ended unknown.
#[derive(Debug, Default)]
pub struct Calls {
    made: [AtomicU64; Step::ALL.len()],
    failed: [AtomicU64; Step::ALL.len()],
}

impl Calls {
    /// Calls made of one kind.
    pub fn made(&self, step: Step) -> u64 {
        self.made[step as usize].load(Ordering::Relaxed)
    }

    /// Calls of one kind that brought no answer.
    pub fn failed(&self, step: Step) -> u64 {
        self.failed[step as usize].load(Ordering::Relaxed)
    }
}

/// A platform whose calls are counted and end within a bound.
pub struct Counted {
    inner: Arc<dyn Platform>,
    bound: Millis,
    calls: Arc<Calls>,
}

impl Counted {
    /// Bounds each call of `inner` to `bound`, a watch to its wait more.
    pub fn new(inner: Arc<dyn Platform>, bound: Millis) -> Counted {
        Counted { inner, bound, calls: Arc::default() }
    }

    /// The counters, which go on counting.
    pub fn calls(&self) -> Arc<Calls> {
        Arc::clone(&self.calls)
    }

    async fn run<T>(
        &self,
        step: Step,
        wait: Millis,
        call: impl Future<Output = T>,
    ) -> Result<T, PlatformError> {
        self.calls.made[step as usize].fetch_add(1, Ordering::Relaxed);
        let bound = Duration::from_millis(self.bound.plus(wait).0);
        timeout(bound, call).await.map_err(|_| PlatformError {
            step,
            peer: "the platform".to_owned(),
            cause: format!("no answer within {}", self.bound.plus(wait)),
        })
    }

    fn note(&self, step: Step, failed: bool) {
        if failed {
            self.calls.failed[step as usize].fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn reading<T>(
        &self,
        step: Step,
        wait: Millis,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let answer = self.run(step, wait, call).await.and_then(|it| it);
        self.note(step, answer.is_err());
        answer
    }

    async fn writing<T>(&self, step: Step, call: impl Future<Output = Write<T>>) -> Write<T> {
        let answer = self.run(step, Millis::ZERO, call).await.unwrap_or_else(Write::Unknown);
        self.note(step, matches!(answer, Write::Unknown(_)));
        answer
    }
}

#[async_trait]
impl Platform for Counted {
    async fn read(&self, key: &Key) -> Result<Option<Entry>> {
        self.reading(Step::Read, Millis::ZERO, self.inner.read(key)).await
    }

    async fn cas(
        &self,
        key: &Key,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Write<Revision> {
        self.writing(Step::Cas, self.inner.cas(key, expected, value, lease)).await
    }

    async fn lease(&self, ttl: Millis) -> Write<LeaseId> {
        self.writing(Step::Lease, self.inner.lease(ttl)).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Write<()> {
        self.writing(Step::KeepAlive, self.inner.keep_alive(lease)).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Vec<Entry>> {
        self.reading(Step::Watch, wait, self.inner.watch(prefix, after, wait)).await
    }

    async fn vms(&self) -> Result<Vec<VmRecord>> {
        self.reading(Step::VmList, Millis::ZERO, self.inner.vms()).await
    }
}
