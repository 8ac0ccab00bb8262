//! Keepers and followers as processes that talk by messages, and a fleet of them in memory, in virtual time.
//!
//! [`Process`] is what runs, in a gateway by [`task`]; [`Guard`] stands before each attempt; [`World`] plays hundreds of them with faults from a seed; [`Story`] puts a run into
//! words; [`search`] draws faults by the thousand and makes what it finds short.

mod checks;
mod confirm;
mod given;
mod guard;
mod process;
pub mod search;
pub mod shares;
mod slots;
mod story;
pub mod task;
mod trial;
mod troubles;
mod wire;
mod work;
mod world;

pub use checks::{Act, Checks};
pub use confirm::Confirmed;
pub use frostgauge_budget::Ticket;
pub use given::{Given, Plant};
pub use guard::{Allows, Guard, Leased, No, View};
pub use process::{Permit, Process, Start, Transport};
pub use story::{given, Story};
pub use trial::Trial;
pub use world::{Weather, World, SECOND};
