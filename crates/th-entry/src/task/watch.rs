//! Watches the store for a new bundle head, on the few VMs of a data centre that are watchers.

use std::{sync::Arc, time::Duration};

use th_platform::Platform;
use th_protocol::{Revision, layout};
use tokio::time::sleep;

use super::bundles::read_head;
use crate::entry::Entry;

/// Time between two checks of whether this VM is a watcher, and between a failed watch and the next.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the store while this VM is a watcher.
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
                log::debug!(target: "store", "The watch of the bundle head failed: {error}.");
                sleep(CHECK_INTERVAL).await;
            }
        }
    }
}
