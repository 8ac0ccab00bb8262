//! frostgauge makes the decisions of a gateway that holds customers to their quotas before a shared
//! back end: who goes on at once, who waits, who is refused, and which server gets the request.
//!
//! It does no input or output and reads no clock. The host hands in [`Event`]s with the time and
//! carries out the [`Action`]s that come back:
//!
//! ```
//! use frostgauge::*;
//!
//! let settings = Settings {
//!     me: 0,
//!     gateways: 1,
//!     zone: 0,
//!     tick: 1_000,
//!     classes: vec![Class {
//!         aim: 500_000,
//!         deadline: 2_000_000,
//!         late_worth: 0.0,
//!         worth: 1.0,
//!         effect: Effect::Safe,
//!         stream: false,
//!     }],
//!     plans: vec![Plan {
//!         rate: 2.0,
//!         burst: 4.0,
//!         open: 0,
//!         price: 1.0,
//!         over_worth: 0.0,
//!         over_cost: 1.0,
//!         ceiling_rate: 0.0,
//!         ceiling_burst: 0.0,
//!         ceiling_slack: 0.0,
//!     }],
//!     allow: Allow {
//!         cancel: true,
//!         retry_after: true,
//!         max_retry_after: 1_000_000,
//!         max_attempts: 3,
//!         ..Allow::default()
//!     },
//!     rules: Rules {
//!         answer_slack: 5_000,
//!         cold_from: 0.2,
//!         cold: 10_000_000,
//!         fall_multiple: 3.0,
//!         fall: 2_000_000,
//!     },
//! };
//! let mut actions = Vec::new();
//! let mut gateway = Gateway::new(settings, 7, 0)?;
//! let entry = Entry { server: ServerId(1), state: State::Ready, ready_at: 0, size: 1.0, zone: 0, cell: 0 };
//! gateway.handle(0, Event::Servers { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//! let request = Event::Request {
//!     id: RequestId(1),
//!     class: 0,
//!     plan: 0,
//!     customer: CustomerId(9),
//!     patience: 2_000_000,
//!     units: 1.0,
//!     spread: 1,
//!     first: 0,
//!     repeat: false,
//! };
//! gateway.handle(1_000, request, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! // A host hands each `Action::Timer` back as an `Event::Timer` once its time has come.
//! for action in actions.split_off(0) {
//!     if let Action::Timer { at, timer } = action {
//!         gateway.handle(at, Event::Timer { timer }, &mut actions);
//!     }
//! }
//! # Ok::<(), SettingsError>(())
//! ```

mod api;
mod check;
mod choice;
mod parts;

pub use api::*;
pub use choice::Gateway;
