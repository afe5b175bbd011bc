//! What a backend server states about itself in its answers: a limit, a pause, or that it leaves.
//!
//! A statement binds this VM until the server's next start, whatever its entry says meanwhile. So it outlives the entry,
//! which may vanish and come back.

use std::collections::BTreeMap;

use th_protocol::{BackendId, Millis, Time};

use super::{
    backend::BackendRow, dispatcher::Dispatcher, job::Job, limited::Limited, record::BackendRecord,
};

/// Time for which the statements of a server without an entry are kept; longer than servers run on after they have left.
const MEMORY: Millis = Millis(600_000);

/// Statements of a server since its start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Statements {
    /// Whether it leaves.
    pub(crate) leaving: bool,
    /// Until when it wants no requests. After that a single one tries it, until it answers.
    pub(crate) rest: Option<Time>,
    /// Limit on its requests that it stated with its last answer.
    pub(crate) limited: Option<Limited>,
}

impl Statements {
    fn is_empty(&self) -> bool {
        !self.leaving && self.rest.is_none() && self.limited.is_none()
    }
}

/// The statements of a server whose entry is gone.
#[derive(Debug)]
struct Remembered {
    started: Option<u64>,
    stated: Statements,
    /// When the entry was first seen to be gone.
    gone: Option<Time>,
}

/// The statements of servers whose entries are gone.
#[derive(Debug, Default)]
pub(crate) struct RememberedStatements(BTreeMap<BackendId, Remembered>);

impl RememberedStatements {
    /// Keeps the statements of a row that is removed.
    pub(crate) fn keep(&mut self, row: &BackendRow) {
        if row.stated.is_empty() {
            return;
        }
        let (id, started) = (row.record.id.clone(), row.record.started);
        self.0.insert(id, Remembered { started, stated: row.stated, gone: None });
    }

    /// Returns the statements of a server whose entry is back, unless it has started anew.
    pub(crate) fn take(&mut self, record: &BackendRecord) -> Option<Statements> {
        let remembered = self.0.remove(&record.id)?;
        (remembered.started == record.started).then_some(remembered.stated)
    }

    /// Forgets those that have been gone for long.
    pub(crate) fn update(&mut self, now: Time) {
        let start = now.before(MEMORY);
        self.0.retain(|_, it| start <= *it.gone.get_or_insert(now));
    }
}

impl Dispatcher {
    /// Applies that a backend server said that it leaves. Returns whether that is news.
    pub fn on_leaving(&mut self, backend: &BackendId) -> bool {
        let row = self.backends.by_id_mut(backend);
        row.is_some_and(|it| !std::mem::replace(&mut it.stated.leaving, true))
    }

    /// Applies that a backend server wants no requests for a while.
    pub fn on_rest(&mut self, backend: &BackendId, pause: Millis, now: Time) {
        let until = now.after(pause.min(self.settings.max_rest));
        if let Some(row) = self.backends.by_id_mut(backend) {
            row.stated.rest = row.stated.rest.max(Some(until));
        }
    }

    /// Time after which the first server of a request's service is expected to take requests again; `None` if none of
    /// them pauses.
    pub(crate) fn rest_left(&self, job: &Job, now: Time) -> Option<Millis> {
        let mut first: Option<Time> = None;
        for id in self.backends.of_service(&job.service)?.values().flatten() {
            let Some(row) = self.backends.get(*id).filter(|it| it.accepts_work()) else {
                continue;
            };
            let until = row.stated.rest?;
            first = Some(first.map_or(until, |it| it.min(until)));
        }
        first.map(|it| it.since(now))
    }
}
