//! Sans-io codecs of the gateway: bytes in, values out, and back. Nothing here opens a socket, reads a
//! clock or decides anything about quotas.

pub mod bearer;
pub mod counter;
pub mod http;
pub mod introspection;
pub mod jsonrpc;
pub mod orca;
pub mod peer;
pub mod problem;
pub mod trace;
