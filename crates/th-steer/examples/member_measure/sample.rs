//! Sample ids, records and bundle heads for the simulated fleet.

use th_protocol::{
    BundleHead, Digest, HeadroomDigest, Incarnation, MemberState, Millis, PeerRecord, Permille,
    RegionId, Time, Version, ZoneId,
};
use th_steer::member::ManifestInfo;

pub(crate) const ZONES: usize = 26;
pub(crate) const REGIONS: usize = 12;

pub(crate) fn digest(version: u64, part: u8) -> Digest {
    let mut bytes = [part; 32];
    bytes[..8].copy_from_slice(&version.to_be_bytes());
    Digest::from_bytes(bytes)
}

pub(crate) fn head(version: u64) -> BundleHead {
    BundleHead { version: Version(version), digest: digest(version, 255) }
}

pub(crate) fn manifest(head: BundleHead, parts: u8) -> ManifestInfo {
    let mut parts: Vec<Digest> = (1..parts).map(|part| digest(0, part)).collect();
    parts.push(digest(head.version.0, 0));
    ManifestInfo { head, parts }
}

pub(crate) fn zone(i: usize) -> ZoneId {
    format!("zone-{:02}", i % ZONES).parse().unwrap()
}

pub(crate) fn record(i: usize) -> PeerRecord {
    PeerRecord {
        vm: format!("entry-{i:04}").parse().unwrap(),
        zone: zone(i),
        address: format!("10.{}.{}.1:7000", i / 250, i % 250).parse().unwrap(),
        callers: format!("10.{}.{}.1:8000", i / 250, i % 250).parse().unwrap(),
        origin: Time(1_790_000_000_000 + i as u64),
        incarnation: Incarnation(1_790_000_000_000 + i as u64),
        beat: 0,
        state: MemberState::Live,
    }
}

pub(crate) fn headroom(i: usize) -> Vec<HeadroomDigest> {
    let region: RegionId = format!("region-{:02}", i % 12).parse().unwrap();
    let mut digests = Vec::new();
    for k in 0..2 {
        let (free, age) = (Permille(100), Millis(900));
        digests.push(HeadroomDigest { region: region.clone(), zone: zone(i + k), free, age });
    }
    digests
}
