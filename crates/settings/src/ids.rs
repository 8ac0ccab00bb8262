//! Numbers of tenants and servers, derived from their names: the same at every gateway.

use frostgauge::{CustomerId, ServerId};
use std::net::SocketAddr;

/// The first eight bytes of a keyed hash of the name.
fn number(context: &str, name: &str) -> u64 {
    let hash = blake3::derive_key(context, name.as_bytes());
    u64::from_be_bytes(hash[..8].try_into().unwrap_or_default())
}

/// The number of a tenant, the same at every gateway.
pub fn customer_id(name: &str) -> CustomerId {
    CustomerId(number("frostgauge 2026-12 customer number v1", name))
}

/// The number of a server, the same at every gateway.
pub fn server_id(address: SocketAddr) -> ServerId {
    ServerId(number("frostgauge 2026-12 server number v1", &address.to_string()))
}
