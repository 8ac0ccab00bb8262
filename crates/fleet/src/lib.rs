//! Keepers and followers as processes that talk by messages, and a fleet of them in memory, in virtual time.
//!
//! [`Process`] is what runs; [`World`] plays hundreds of them with faults from a seed; [`Story`] puts a run into
//! words; [`search`] draws faults by the thousand and makes what it finds short.

mod checks;
mod confirm;
mod process;
pub mod search;
mod story;
mod world;

pub use checks::{Act, Checks};
pub use confirm::Confirmed;
pub use process::{Permit, Process, Start, Transport};
pub use story::{given, Story};
pub use world::{Given, Plant, Weather, World, SECOND};
