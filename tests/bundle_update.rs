//! Bundles that entry VMs assemble from the parts of the one in force and the parts that differ.

use eyre::{OptionExt, Result, ensure};
use th_platform::{Key, Platform, WriteOutcome};
use th_protocol::{Bundle, Millis, Signer, Slots, Version, ZoneId, layout};
use th_testing::{Deployment, DeploymentSpec};

const ROLL_TIMEOUT: Millis = Millis(10_000);

fn first_backend(bundle: &mut Bundle) -> &mut th_protocol::Backend {
    let service = bundle.services.values_mut().next().expect("the bundle has a service");
    service.backends.values_mut().next().expect("the service has a backend server")
}

/// Writes a bundle and its head to the store without validation.
async fn write_unchecked(deployment: &Deployment, bundle: &Bundle) -> Result<()> {
    let store = &deployment.platform;
    let signed = Signer::new("ana".parse()?, [7; 32]).sign_bundle(bundle, None);
    for (digest, text) in &signed.parts {
        let key = Key::new(layout::part_key(digest));
        store.cas(&key, None, Some(text.as_bytes().to_vec()), None).await;
    }
    let head = Key::new(layout::HEAD);
    let found = store.read(&head).await?.ok_or_eyre("the store has no head")?;
    let outcome = store.cas(&head, Some(found.revision), Some(signed.head.to_json()), None).await;
    ensure!(matches!(outcome, WriteOutcome::Applied(_)), "the head was not written: {outcome:?}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_bundle_is_rejected_and_the_next_valid_one_is_in_force() -> Result<()> {
    let mut deployment = Deployment::start(DeploymentSpec::default()).await?;
    deployment.change_bundle(|it| first_backend(it).slots = Slots(3)).await?;
    deployment.wait_in_force(Version(2), ROLL_TIMEOUT).await?;

    let mut faulty = deployment.bundle.clone();
    let unknown: ZoneId = "nowhere".parse()?;
    first_backend(&mut faulty).zone = unknown;
    faulty.version = Version(3);
    write_unchecked(&deployment, &faulty).await?;
    let in_force = deployment.wait_in_force(Version(3), Millis(3_000)).await;
    assert!(in_force.is_err(), "a bundle with a backend server in no data centre is in force");

    let mut valid = deployment.bundle.clone();
    first_backend(&mut valid).slots = Slots(2);
    valid.version = Version(4);
    write_unchecked(&deployment, &valid).await?;
    deployment.wait_in_force(Version(4), ROLL_TIMEOUT).await
}
