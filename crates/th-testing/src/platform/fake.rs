//! The fake service in process, with faults that can be switched on.

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

/// What is wrong with the service at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call fails at once.
    pub down: bool,
    /// Calls are accepted and never answered.
    pub unresponsive: bool,
    /// Watches stay silent.
    pub stalled_watches: bool,
    /// So many writes from now on take effect while their answers are lost.
    pub lost_answers: u32,
    /// Each call takes this long.
    pub delay: Millis,
}

/// Calls that the service has taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads, watches and readings of the VM list.
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

/// A platform's service in memory. Clones share it.
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
    /// An empty service whose leases follow `clock`.
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

    /// Calls taken so far.
    pub fn call_counts(&self) -> CallCounts {
        self.lock().calls
    }

    /// Adds or changes a VM of the list.
    pub fn list_vm(&self, record: VmRecord) {
        self.lock().store.vms.insert(record.vm.clone(), record);
    }

    /// Removes a VM from the list.
    pub fn unlist_vm(&self, vm: &VmId) {
        self.lock().store.vms.remove(vm);
    }

    async fn enter(&self, kind: CallKind, write: bool) -> Result<()> {
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
            return Err(fault(kind, "the service is down"));
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
        if let Err(error) = self.enter(kind, true).await {
            return WriteOutcome::Unknown(error);
        }
        let (answer, lost) = {
            let mut inner = self.lock();
            let answer = change(&mut inner.store);
            let lost = 0 < inner.faults.lost_answers;
            inner.faults.lost_answers = inner.faults.lost_answers.saturating_sub(1);
            (answer, lost)
        };
        self.changed.send_replace(());
        match answer {
            _ if lost => WriteOutcome::Unknown(fault(kind, "the answer is lost")),
            Ok(value) => WriteOutcome::Applied(value),
            Err(entry) => WriteOutcome::Refused(entry),
        }
    }
}

fn fault(kind: CallKind, cause: &str) -> PlatformError {
    PlatformError { kind, peer: "the fake platform".to_owned(), cause: cause.to_owned() }
}

#[async_trait]
impl Platform for FakePlatform {
    async fn read(&self, key: &Key) -> Result<Option<Entry>> {
        self.enter(CallKind::Read, false).await?;
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
        let keep = |store: &mut Store| match store.keep_alive(lease, now) {
            true => Ok(()),
            false => Err(None),
        };
        self.write(CallKind::KeepAlive, keep).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Vec<Entry>> {
        self.enter(CallKind::Watch, false).await?;
        let mut changed = self.changed.subscribe();
        let end = time::Instant::now() + Duration::from_millis(wait.0);
        loop {
            let (changes, faults) = {
                let inner = self.lock();
                (inner.store.changes(prefix, after), inner.faults)
            };
            if faults.down {
                return Err(fault(CallKind::Watch, "the service is down"));
            }
            if !changes.is_empty() && !faults.stalled_watches {
                return Ok(changes);
            }
            let more = time::timeout_at(end, changed.changed()).await;
            if more.is_err() {
                return Ok(Vec::new());
            }
        }
    }

    async fn vms(&self) -> Result<Vec<VmRecord>> {
        self.enter(CallKind::VmList, false).await?;
        Ok(self.lock().store.vms.values().cloned().collect())
    }
}
