//! One gateway and the wire's names for what it numbers.

use crate::actions;
use crate::error::FieldError;
use frostgauge::{Action, Event, Gateway, Micros, RequestId, ServerId};
use frostgauge_platform_protocol::settings::Column;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A request's name, kept while the request or one of its attempts is in flight.
struct RequestName {
    text: String,
    attempts_in_flight: u32,
    finished: bool,
}

/// One gateway of the simulation.
pub(crate) struct Instance {
    gateway: Gateway,
    /// Columns of load reports, in order.
    pub columns: Vec<Column>,
    server_names: HashMap<ServerId, String>,
    request_ids: HashMap<String, RequestId>,
    request_names: HashMap<RequestId, RequestName>,
    last_request: u64,
}

/// A number for a text that is the same at every gateway (FNV-1a).
pub(crate) fn hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

impl Instance {
    pub fn new(gateway: Gateway, columns: Vec<Column>) -> Instance {
        Instance {
            gateway,
            columns,
            server_names: HashMap::new(),
            request_ids: HashMap::new(),
            request_names: HashMap::new(),
            last_request: 0,
        }
    }

    /// The id of a server: its address, or a hash of any other name.
    pub fn server_id(&mut self, name: &str) -> ServerId {
        let id = ServerId(match name.parse::<SocketAddrV4>() {
            Ok(address) => u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port()),
            Err(_) => hash(name) | 1 << 63,
        });
        self.server_names.entry(id).or_insert_with(|| name.to_owned());
        id
    }

    /// The name of a server.
    pub fn server_name(&self, id: ServerId) -> Option<&str> {
        self.server_names.get(&id).map(String::as_str)
    }

    /// The id of a request; a name that is not known gets a new one.
    pub fn request_id(&mut self, name: &str) -> RequestId {
        if let Some(id) = self.request_ids.get(name) {
            return *id;
        }
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.request_ids.insert(name.to_owned(), id);
        let fresh = RequestName { text: name.to_owned(), attempts_in_flight: 0, finished: false };
        self.request_names.insert(id, fresh);
        id
    }

    /// The id of a request whose name is known.
    pub fn known_request_id(&self, name: &str) -> Result<RequestId, FieldError> {
        self.request_ids.get(name).copied().ok_or(FieldError("call"))
    }

    /// The name of a request.
    pub fn request_name(&self, id: RequestId) -> Option<&str> {
        self.request_names.get(&id).map(|name| name.text.as_str())
    }

    /// Notes that an attempt is sent.
    pub fn record_send(&mut self, id: RequestId) {
        if let Some(name) = self.request_names.get_mut(&id) {
            name.attempts_in_flight += 1;
        }
    }

    /// Notes that an attempt ended.
    fn record_end(&mut self, id: RequestId) {
        if let Some(name) = self.request_names.get_mut(&id) {
            name.attempts_in_flight = name.attempts_in_flight.saturating_sub(1);
        }
        self.forget_if_unused(id);
    }

    /// Notes that a request is finished.
    pub fn record_finish(&mut self, id: RequestId) {
        if let Some(name) = self.request_names.get_mut(&id) {
            name.finished = true;
        }
        self.forget_if_unused(id);
    }

    fn forget_if_unused(&mut self, id: RequestId) {
        let is_unused = |name: &RequestName| name.finished && name.attempts_in_flight == 0;
        if self.request_names.get(&id).is_some_and(is_unused) {
            let name = self.request_names.remove(&id);
            name.and_then(|name| self.request_ids.remove(&name.text));
        }
    }

    /// Has the gateway handle an event, and appends its actions in the wire's form. A panic of the gateway becomes an
    /// `internalError`.
    pub fn play(&mut self, now: Micros, number: u64, event: Event, out: &mut Vec<Value>) {
        let (ended, finished) = match &event {
            Event::AttemptEnded { id, request_finished, .. } => (Some(*id), request_finished.then_some(*id)),
            Event::ClientDisconnected { id } => (None, Some(*id)),
            _ => (None, None),
        };
        let mut actions: Vec<Action> = Vec::new();
        let run = catch_unwind(AssertUnwindSafe(|| self.gateway.handle(now, event, &mut actions)));
        for action in &actions {
            out.extend(actions::write(self, number, action));
        }
        ended.into_iter().for_each(|id| self.record_end(id));
        finished.into_iter().for_each(|id| self.record_finish(id));
        if let Err(panic) = run {
            let text = panic.downcast_ref::<String>().cloned();
            let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
            out.push(json!(["internalError", number, text.unwrap_or_else(|| "panic".to_owned())]));
        }
    }
}
