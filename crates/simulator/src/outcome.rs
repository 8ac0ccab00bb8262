//! What a simulated scenario came to.

use crate::counter::Counted;

/// What a day came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Requests asked, and served.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Refused since no zone was open.
    pub refused_zone: u64,
    /// Most spill from a zone to another in any second, over the limit: at most 1 is right.
    pub spill: f64,
    /// Cold nodes pushed over by gateways that knew of their start.
    pub fell: u32,
    /// Cold nodes pushed over by gateways most of which could not know of their start: the list was late.
    pub fell_unknown: u32,
    /// Requests without an answer in time, or with two.
    pub answers_wrong: u64,
    /// Zones with a living node that are not at home at some gateway after the quiet time.
    pub away: u64,
    /// A hash of all that happened, in order.
    pub trace: u64,
    /// Units first sent on; of these, within their insurers' quotas; and what the quotas would have let on of
    /// all that was asked.
    pub quota: [f64; 3],
    /// What the counter and its callers came to, where there is one.
    pub counted: Option<Counted>,
}
