//! Signatures of manifests and of operator changes.

use std::collections::BTreeMap;

use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    Bundle, OperatorId, Version,
    bundle::{digest::Digest, manifest::Manifest, part::split_bundle},
};

/// The result of parsing or verifying a signed manifest.
pub(crate) type Result<T, E = SignError> = std::result::Result<T, E>;

/// Prefix of the signed message (domain separation): a manifest's signature is valid for no other
/// kind of message.
const MANIFEST_DOMAIN: &[u8] = b"tanagerhollow bundle 1\n";

/// Prefix of the signed message of an operator change.
const CHANGE_DOMAIN: &[u8] = b"tanagerhollow operators 1\n";

/// An error from parsing or verifying a signed manifest.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SignError {
    /// The text is not a signed manifest.
    #[error("the signed manifest is malformed: {0}")]
    Malformed(String),
    /// There is no signature.
    #[error("the manifest is not signed")]
    Unsigned,
    /// The operator is not among those who may sign.
    #[error("operator {0} is not known")]
    UnknownOperator(OperatorId),
    /// The signature does not match the operator's key and the text.
    #[error("the signature of operator {0} is wrong")]
    WrongSignature(OperatorId),
    /// The text is not an ed25519 key in hex.
    #[error("expected an ed25519 key of 64 hex digits: {0}")]
    MalformedKey(String),
}

/// Parses a public key in hex.
pub fn public_key(text: &str) -> Result<VerifyingKey> {
    let mut raw = [0; 32];
    hex::decode_to_slice(text, &mut raw).map_err(|e| SignError::MalformedKey(e.to_string()))?;
    VerifyingKey::from_bytes(&raw).map_err(|e| SignError::MalformedKey(e.to_string()))
}

/// An operator together with its secret key.
#[derive(Debug)]
pub struct Signer {
    operator: OperatorId,
    key: SigningKey,
}

impl Signer {
    /// Creates an operator whose secret key is `secret`, 32 random bytes.
    pub fn new(operator: OperatorId, secret: [u8; 32]) -> Signer {
        Signer { operator, key: SigningKey::from_bytes(&secret) }
    }

    /// Creates an operator from its secret key in hex.
    pub fn from_hex(operator: OperatorId, text: &str) -> Result<Signer> {
        let mut secret = [0; 32];
        let decoded = hex::decode_to_slice(text.trim(), &mut secret);
        decoded.map_err(|e| SignError::MalformedKey(e.to_string()))?;
        Ok(Signer::new(operator, secret))
    }

    /// Returns the public key in hex, as in a bundle's `operators`.
    pub fn public_key_hex(&self) -> String {
        hex::encode(self.key.verifying_key().as_bytes())
    }

    /// Signs the exact text of a manifest.
    pub fn sign(&self, manifest: String) -> SignedManifest {
        let signature = self.key.sign(&manifest_message(&manifest));
        SignedManifest {
            manifest,
            operator: self.operator.clone(),
            signature: hex::encode(signature.to_bytes()),
            earlier: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Signs the set of operators who may sign the bundles after `version`.
    fn sign_change(
        &self,
        version: Version,
        operators: &BTreeMap<OperatorId, String>,
    ) -> OperatorChange {
        let signature = self.key.sign(&change_message(version, operators));
        OperatorChange {
            version,
            operators: operators.clone(),
            operator: self.operator.clone(),
            signature: hex::encode(signature.to_bytes()),
        }
    }

    /// Splits a bundle and signs its manifest.
    pub fn sign_bundle(&self, bundle: &Bundle, base: Option<Digest>) -> SignedBundle {
        let it = split_bundle(bundle, base);
        let text = serde_json::to_string(&it.manifest).expect("a manifest is plain data");
        let change = self.sign_change(bundle.version, &bundle.operators);
        SignedBundle { head: self.sign(text), change, parts: it.parts }
    }
}

/// A manifest with an operator's signature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedManifest {
    /// The exact JSON text that was signed.
    pub manifest: String,
    /// The operator who signed.
    pub operator: OperatorId,
    /// The ed25519 signature in hex.
    #[serde(default)]
    pub signature: String,
    /// Digests of the manifests that this one replaced, the latest first. Not signed: a roll
    /// records them so that another roll can find out whether its own manifest took effect.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<Digest>,
    /// The latest changes of operators, the oldest first. Each has its own signature. A roll adds
    /// them so that an entry VM that missed some bundles can still determine who may sign.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<OperatorChange>,
}

/// The operators who may sign the bundles after a version, signed by one of the previous
/// operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorChange {
    /// The version of the bundle that made the change.
    pub version: Version,
    /// The operators from then on, with their hex-encoded public keys.
    pub operators: BTreeMap<OperatorId, String>,
    /// The operator who signed.
    pub operator: OperatorId,
    /// The ed25519 signature in hex.
    pub signature: String,
}

