//! Signatures over manifests.

use std::collections::BTreeMap;

use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    Bundle, OperatorId, Version,
    bundle::{digest::Digest, manifest::Manifest, part::split},
};

/// The result of reading or checking a signature.
pub(crate) type Result<T, E = SignError> = std::result::Result<T, E>;

/// Signed before the manifest's text, so that the signature is good for nothing else.
const DOMAIN: &[u8] = b"tanagerhollow bundle 1\n";

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
    Operator(OperatorId),
    /// The signature does not fit the operator's key and the text.
    #[error("the signature of operator {0} is wrong")]
    Signature(OperatorId),
    /// The text is not a key.
    #[error("a key is 64 hex digits of an ed25519 key: {0}")]
    Key(String),
}

/// The public key that `text` states in hex.
pub fn public_key(text: &str) -> Result<VerifyingKey> {
    let mut raw = [0; 32];
    hex::decode_to_slice(text, &mut raw).map_err(|e| SignError::Key(e.to_string()))?;
    VerifyingKey::from_bytes(&raw).map_err(|e| SignError::Key(e.to_string()))
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
        decoded.map_err(|e| SignError::Key(e.to_string()))?;
        Ok(Signer::new(operator, secret))
    }

    /// The public key in hex, as a bundle's `operators` holds it.
    pub fn public(&self) -> String {
        hex::encode(self.key.verifying_key().as_bytes())
    }

    /// Signs the exact text of a manifest.
    pub fn sign(&self, manifest: String) -> SignedManifest {
        let signature = self.key.sign(&message(&manifest));
        SignedManifest {
            manifest,
            operator: self.operator.clone(),
            signature: hex::encode(signature.to_bytes()),
            earlier: Vec::new(),
        }
    }

    /// Splits a bundle and signs its manifest.
    pub fn sign_bundle(&self, bundle: &Bundle, base: Option<Digest>) -> SignedBundle {
        let it = split(bundle, base);
        let text = serde_json::to_string(&it.manifest).expect("a manifest is plain data");
        SignedBundle { head: self.sign(text), parts: it.parts }
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
}

impl SignedManifest {
    /// Reads the JSON form.
    pub fn read(bytes: &[u8]) -> Result<SignedManifest> {
        serde_json::from_slice(bytes).map_err(|e| SignError::Malformed(e.to_string()))
    }

    /// The JSON form.
    pub fn write(&self) -> Vec<u8> {
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
        if self.signature.is_empty() {
            return Err(SignError::Unsigned);
        }
        let key = keys.get(&self.operator);
        let key = key.ok_or_else(|| SignError::Operator(self.operator.clone()))?;
        let key = public_key(key)?;
        let wrong = || SignError::Signature(self.operator.clone());
        let mut raw = [0; 64];
        hex::decode_to_slice(&self.signature, &mut raw).map_err(|_| wrong())?;
        let signature = Signature::from_bytes(&raw);
        key.verify_strict(&message(&self.manifest), &signature).map_err(|_| wrong())?;
        self.unverified()
    }
}

fn message(manifest: &str) -> Vec<u8> {
    [DOMAIN, manifest.as_bytes()].concat()
}

/// A signed manifest and its parts: the file that `thctl bundle sign` writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// The signed manifest.
    pub head: SignedManifest,
    /// The text of each part.
    pub parts: BTreeMap<Digest, String>,
}
