//! One gateway of the simulation, with the simulator's names of its requests and servers.

use crate::actions;
use crate::error::FieldError;
use frostgauge::{Action, Event, Gateway, Micros, RequestId, ServerId};
use frostgauge_platform_protocol::settings::Column;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Bit that is set in the id of a server named otherwise than by its address; ids of addresses use the low 48
/// bits.
const HASHED_SERVER_BIT: u64 = 1 << 63;

/// The simulator's name of a request, kept until the request is finished and none of its attempts is in flight.
struct RequestName {
    text: String,
    attempts_in_flight: u32,
    finished: bool,
}

/// One gateway of the simulation.
pub(crate) struct Instance {
    gateway: Gateway,
    /// Columns of the servers' load reports, in order.
    pub columns: Vec<Column>,
    server_names: HashMap<ServerId, String>,
    request_ids: HashMap<String, RequestId>,
    request_names: HashMap<RequestId, RequestName>,
    last_request_id: u64,
}

/// FNV-1a hash of a text, which gives the same id for a name at every gateway.
pub(crate) fn fnv1a_hash(text: &str) -> u64 {
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
            last_request_id: 0,
        }
    }

    /// The id of a server: its IPv4 address and port as a number, or a hash of any other name.
    pub fn server_id(&mut self, name: &str) -> ServerId {
        let id = ServerId(match name.parse::<SocketAddrV4>() {
            Ok(address) => u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port()),
            Err(_) => fnv1a_hash(name) | HASHED_SERVER_BIT,
        });
        self.server_names.entry(id).or_insert_with(|| name.to_owned());
        id
    }

    /// The name of a server; `None` if no event has named it.
    pub fn server_name(&self, id: ServerId) -> Option<&str> {
        self.server_names.get(&id).map(String::as_str)
    }

    /// The id of a request; a new id if the name is unknown.
    pub fn request_id(&mut self, name: &str) -> RequestId {
        if let Some(id) = self.request_ids.get(name) {
            return *id;
        }
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        self.request_ids.insert(name.to_owned(), id);
        let request_name = RequestName { text: name.to_owned(), attempts_in_flight: 0, finished: false };
        self.request_names.insert(id, request_name);
        id
    }

    /// The id of a request; an error if the name is unknown.
    pub fn known_request_id(&self, name: &str) -> Result<RequestId, FieldError> {
        self.request_ids.get(name).copied().ok_or(FieldError("call"))
    }

    /// The name of a request; `None` once it was dropped.
    pub fn request_name(&self, id: RequestId) -> Option<&str> {
        self.request_names.get(&id).map(|name| name.text.as_str())
    }

    /// Counts an attempt that is sent as in flight.
    pub fn record_send(&mut self, id: RequestId) {
        if let Some(name) = self.request_names.get_mut(&id) {
            name.attempts_in_flight += 1;
        }
    }

    /// Counts an attempt that ended as no longer in flight.
    fn record_attempt_end(&mut self, id: RequestId) {
        if let Some(name) = self.request_names.get_mut(&id) {
            name.attempts_in_flight = name.attempts_in_flight.saturating_sub(1);
        }
        self.drop_name_if_unused(id);
    }

    /// Marks a request as finished.
    pub fn record_finish(&mut self, id: RequestId) {
        if let Some(name) = self.request_names.get_mut(&id) {
            name.finished = true;
        }
        self.drop_name_if_unused(id);
    }

    fn drop_name_if_unused(&mut self, id: RequestId) {
        let is_unused = |name: &RequestName| name.finished && name.attempts_in_flight == 0;
        if self.request_names.get(&id).is_some_and(is_unused) {
            let name = self.request_names.remove(&id);
            name.and_then(|name| self.request_ids.remove(&name.text));
        }
    }

    /// Lets the gateway handle an event and appends its actions as JSON arrays. If the gateway panics, an
    /// `internalError` with the panic's message is appended too.
    pub fn handle_event(&mut self, now: Micros, instance_number: u64, event: Event, out: &mut Vec<Value>) {
        let (ended_attempt, finished_request) = match &event {
            Event::AttemptEnded { id, request_finished, .. } => (Some(*id), request_finished.then_some(*id)),
            Event::ClientDisconnected { id } => (None, Some(*id)),
            _ => (None, None),
        };
        let mut actions: Vec<Action> = Vec::new();
        let result = catch_unwind(AssertUnwindSafe(|| self.gateway.handle(now, event, &mut actions)));
        for action in &actions {
            out.extend(actions::to_json(self, instance_number, action));
        }
        ended_attempt.into_iter().for_each(|id| self.record_attempt_end(id));
        finished_request.into_iter().for_each(|id| self.record_finish(id));
        if let Err(panic) = result {
            let message = panic.downcast_ref::<String>().cloned();
            let message = message.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
            out.push(json!([
                "internalError",
                instance_number,
                message.unwrap_or_else(|| "panic".to_owned())
            ]));
        }
    }
}