impl OperatorChange {
    /// Verifies that one of the operators in `keys` signed the change.
    pub fn verify(&self, keys: &BTreeMap<OperatorId, String>) -> Result<()> {
        let message = change_message(self.version, &self.operators);
        verify_signature(keys, &self.operator, &self.signature, &message)
    }
}

impl SignedManifest {
    /// Parses a signed manifest from JSON. Does not verify the signature.
    pub fn from_json(bytes: &[u8]) -> Result<SignedManifest> {
        serde_json::from_slice(bytes).map_err(|e| SignError::Malformed(e.to_string()))
    }

    /// Serializes the signed manifest as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a signed manifest is plain data")
    }

    /// Computes the digest of the manifest's text, which identifies the bundle.
    pub fn digest(&self) -> Digest {
        Digest::of(self.manifest.as_bytes())
    }

    /// Parses the manifest without verifying its signature.
    pub fn unverified(&self) -> Result<Manifest> {
        serde_json::from_str(&self.manifest).map_err(|e| SignError::Malformed(e.to_string()))
    }

    /// Parses the version without verifying the signature.
    pub fn version(&self) -> Result<Version> {
        self.unverified().map(|it| it.version)
    }

    /// Returns the manifest if one of the operators in `keys` (hex-encoded public keys) signed it.
    pub fn verify(&self, keys: &BTreeMap<OperatorId, String>) -> Result<Manifest> {
        let message = manifest_message(&self.manifest);
        verify_signature(keys, &self.operator, &self.signature, &message)?;
        self.unverified()
    }

    /// Like [`SignedManifest::verify`], where `keys` are the operators of the bundle of version
    /// `held`. Applies the verified changes of operators since that version first.
    pub fn verify_after(
        &self,
        held: Version,
        keys: &BTreeMap<OperatorId, String>,
    ) -> Result<Manifest> {
        let version = self.version()?;
        let mut keys = keys;
        for change in &self.changes {
            // Changes up to `held` are already in `keys`; the change of this bundle itself
            // applies only to the next bundle.
            if change.version <= held || version <= change.version {
                continue;
            }
            if change.verify(keys).is_ok() {
                keys = &change.operators;
            }
        }
        self.verify(keys)
    }
}

fn verify_signature(
    keys: &BTreeMap<OperatorId, String>,
    operator: &OperatorId,
    signature: &str,
    message: &[u8],
) -> Result<()> {
    if signature.is_empty() {
        return Err(SignError::Unsigned);
    }
    let key = keys.get(operator).ok_or_else(|| SignError::UnknownOperator(operator.clone()))?;
    let key = public_key(key)?;
    let wrong_signature = || SignError::WrongSignature(operator.clone());
    let mut raw = [0; 64];
    hex::decode_to_slice(signature, &mut raw).map_err(|_| wrong_signature())?;
    key.verify_strict(message, &Signature::from_bytes(&raw)).map_err(|_| wrong_signature())
}

fn manifest_message(manifest: &str) -> Vec<u8> {
    [MANIFEST_DOMAIN, manifest.as_bytes()].concat()
}

fn change_message(version: Version, operators: &BTreeMap<OperatorId, String>) -> Vec<u8> {
    let text = serde_json::to_vec(&(version, operators)).expect("operators are plain data");
    [CHANGE_DOMAIN, &text].concat()
}

/// A signed manifest and its parts: the file that `thctl bundle sign` writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// The signed manifest.
    pub head: SignedManifest,
    /// The operators who may sign the next bundle; a roll adds this to the head if they changed.
    pub change: OperatorChange,
    /// The text of each part.
    pub parts: BTreeMap<Digest, String>,
}
