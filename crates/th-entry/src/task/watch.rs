//! Watches the store for a new head, on the few VMs of a data centre that do so.

use std::{sync::Arc, time::Duration};

use th_platform::Platform;
use th_protocol::{Revision, layout};
use tokio::time::sleep;

use super::bundles::read_head;
use crate::entry::Entry;

/// Time between two looks at whether this VM is to watch, and between two tries.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Watches as long as this VM is one of the watchers.
pub(crate) async fn watch_store(entry: Arc<Entry>) {
    let mut last_seen = Revision::ZERO;
    loop {
        if !entry.with_engine(|engine, _| engine.watches_store()) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        match entry.store.watch(layout::HEAD, last_seen, entry.settings.pace.watch).await {
            Ok(changes) => {
                let Some(last) = changes.last() else {
                    continue;
                };
                last_seen = last.revision;
                read_head(&entry).await;
            }
            Err(error) => {
                log::debug!(target: "store", "The watch broke off: {error}.");
                sleep(CHECK_INTERVAL).await;
            }
        }
    }
}
