//! The fake service in process, with faults that tests can inject.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use th_platform::{
    BootClock, CallKind, Clock, Entry, Key, LeaseId, Platform, PlatformError, Result, WriteOutcome,
};
use th_protocol::{Millis, Revision, VmId, VmRecord};
use tokio::{sync::watch, time};

use super::Store;

/// The faults of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call fails immediately.
    pub down: bool,
    /// Calls are accepted but never answered.
    pub unresponsive: bool,
    /// Watches report no changes.
    pub stalled_watches: bool,
    /// Number of further writes that take effect while their answers are lost.
    pub lost_answers: u32,
    /// Each call takes this long.
    pub delay: Millis,
}

/// Numbers of calls that the service has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of values and of the VM list, and watches.
    pub reads: u64,
    /// Compare-and-swaps, leases and keep-alives.
    pub writes: u64,
}

#[derive(Default)]
struct Inner {
    store: Store,
    faults: Faults,
    calls: CallCounts,
}

/// The platform's service in memory. Clones share its state.
#[derive(Clone)]
pub struct FakePlatform {
    inner: Arc<Mutex<Inner>>,
    clock: Arc<dyn Clock>,
    changed: watch::Sender<()>,
}

impl Default for FakePlatform {
    fn default() -> FakePlatform {
        FakePlatform::new(Arc::new(BootClock))
    }
}

impl FakePlatform {
    /// Creates an empty service whose leases expire by `clock`.
    pub fn new(clock: Arc<dyn Clock>) -> FakePlatform {
        FakePlatform { inner: Arc::default(), clock, changed: watch::Sender::new(()) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.send_replace(());
    }

    /// Returns the numbers of calls received so far.
    pub fn call_counts(&self) -> CallCounts {
        self.lock().calls
    }

    /// Adds a VM to the list, or replaces its record.
    pub fn list_vm(&self, record: VmRecord) {
        self.lock().store.vms.insert(record.vm.clone(), record);
    }

    /// Removes a VM from the list.
    pub fn unlist_vm(&self, vm: &VmId) {
        self.lock().store.vms.remove(vm);
    }

    async fn begin_call(&self, kind: CallKind, write: bool) -> Result<()> {
        let faults = {
            let mut inner = self.lock();
            if write {
                inner.calls.writes += 1;
            } else {
                inner.calls.reads += 1;
            }
            inner.faults
        };
        if faults.down {
            return Err(platform_error(kind, "the service is down"));
        }
        if faults.unresponsive {
            std::future::pending::<()>().await;
        }
        if faults.delay != Millis::ZERO {
            time::sleep(Duration::from_millis(faults.delay.0)).await;
        }
        let now = self.clock.now();
        self.lock().store.expire(now);
        Ok(())
    }

    async fn write<T>(
        &self,
        kind: CallKind,
        change: impl FnOnce(&mut Store) -> std::result::Result<T, Option<Entry>>,
    ) -> WriteOutcome<T> {
        if let Err(error) = self.begin_call(kind, true).await {
            return WriteOutcome::Unknown(error);
        }
        let (answer, is_lost) = {
            let mut inner = self.lock();
            let answer = change(&mut inner.store);
            let is_lost = 0 < inner.faults.lost_answers;
            inner.faults.lost_answers = inner.faults.lost_answers.saturating_sub(1);
            (answer, is_lost)
        };
        self.changed.send_replace(());
        match answer {
            _ if is_lost => WriteOutcome::Unknown(platform_error(kind, "the answer is lost")),
            Ok(value) => WriteOutcome::Applied(value),
            Err(entry) => WriteOutcome::Refused(entry),
        }
    }
}

fn platform_error(kind: CallKind, cause: &str) -> PlatformError {
    PlatformError { kind, peer: "the fake platform".to_owned(), cause: cause.to_owned() }
}

#[async_trait]
impl Platform for FakePlatform {
    async fn read(&self, key: &Key) -> Result<Option<Entry>> {
        self.begin_call(CallKind::Read, false).await?;
        Ok(self.lock().store.read(key).cloned())
    }

    async fn cas(
        &self,
        key: &Key,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> WriteOutcome<Revision> {
        self.write(CallKind::Cas, |store| store.cas(key, expected, value, lease)).await
    }

    async fn lease(&self, ttl: Millis) -> WriteOutcome<LeaseId> {
        let now = self.clock.now();
        self.write(CallKind::Lease, |store| Ok(store.lease(ttl, now))).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> WriteOutcome<()> {
        let now = self.clock.now();
        let keep_alive = |store: &mut Store| match store.keep_alive(lease, now) {
            true => Ok(()),
            false => Err(None),
        };
        self.write(CallKind::KeepAlive, keep_alive).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Vec<Entry>> {
        self.begin_call(CallKind::Watch, false).await?;
        let mut changed = self.changed.subscribe();
        let end = time::Instant::now() + Duration::from_millis(wait.0);
        loop {
            let (changes, faults) = {
                let inner = self.lock();
                (inner.store.changes(prefix, after), inner.faults)
            };
            if faults.down {
                return Err(platform_error(CallKind::Watch, "the service is down"));
            }
            if !changes.is_empty() && !faults.stalled_watches {
                return Ok(changes);
            }
            let change = time::timeout_at(end, changed.changed()).await;
            if change.is_err() {
                return Ok(Vec::new());
            }
        }
    }

    async fn vms(&self) -> Result<Vec<VmRecord>> {
        self.begin_call(CallKind::VmList, false).await?;
        Ok(self.lock().store.vms.values().cloned().collect())
    }
}
