//! Counts the calls to the platform's service and limits the time of each.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use th_protocol::{Bytes, Millis, Revision, VmRecord};
use tokio::time::{Instant, timeout_at};

use crate::{
    CallKind, Entry, Key, LeaseId, MAX_TRANSFER, Platform, PlatformError, Result, WriteOutcome,
    upload_time,
};

/// Counters of the calls of each kind, and of those that failed or have an unknown outcome.
#[derive(Debug, Default)]
pub struct CallCounters {
    made: [AtomicU64; CallKind::ALL.len()],
    failed: [AtomicU64; CallKind::ALL.len()],
}

impl CallCounters {
    /// Returns the number of calls of one kind that were started.
    pub fn made(&self, kind: CallKind) -> u64 {
        self.made[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of calls of one kind that got no usable answer.
    pub fn failed(&self, kind: CallKind) -> u64 {
        self.failed[kind as usize].load(Ordering::Relaxed)
    }
}

/// A wrapper that counts the calls to a platform, and ends each that is silent for a time-out.
pub struct CountedPlatform {
    inner: Arc<dyn Platform>,
    timeout: Millis,
    calls: Arc<CallCounters>,
}

impl CountedPlatform {
    /// Wraps `inner` and ends each call after `timeout`, or a watch after its wait plus `timeout`, unless answers are
    /// arriving. How long an answer takes depends on its size, so it has [`MAX_TRANSFER`] more as long as something arrives.
    pub fn new(inner: Arc<dyn Platform>, timeout: Millis) -> CountedPlatform {
        CountedPlatform { inner, timeout, calls: Arc::default() }
    }

    /// Returns a shared handle to the counters.
    pub fn calls(&self) -> Arc<CallCounters> {
        Arc::clone(&self.calls)
    }

    async fn run_with_timeout<T>(
        &self,
        kind: CallKind,
        wait: Millis,
        call: impl Future<Output = T>,
    ) -> Result<T, PlatformError> {
        self.calls.made[kind as usize].fetch_add(1, Ordering::Relaxed);
        let mut call = pin!(call);
        let limit = self.timeout.plus(wait);
        let mut due = Instant::now() + Duration::from_millis(limit.0);
        let end = due + Duration::from_millis(MAX_TRANSFER.0);
        let mut received = self.inner.received();
        loop {
            if let Ok(answer) = timeout_at(due, &mut call).await {
                return Ok(answer);
            }
            let arrived = self.inner.received().minus(received);
            let cause = match arrived {
                Bytes::ZERO => format!("no answer within {limit}"),
                _ if end <= due => {
                    format!("the answer did not end within {}", limit.plus(MAX_TRANSFER))
                }
                _ => {
                    received += arrived;
                    due = end.min(due + Duration::from_millis(self.timeout.0));
                    continue;
                }
            };
            return Err(PlatformError { kind, peer: "the platform".to_owned(), cause });
        }
    }

    fn record_result(&self, kind: CallKind, failed: bool) {
        if failed {
            self.calls.failed[kind as usize].fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn run_read<T>(
        &self,
        kind: CallKind,
        wait: Millis,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let answer = self.run_with_timeout(kind, wait, call).await.and_then(|it| it);
        self.record_result(kind, answer.is_err());
        answer
    }

    async fn run_write<T>(
        &self,
        kind: CallKind,
        upload: Millis,
        call: impl Future<Output = WriteOutcome<T>>,
    ) -> WriteOutcome<T> {
        let answer =
            self.run_with_timeout(kind, upload, call).await.unwrap_or_else(WriteOutcome::Unknown);
        self.record_result(kind, matches!(answer, WriteOutcome::Unknown(_)));
        answer
    }
}

#[async_trait]
impl Platform for CountedPlatform {
    async fn read(&self, key: &Key) -> Result<Option<Entry>> {
        self.run_read(CallKind::Read, Millis::ZERO, self.inner.read(key)).await
    }

    async fn cas(
        &self,
        key: &Key,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> WriteOutcome<Revision> {
        let upload = upload_time(value.as_deref());
        self.run_write(CallKind::Cas, upload, self.inner.cas(key, expected, value, lease)).await
    }

    async fn lease(&self, ttl: Millis) -> WriteOutcome<LeaseId> {
        self.run_write(CallKind::Lease, Millis::ZERO, self.inner.lease(ttl)).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> WriteOutcome<()> {
        self.run_write(CallKind::KeepAlive, Millis::ZERO, self.inner.keep_alive(lease)).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Vec<Entry>> {
        self.run_read(CallKind::Watch, wait, self.inner.watch(prefix, after, wait)).await
    }

    async fn vms(&self) -> Result<Vec<VmRecord>> {
        self.run_read(CallKind::VmList, Millis::ZERO, self.inner.vms()).await
    }

    fn received(&self) -> Bytes {
        self.inner.received()
    }
}
