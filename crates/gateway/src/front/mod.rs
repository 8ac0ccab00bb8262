//! Fronts: the protocols for clients. Each front turns requests into [`crate::engine::Call`]s, and replies into responses
//! of its protocol; whether and where a request is sent is decided by the engine alone.

pub mod http;
mod input;
mod request;
mod response;
