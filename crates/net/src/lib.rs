//! Connections on futures-lite streams over async-io: accepting them, keeping idle ones, one HTTP request and
//! its response on one. The gateway, the stand-ins and the command line share it; it decides nothing.

mod accept;
mod cooperation;
mod exchange;
mod memory;
mod pool;
mod staff;
mod stream;

pub use accept::{accept, listen, or_closing, Closing, Hold, Place, Places};
pub use cooperation::read_budget;
pub use exchange::{
    exchange, exchange_by, receive, receive_within, send, talk, End, NoLink, Plain, Pooled, Response,
    ResponseMemory, Way,
};
pub use memory::{InputBuffer, MemoryBudget, OutOfMemory, Reservation};
pub use pool::{stands, Pool};
pub use staff::{ask, ask_with, pages, Page, Question};
pub use stream::{discard_arrived, exhausted, has_hung_up, read_arrived, read_into, read_some, until, Timed};
