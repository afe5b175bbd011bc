//! Polls the platform's list of VMs.

use std::{sync::Arc, time::Duration};

use th_platform::Platform;
use th_protocol::Millis;
use tokio::time::sleep;

use crate::entry::Entry;

/// Wait between two reads for each known entry VM, on VMs that do not watch the store. The wait grows with the fleet,
/// so that all VMs together make a bounded number of calls per second.
const WAIT_PER_MEMBER: Millis = Millis(8);

/// Reads the list periodically and passes it to the engine.
pub(crate) async fn poll_vms(entry: Arc<Entry>) {
    loop {
        match entry.store.vms().await {
            Ok(list) => entry.with_engine(|engine, now| engine.on_vms(&list, now)),
            Err(error) => log::debug!(target: "store", "The list of VMs cannot be read: {error}."),
        }
        let (is_watcher, members) =
            entry.with_engine(|engine, _| (engine.watches_store(), engine.member_count()));
        let scaled = Millis(WAIT_PER_MEMBER.0.saturating_mul(members as u64));
        let wait = if is_watcher {
            entry.settings.pace.list
        } else {
            entry.settings.pace.list.max(scaled)
        };
        sleep(Duration::from_millis(wait.0)).await;
    }
}
