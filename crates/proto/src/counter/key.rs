//! Keys of the MACs: one derived from a gateway's secret, and from it one for each direction of a connection.

use super::Nonce;
use std::fmt;

/// A gateway's key. It never shows in debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// The key for counter frames, derived from a gateway's secret.
    pub fn derive(secret: &[u8]) -> Key {
        Key(blake3::derive_key("frostgauge 2026-12 counter frames v1", secret))
    }

    fn session(&self, direction: &[u8], challenge: &Nonce, nonce: &Nonce, gateway: u16) -> Key {
        let parts = [direction, challenge, nonce, &gateway.to_be_bytes()].concat();
        Key(*blake3::keyed_hash(&self.0, &parts).as_bytes())
    }

    /// The key of `Open` frames on a connection.
    pub fn open_key(&self, challenge: &Nonce) -> Key {
        self.session(b"open", challenge, &[0; 16], 0)
    }

    /// The key of what the gateway sends after that.
    pub fn gateway_key(&self, challenge: &Nonce, nonce: &Nonce, gateway: u16) -> Key {
        self.session(b"up", challenge, nonce, gateway)
    }

    /// The key of what the service sends after that.
    pub fn service_key(&self, challenge: &Nonce, nonce: &Nonce, gateway: u16) -> Key {
        self.session(b"down", challenge, nonce, gateway)
    }

    pub(super) fn mac(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }
}
