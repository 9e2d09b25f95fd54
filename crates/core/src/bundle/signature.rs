//! Signatures of bundles.

use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Error, ErrorKind};

/// An operator's signature of the digest of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Signature {
    /// The public key that verifies it, in hex.
    pub key: String,
    /// The ed25519 signature, in hex.
    pub signature: String,
}

/// Returns the SHA-256 digest of bytes, in hex.
pub fn digest(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

/// Returns the signature of a bundle's digest.
pub fn sign(key: &SigningKey, body: &[u8]) -> Signature {
    let signature = key.sign(digest(body).as_bytes());
    Signature {
        key: hex::encode(key.verifying_key().as_bytes()),
        signature: hex::encode(signature.to_bytes()),
    }
}

/// Verifies that the body was signed with one of the trusted keys, given in hex.
///
/// # Errors
///
/// Returns [`ErrorKind::Untrusted`] if the key is not trusted or the signature is not valid for
/// the body.
pub fn verify(trusted: &[String], body: &[u8], signature: &Signature) -> Result<(), Error> {
    if !trusted.contains(&signature.key) {
        return Err(untrusted("the bundle was signed with a key that is not trusted")
            .value(signature.key.as_str())
            .tip("add the operator's public key to trusted_keys in the settings"));
    }
    let bytes: [u8; 32] = decode_hex(&signature.key)?;
    let key = VerifyingKey::from_bytes(&bytes).map_err(|_| untrusted("not an ed25519 key"))?;
    let signature = ed25519_dalek::Signature::from_bytes(&decode_hex(&signature.signature)?);
    key.verify_strict(digest(body).as_bytes(), &signature)
        .map_err(|_| untrusted("the signature does not hold for this bundle").tip("sign it again"))
}

/// Parses a signing key from its 64 hex digits.
///
/// # Errors
///
/// Returns [`ErrorKind::Untrusted`] if the text is not a key. The error never contains the text.
pub fn parse_signing_key(text: &str) -> Result<SigningKey, Error> {
    Ok(SigningKey::from_bytes(&decode_hex(text.trim())?))
}

fn decode_hex<const N: usize>(text: &str) -> Result<[u8; N], Error> {
    let bytes = hex::decode(text).map_err(|_| untrusted("a key or signature is not hex"))?;
    bytes.try_into().map_err(|_| untrusted("a key or signature has the wrong length"))
}

fn untrusted(message: &str) -> Error {
    Error::new(ErrorKind::Untrusted, message)
}
