//! Fronts: what clients speak. Each turns requests into [`crate::engine::Call`]s and replies into answers;
//! none decides anything.

pub mod http;
mod request;
mod response;
