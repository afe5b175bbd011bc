//! The table of backend servers.

use std::collections::BTreeMap;

use th_protocol::{BackendId, ServiceId, Slots, Time, ZoneId};

use super::{backend::BackendRow, record::BackendRecord, slot_limit::slot_limit};

/// Index of a backend server's row. A placement decision visits hundreds of rows, so it avoids look-ups by backend id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RowId(u32);

/// The registered backend servers, indexed by id and by service and data centre.
#[derive(Debug, Default)]
pub(crate) struct BackendTable {
    rows: Vec<Option<BackendRow>>,
    free: Vec<RowId>,
    ids: BTreeMap<BackendId, RowId>,
    by_service: BTreeMap<ServiceId, BTreeMap<ZoneId, Vec<RowId>>>,
    /// The most slots that count of each server of a service.
    limits: BTreeMap<ServiceId, Slots>,
}

impl BackendTable {
    pub(crate) fn id(&self, backend: &BackendId) -> Option<RowId> {
        self.ids.get(backend).copied()
    }

    pub(crate) fn get(&self, id: RowId) -> Option<&BackendRow> {
        self.rows.get(id.0 as usize)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, id: RowId) -> Option<&mut BackendRow> {
        self.rows.get_mut(id.0 as usize)?.as_mut()
    }

    pub(crate) fn by_id_mut(&mut self, backend: &BackendId) -> Option<&mut BackendRow> {
        let id = self.id(backend)?;
        self.get_mut(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &BackendRow> {
        self.rows.iter().flatten()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut BackendRow> {
        self.rows.iter_mut().flatten()
    }

    pub(crate) fn row_ids(&self) -> Vec<RowId> {
        self.ids.values().copied().collect()
    }

    /// The rows of a service, by data centre.
    pub(crate) fn of_service(&self, service: &ServiceId) -> Option<&BTreeMap<ZoneId, Vec<RowId>>> {
        self.by_service.get(service)
    }

    fn index_row(&mut self, id: RowId, record: &BackendRecord) {
        let zones = self.by_service.entry(record.service.clone()).or_default();
        zones.entry(record.zone.clone()).or_default().push(id);
    }

    fn unindex_row(&mut self, id: RowId, record: &BackendRecord) {
        let Some(zones) = self.by_service.get_mut(&record.service) else {
            return;
        };
        if let Some(ids) = zones.get_mut(&record.zone) {
            ids.retain(|it| *it != id);
        }
        zones.retain(|_, ids| !ids.is_empty());
        if zones.is_empty() {
            self.by_service.remove(&record.service);
        }
    }

    /// Adds or updates the row of a backend server from its record; returns its index.
    pub(crate) fn put(&mut self, record: BackendRecord, now: Time) -> RowId {
        let Some(id) = self.id(&record.id) else {
            let id = self.free.pop().unwrap_or_else(|| {
                self.rows.push(None);
                RowId(self.rows.len() as u32 - 1)
            });
            self.ids.insert(record.id.clone(), id);
            self.index_row(id, &record);
            let service = record.service.clone();
            self.rows[id.0 as usize] = Some(BackendRow::new(record, now));
            self.limit_slots(&service);
            return id;
        };
        let Some(before) = self.get(id).map(|it| it.record.clone()) else {
            return id;
        };
        if before.service != record.service || before.zone != record.zone {
            self.unindex_row(id, &before);
            self.index_row(id, &record);
        }
        let (service, slots) = (record.service.clone(), record.slots);
        let limit = self.limits.get(&service).copied();
        if let Some(row) = self.get_mut(id) {
            row.on_record(record, now);
            row.slots = limit.map_or(slots, |it| it.min(slots));
        }
        if before.service != service {
            self.limit_slots(&before.service);
        }
        if before.service != service || before.slots != slots {
            self.limit_slots(&service);
        }
        id
    }

    /// Brings the slots that count of a service's servers up to date with what these state.
    fn limit_slots(&mut self, service: &ServiceId) {
        let ids: Vec<RowId> = self
            .by_service
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
            .flatten()
            .copied()
            .collect();
        if ids.is_empty() {
            self.limits.remove(service);
            return;
        }
        let limit =
            slot_limit(ids.iter().filter_map(|it| Some(self.get(*it)?.record.slots)).collect());
        self.limits.insert(service.clone(), limit);
        for id in ids {
            if let Some(row) = self.get_mut(id) {
                row.slots = row.record.slots.min(limit);
            }
        }
    }

    pub(crate) fn remove(&mut self, backend: &BackendId) -> Option<BackendRow> {
        let id = self.ids.remove(backend)?;
        self.free.push(id);
        let row = self.rows[id.0 as usize].take()?;
        self.unindex_row(id, &row.record);
        self.limit_slots(&row.record.service);
        Some(row)
    }
}
