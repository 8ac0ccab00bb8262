//! Keys of a connection, derived from the secret that the gateways share.
//!
//! Each direction of each connection has a key of its own, derived from what both sides drew, so a frame taken from one
//! connection is of no use on another.

use crate::handshake::Hello;
use std::fmt;

/// Bytes of a frame's MAC: BLAKE3 keyed, truncated.
pub(crate) const MAC_BYTES: usize = 16;

/// Context string of the key derivation; part of the protocol.
const KEY_CONTEXT: &str = "frostgauge 2026-12 link frames v1";

/// Random bytes drawn for one connection.
pub type Nonce = [u8; 16];

/// A key. Debug output does not show it.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// The fleet's key, derived from the secret that its gateways share.
    pub fn derive(secret: &[u8]) -> Key {
        Key(blake3::derive_key(KEY_CONTEXT, secret))
    }

    /// The key for one purpose on one connection.
    fn for_purpose(&self, purpose: &[u8], challenge: &Nonce, hello: Option<&Hello>) -> Key {
        let hello = hello.map(Hello::to_bytes).unwrap_or_default();
        Key(*blake3::keyed_hash(&self.0, &[purpose, challenge, &hello].concat()).as_bytes())
    }

    /// The key of the connecting side's [`Hello`].
    pub fn for_hello(&self, challenge: &Nonce) -> Key {
        self.for_purpose(b"hello", challenge, None)
    }

    /// The key of the messages that the connecting side sends.
    pub fn for_messages(&self, challenge: &Nonce, hello: &Hello) -> Key {
        self.for_purpose(b"forth", challenge, Some(hello))
    }

    /// The key of the acknowledgements that the accepting side sends.
    pub fn for_acknowledgements(&self, challenge: &Nonce, hello: &Hello) -> Key {
        self.for_purpose(b"back", challenge, Some(hello))
    }

    pub(crate) fn mac(&self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Compares all bytes, whatever the first ones are, so that the time taken tells nothing.
    pub(crate) fn verifies(&self, bytes: &[u8], mac: &[u8]) -> bool {
        self.mac(bytes).iter().zip(mac).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
    }
}
