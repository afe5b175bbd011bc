//! Values that a narrow link carries for longer than a call may be silent.

#[path = "../../../platform/tests/stand_in/link.rs"]
mod link;

use std::{net::SocketAddr, sync::Arc};

use link::NarrowLink;
use th_entry::Pace;
use th_platform::{CountedPlatform, HttpPlatform, Key, ManualClock, Platform, WriteOutcome};
use th_protocol::{Mbit, layout::MAX_PART_BYTES};
use th_testing::{FakePlatform, PlatformServer};

/// Link of a small VM.
const NARROW: Mbit = Mbit(10);

/// Guards against VMs that never have a bundle in force, because the largest part that it may have is given up on its way
/// over a narrow link and begun again.
#[tokio::test]
async fn the_largest_part_of_a_bundle_is_read_over_a_narrow_link() {
    let fake = FakePlatform::new(Arc::new(ManualClock::default()));
    let key = Key::new("part/large");
    let part = vec![120; MAX_PART_BYTES];
    let written = fake.cas(&key, None, Some(part.clone()), None).await;
    assert!(matches!(written, WriteOutcome::Applied(_)));
    let server = PlatformServer::start(fake, SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = server.url().trim_start_matches("http://").parse().unwrap();
    let link = NarrowLink::start(address, NARROW.bytes_per_ms() as f64 * 1e3).await;
    let client = Arc::new(HttpPlatform::new(&format!("http://{}", link.address)));
    let client = CountedPlatform::new(client, Pace::default().call);
    let entry = client.read(&key).await.unwrap().unwrap();
    assert!(entry.value.as_ref() == Some(&part), "the part has other bytes");
}
