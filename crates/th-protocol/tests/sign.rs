//! Signatures of manifests.

use std::collections::BTreeMap;

use rstest::rstest;
use th_protocol::{OperatorId, SignError, SignedManifest, Signer, public_key};

const MANIFEST: &str = r#"{"version":3,"parts":{}}"#;

fn signer(name: &str) -> Signer {
    Signer::new(name.parse().unwrap(), [name.as_bytes()[0]; 32])
}

fn keys() -> BTreeMap<OperatorId, String> {
    ["ana", "ben"].map(|it| (it.parse().unwrap(), signer(it).public_key_hex())).into()
}

fn change_last_digit(hex: &mut String) {
    let last = hex.pop().unwrap();
    hex.push(if last == '0' { '1' } else { '0' });
}

type Change = fn(&mut SignedManifest);

#[rstest]
#[case::good(|_: &mut SignedManifest| (), Ok(3))]
#[case::earlier_is_not_signed(|it: &mut SignedManifest| it.earlier.push(it.digest()), Ok(3))]
#[case::unsigned(|it: &mut SignedManifest| it.signature.clear(), Err(SignError::Unsigned))]
#[case::unknown_operator(|it: &mut SignedManifest| it.operator = "eve".parse().unwrap(), Err(SignError::UnknownOperator("eve".parse().unwrap())))]
#[case::other_operator(|it: &mut SignedManifest| it.operator = "ben".parse().unwrap(), Err(SignError::WrongSignature("ben".parse().unwrap())))]
#[case::changed_text(|it: &mut SignedManifest| it.manifest = it.manifest.replace('3', "4"), Err(SignError::WrongSignature("ana".parse().unwrap())))]
#[case::appended_space(|it: &mut SignedManifest| it.manifest.push(' '), Err(SignError::WrongSignature("ana".parse().unwrap())))]
#[case::changed_signature(|it: &mut SignedManifest| change_last_digit(&mut it.signature), Err(SignError::WrongSignature("ana".parse().unwrap())))]
#[case::short_signature(|it: &mut SignedManifest| it.signature.truncate(126), Err(SignError::WrongSignature("ana".parse().unwrap())))]
#[case::not_hex(|it: &mut SignedManifest| it.signature = "x".repeat(128), Err(SignError::WrongSignature("ana".parse().unwrap())))]
fn only_the_signed_text_verifies(#[case] change: Change, #[case] result: Result<u64, SignError>) {
    let mut signed = signer("ana").sign(MANIFEST.to_owned());
    change(&mut signed);
    let read = SignedManifest::from_json(&signed.to_json()).unwrap();
    assert_eq!(read.verify(&keys()).map(|it| it.version.0), result);
}

/// A manifest's signature covers a prefix and the text: a signature over the text alone is invalid.
#[test]
fn signature_over_the_bare_text_is_rejected() {
    use ed25519_dalek::{Signer as _, SigningKey};
    let mut signed = signer("ana").sign(MANIFEST.to_owned());
    let bare_signature = SigningKey::from_bytes(&[b'a'; 32]).sign(MANIFEST.as_bytes());
    signed.signature = hex::encode(bare_signature.to_bytes());
    assert!(matches!(signed.verify(&keys()), Err(SignError::WrongSignature(_))));
}

#[rstest]
#[case("")]
#[case("{}")]
#[case(r#"{"manifest":"{}","operator":"Ana"}"#)]
#[case(r#"{"manifest":"{}","operator":"ana","signature":"","more":1}"#)]
fn invalid_signed_manifests_are_malformed(#[case] text: &str) {
    let result = SignedManifest::from_json(text.as_bytes());
    assert!(matches!(result, Err(SignError::Malformed(_))), "{result:?}");
}

#[rstest]
#[case("")]
#[case("00")]
#[case("zz")]
fn malformed_keys_are_rejected(#[case] text: &str) {
    assert!(matches!(public_key(text), Err(SignError::MalformedKey(_))));
    assert!(Signer::from_hex("ana".parse().unwrap(), text).is_err());
}
