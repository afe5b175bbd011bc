//! Chooses the entry VMs of a data centre that watch the store.

use sha2::{Digest, Sha256};
use th_protocol::{MemberState, PeerRecord, VmId, ZoneId};

/// Returns the `count` live VMs of `zone` with the highest rendezvous hash.
///
/// Each VM computes this from its own records, so that a few more or fewer VMs watch while records
/// differ.
pub fn choose_watchers<'a>(
    records: impl Iterator<Item = &'a PeerRecord>,
    zone: &ZoneId,
    count: usize,
) -> Vec<VmId> {
    let mut scores = Vec::new();
    for record in records {
        if record.zone != *zone || record.state != MemberState::Live {
            continue;
        }
        scores.push((score(zone, &record.vm), record.vm.clone()));
    }
    scores.sort_by(|a, b| b.cmp(a));
    scores.truncate(count);
    scores.into_iter().map(|(_, vm)| vm).collect()
}

fn score(zone: &ZoneId, vm: &VmId) -> u64 {
    let hash =
        Sha256::new().chain_update(zone.as_str()).chain_update([0]).chain_update(vm.as_str());
    let bytes = hash.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_be_bytes(first)
}
