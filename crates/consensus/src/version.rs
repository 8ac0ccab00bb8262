//! Immutable versions of the rules, each linked to its predecessor by a hash.

use crate::ruleset::{FieldError, FieldErrors, Rules};
use serde::{Deserialize, Serialize};

/// The number of a version. Versions are numbered consecutively from 1.
pub type VersionNumber = u64;
/// Largest size of an encoded version, bytes.
pub const MAX_VERSION_BYTES: usize = 4 << 20;
/// A BLAKE3 hash of an encoded version.
pub type VersionHash = [u8; 32];

/// A version of the rules. It is encoded by position: the order of fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version's number.
    pub number: VersionNumber,
    /// The hash of the preceding version; zeros for the first.
    pub previous_hash: VersionHash,
    /// Who proposed the version.
    pub author: String,
    /// Why the version was proposed.
    pub reason: String,
    /// When the version was proposed, milliseconds since 1970 by the author's clock. For information only.
    pub time_ms: u64,
    /// The rules that apply while the version is in force.
    pub rules: Rules,
}

/// Why a version is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VersionError {
    /// The bytes are too long, or do not encode a version.
    #[error("version cannot be decoded: {0}")]
    Unreadable(String),
    /// The version's rules are invalid.
    #[error("{}", FieldErrors(.0.clone()))]
    Invalid(Vec<FieldError>),
    /// The version's number or `previous_hash` does not match the preceding version.
    #[error(
        "version {0} does not link to the preceding version: its number or previous hash does not match"
    )]
    Unlinked(VersionNumber),
}

impl Version {
    /// Encodes the version in the form that is hashed, stored and sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes what [`Version::to_bytes`] encoded, and validates its rules.
    ///
    /// # Errors
    /// [`VersionError::Unreadable`] or [`VersionError::Invalid`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Version, VersionError> {
        if bytes.len() > MAX_VERSION_BYTES {
            let reason = format!("{} bytes exceed the maximum of {MAX_VERSION_BYTES}", bytes.len());
            return Err(VersionError::Unreadable(reason));
        }
        let decoded = postcard::take_from_bytes::<Version>(bytes);
        let (version, rest) = decoded.map_err(|e| VersionError::Unreadable(e.to_string()))?;
        if !rest.is_empty() {
            let reason = format!("{} bytes follow the end of the version", rest.len());
            return Err(VersionError::Unreadable(reason));
        }
        let errors = version.rules.validate();
        if errors.is_empty() {
            Ok(version)
        } else {
            Err(VersionError::Invalid(errors))
        }
    }

    /// The hash over all fields of the version.
    pub fn hash(&self) -> VersionHash {
        *blake3::hash(&self.to_bytes()).as_bytes()
    }

    /// Checks that the version is the direct successor of another.
    ///
    /// # Errors
    /// [`VersionError::Unlinked`].
    pub fn follows(&self, previous: &Version) -> Result<(), VersionError> {
        if self.number == previous.number + 1 && self.previous_hash == previous.hash() {
            Ok(())
        } else {
            Err(VersionError::Unlinked(self.number))
        }
    }
}
