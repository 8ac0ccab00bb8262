//! State kept for each client request.

use crate::api::{CustomerId, Micros, ServerId};

/// A request that arrives; its fields are those of [`crate::Event::Request`].
pub(crate) struct Arrival {
    pub class: usize,
    pub plan: usize,
    pub customer: CustomerId,
    pub timeout: Micros,
    pub units: f64,
    pub subset_size: usize,
    pub subset_start: usize,
    pub is_retry: bool,
}

/// Where a server is. Servers of one zone or cell may share the keys of the requests that they deduplicate.
#[derive(Clone, Copy)]
pub(crate) struct Location {
    pub zone: u32,
    pub cell: u32,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub server: ServerId,
    /// Where the server was when the attempt was sent; the server may be removed before the request ends.
    pub location: Location,
    pub sent_at: Micros,
    pub in_flight: bool,
    /// Whether the attempt ended with a status after which the request may have run.
    pub may_have_run: bool,
    /// Requests expected at the server when the attempt was sent, without this one.
    pub server_load: f64,
}

/// A client request, from its arrival until it has its final answer and no attempt is in flight.
#[derive(Default)]
pub(crate) struct Request {
    /// Index of the request's class.
    pub class: usize,
    /// Index of the customer's plan.
    pub plan: usize,
    pub customer: CustomerId,
    pub units: f64,
    pub arrived_at: Micros,
    /// How long the client has waited in earlier requests of which this is a retry, µs.
    pub waited: Micros,
    /// When the final answer is due, µs.
    pub deadline: Micros,
    /// Whether it is held: by its pacer or for a reply of the shared counter.
    pub held: bool,
    pub within_quota: bool,
    /// Whether a streamed answer has begun.
    pub started: bool,
    /// Whether the client has its final answer or has disconnected.
    pub finished: bool,
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Whether any attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// The first attempt that ended and may have run.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    /// The first attempt that may have run, or that is in flight and may still run.
    pub fn first_that_may_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run || attempt.in_flight)
    }
}
