//! Stand-ins for what lies around a gateway, written from public specifications: an introspection server
//! (RFC 7662), claims nodes, the nodes' common store, tablets. They keep ledgers of what crossed the sockets.

pub mod adders;
pub mod backplane;
pub mod introspection;
pub mod ledger;
pub mod lossy;
pub mod node;
pub mod paths;
pub mod plain;
pub mod serve;
pub mod tablets;

use std::time::{SystemTime, UNIX_EPOCH};

/// The time in microseconds since 1970.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

/// A generator of its own for each component, so that one more draw in one does not shift another's.
pub fn dice(seed: u64, component: &str) -> rand_chacha::ChaCha8Rng {
    use rand::SeedableRng;
    let stream = component
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}
