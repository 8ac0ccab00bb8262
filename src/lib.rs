//! frostgauge makes the decisions of a gateway that enforces customers' quotas in front of a shared back
//! end: which requests are sent at once, held or rejected, and which server each is sent to.
//!
//! It does no input or output and reads no clock. The host hands [`Event`]s with the present time to a
//! [`Gateway`] and carries out the [`Action`]s that the gateway appends:
//!
//! ```
//! use frostgauge::*;
//!
//! let settings = Settings {
//!     gateway_id: 0,
//!     gateways: 1,
//!     zone: 0,
//!     tick: 1_000,
//!     classes: vec![Class {
//!         latency_objective: 500_000,
//!         deadline: 2_000_000,
//!         late_weight_share: 0.0,
//!         priority_weight: 1.0,
//!         effect: Effect::Idempotent,
//!         stream: false,
//!     }],
//!     plans: vec![Plan {
//!         rate: 2.0,
//!         burst: 4.0,
//!         max_in_flight: 0,
//!         weight_factor: 1.0,
//!         over_quota_weight_share: 0.0,
//!         over_quota_cost_share: 1.0,
//!         ceiling_rate: 0.0,
//!         ceiling_burst: 0.0,
//!         ceiling_slack: 0.0,
//!     }],
//!     capabilities: Capabilities {
//!         cancel: true,
//!         retry_after: true,
//!         max_retry_after: 1_000_000,
//!         max_attempts: 3,
//!         ..Capabilities::default()
//!     },
//!     backend_limits: BackendLimits {
//!         answer_slack: 5_000,
//!         slow_start_share: 0.2,
//!         slow_start_time: 10_000_000,
//!         collapse_multiple: 3.0,
//!         collapse_time: 2_000_000,
//!     },
//! };
//! let mut actions = Vec::new();
//! let mut gateway = Gateway::new(settings, 7, 0)?;
//! let entry = ServerEntry {
//!     server: ServerId(1),
//!     state: ServerState::Ready,
//!     ready_at: 0,
//!     size: 1.0,
//!     zone: 0,
//!     cell: 0,
//! };
//! gateway.handle(0, Event::Servers { kind: ListKind::Full, entries: vec![entry] }, &mut actions);
//! let request = Event::Request {
//!     id: RequestId(1),
//!     class: 0,
//!     plan: 0,
//!     customer: CustomerId(9),
//!     timeout: 2_000_000,
//!     units: 1.0,
//!     subset_size: 1,
//!     subset_start: 0,
//!     is_retry: false,
//! };
//! gateway.handle(1_000, request, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! // The host hands each `Action::Timer` back as an `Event::Timer` when it expires.
//! for action in actions.split_off(0) {
//!     if let Action::Timer { at, timer } = action {
//!         gateway.handle(at, Event::Timer { timer }, &mut actions);
//!     }
//! }
//! # Ok::<(), SettingsError>(())
//! ```

mod admission;
mod api;
mod attempts;
mod check;
mod customer;
mod decay;
mod gateway;
mod gossip;
mod holding;
mod load_balancing;
mod outlier_detection;
mod pacing;
mod peer_message;
mod probing;
mod quota;
mod random;
mod request;
mod retry;
mod servers;
mod shared_counter;
mod slow_start;

pub use api::*;
pub use gateway::Gateway;
