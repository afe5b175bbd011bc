//! Signatures over manifests.

use std::collections::BTreeMap;

use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    Bundle, OperatorId, Version,
    bundle::{digest::Digest, manifest::Manifest, part::split_bundle},
};

/// The result of reading or checking a signature.
pub(crate) type Result<T, E = SignError> = std::result::Result<T, E>;

/// Signed before the manifest's text, so that the signature is good for nothing else.
const MANIFEST_DOMAIN: &[u8] = b"tanagerhollow bundle 1\n";

/// Signed before a change of operators.
const CHANGE_DOMAIN: &[u8] = b"tanagerhollow operators 1\n";

/// Why a signed manifest is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SignError {
    /// The text is not a signed manifest.
    #[error("the signed manifest is malformed: {0}")]
    Malformed(String),
    /// There is no signature.
    #[error("the manifest is not signed")]
    Unsigned,
    /// The operator's key is not known.
    #[error("operator {0} is not known")]
    UnknownOperator(OperatorId),
    /// The signature does not fit the operator's key and the text.
    #[error("the signature of operator {0} is wrong")]
    WrongSignature(OperatorId),
    /// The text is not a key.
    #[error("a key is 64 hex digits of an ed25519 key: {0}")]
    MalformedKey(String),
}

/// The public key that `text` states in hex.
pub fn public_key(text: &str) -> Result<VerifyingKey> {
    let mut raw = [0; 32];
    hex::decode_to_slice(text, &mut raw).map_err(|e| SignError::MalformedKey(e.to_string()))?;
    VerifyingKey::from_bytes(&raw).map_err(|e| SignError::MalformedKey(e.to_string()))
}

/// An operator with the secret key.
#[derive(Debug)]
pub struct Signer {
    operator: OperatorId,
    key: SigningKey,
}

impl Signer {
    /// An operator whose secret key is `secret`, 32 random bytes.
    pub fn new(operator: OperatorId, secret: [u8; 32]) -> Signer {
        Signer { operator, key: SigningKey::from_bytes(&secret) }
    }

    /// An operator whose secret key is given in hex.
    pub fn from_hex(operator: OperatorId, text: &str) -> Result<Signer> {
        let mut secret = [0; 32];
        let decoded = hex::decode_to_slice(text.trim(), &mut secret);
        decoded.map_err(|e| SignError::MalformedKey(e.to_string()))?;
        Ok(Signer::new(operator, secret))
    }

    /// The public key in hex, as a bundle's `operators` holds it.
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

    /// Signs who may sign the bundles after `version`.
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
    /// Who signed.
    pub operator: OperatorId,
    /// The ed25519 signature in hex.
    #[serde(default)]
    pub signature: String,
    /// Digests of the manifests that this one replaced, the latest first. Not signed: a roll
    /// notes them so that another roll can tell whether it took effect.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<Digest>,
    /// The latest changes of operators, the oldest first. Each is signed on its own; a roll adds
    /// them so that an entry VM which missed some bundles can still tell who may sign.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<OperatorChange>,
}

/// Who may sign the bundles after a version, as one of the operators before signed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorChange {
    /// The version of the bundle that brought the change.
    pub version: Version,
    /// The operators from then on, with their hex-encoded public keys.
    pub operators: BTreeMap<OperatorId, String>,
    /// Who signed.
    pub operator: OperatorId,
    /// The ed25519 signature in hex.
    pub signature: String,
}

impl OperatorChange {
    /// Whether one of the operators in `keys` signed it.
    pub fn verify(&self, keys: &BTreeMap<OperatorId, String>) -> Result<()> {
        let message = change_message(self.version, &self.operators);
        verify_signature(keys, &self.operator, &self.signature, &message)
    }
}

impl SignedManifest {
    /// Reads the JSON form.
    pub fn from_json(bytes: &[u8]) -> Result<SignedManifest> {
        serde_json::from_slice(bytes).map_err(|e| SignError::Malformed(e.to_string()))
    }

    /// The JSON form.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a signed manifest is plain data")
    }

    /// The digest of the manifest's text: the bundle's identity.
    pub fn digest(&self) -> Digest {
        Digest::of(self.manifest.as_bytes())
    }

    /// The manifest, whose signature nobody has checked.
    pub fn unverified(&self) -> Result<Manifest> {
        serde_json::from_str(&self.manifest).map_err(|e| SignError::Malformed(e.to_string()))
    }

    /// The version, whose signature nobody has checked.
    pub fn version(&self) -> Result<Version> {
        self.unverified().map(|it| it.version)
    }

    /// The manifest, if one of the operators in `keys` (hex-encoded public keys) signed it.
    pub fn verify(&self, keys: &BTreeMap<OperatorId, String>) -> Result<Manifest> {
        let message = manifest_message(&self.manifest);
        verify_signature(keys, &self.operator, &self.signature, &message)?;
        self.unverified()
    }

    /// As [`SignedManifest::verify`], for one who holds the bundle of version `held`, whose
    /// operators are `keys`: changes of operators since then are followed first.
    pub fn verify_after(
        &self,
        held: Version,
        keys: &BTreeMap<OperatorId, String>,
    ) -> Result<Manifest> {
        let version = self.version()?;
        let mut keys = keys;
        for change in &self.changes {
            // An older one is no news; this bundle's own concerns the next bundle.
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
    /// Who may sign the next; a roll adds it to the head if that differs from before.
    pub change: OperatorChange,
    /// The text of each part.
    pub parts: BTreeMap<Digest, String>,
}
