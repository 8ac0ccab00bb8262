//! Events in the wire's form.

use crate::error::FieldError;
use crate::fields::Fields;
use crate::instance::{hash, Instance};
use base64::{prelude::BASE64_STANDARD, Engine};
use frostgauge::{
    CounterId, CustomerId, Event, ListKind, Load, ServerEntry, ServerId, ServerState, Status, TimerId,
};
use serde_json::Value;

/// Bit of a request's flags: the client marked it as a retry.
const RETRY_FLAG: u64 = 2;

/// Reads the event of a name; `None` for a name that is not known.
pub(crate) fn read(instance: &mut Instance, name: &str, fields: Fields) -> Result<Option<Event>, FieldError> {
    let event = match name {
        "targets" => servers(instance, fields)?,
        "demand" => request(instance, fields)?,
        "established" => Event::AnswerStarted { id: instance.known_request_id(fields.text(0, "call")?)? },
        "finished" => outcome(instance, fields)?,
        "gone" => Event::ClientDisconnected { id: instance.request_id(fields.text(0, "call")?) },
        "due" => timer(fields)?,
        "checkResult" => Event::ProbeResult {
            server: server(instance, fields, 1)?,
            status: status(fields, 2)?,
            load: load(instance, fields.get(3)),
        },
        "peerData" => peer_message(fields)?,
        "counterReply" => counter_reply(fields)?,
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn servers(instance: &mut Instance, fields: Fields) -> Result<Event, FieldError> {
    let kind = match fields.whole(0, "mode")? {
        0 => ListKind::Full,
        2 => ListKind::Failed,
        3 => ListKind::Delta,
        4 => ListKind::Cached,
        _ => return Err(FieldError("mode")),
    };
    let rows = fields.list(2, "records")?;
    let entries = rows.iter().map(|row| entry(instance, row)).collect::<Result<_, _>>()?;
    Ok(Event::Servers { kind, entries })
}

fn entry(instance: &mut Instance, row: &Value) -> Result<ServerEntry, FieldError> {
    let row = Fields(row.as_array().ok_or(FieldError("records"))?);
    Ok(ServerEntry {
        cell: row.whole(0, "pod")? as u32,
        state: match row.whole(1, "readiness")? {
            0 => ServerState::Removed,
            1 => ServerState::Ready,
            2 => ServerState::Draining,
            _ => return Err(FieldError("readiness")),
        },
        ready_at: row.whole(2, "readyAtUs")?,
        size: row.number(3, "size").unwrap_or(1.0),
        zone: row.whole(5, "locality")? as u32,
        server: server(instance, row, 6)?,
    })
}

fn request(instance: &mut Instance, fields: Fields) -> Result<Event, FieldError> {
    let id = instance.request_id(fields.text(0, "call")?);
    let customer = fields.text(3, "apiKey")?;
    Ok(Event::Request {
        id,
        class: fields.whole(1, "tierClass")? as usize,
        plan: fields.whole(2, "tier")? as usize,
        customer: CustomerId(u64::from_str_radix(customer, 16).unwrap_or_else(|_| hash(customer))),
        timeout: fields.whole(4, "graceUs")?,
        units: fields.number(5, "units")?,
        subset_size: fields.whole(6, "setSize")? as usize,
        subset_start: fields.whole(7, "firstDoor")? as usize,
        is_retry: fields.whole(8, "flags")? & RETRY_FLAG != 0,
    })
}

fn outcome(instance: &mut Instance, fields: Fields) -> Result<Event, FieldError> {
    Ok(Event::AttemptEnded {
        id: instance.request_id(fields.text(0, "call")?),
        attempt: fields.whole(1, "hop")? as u32,
        server: server(instance, fields, 2)?,
        status: status(fields, 3)?,
        elapsed: fields.whole(4, "costTimeUs")?,
        request_finished: fields.flag(5),
        usage: usage(fields.whole(6, "usage")?),
        settled_units: fields.get(7).and_then(Value::as_f64).filter(|units| *units > 0.0),
        load: load(instance, fields.get(8)),
    })
}

/// A share from the wire's form: percent plus one, or 0 if the answer reports none.
fn usage(percent_plus_one: u64) -> Option<f64> {
    (percent_plus_one > 0).then(|| (percent_plus_one - 1) as f64 / 100.0)
}

fn timer(fields: Fields) -> Result<Event, FieldError> {
    let timer = fields.text(0, "name")?.parse().map_err(|_| FieldError("name"))?;
    Ok(Event::Timer { timer: TimerId(timer) })
}

fn peer_message(fields: Fields) -> Result<Event, FieldError> {
    let from = fields.whole(0, "who")? as usize;
    let data = BASE64_STANDARD.decode(fields.text(1, "body")?).map_err(|_| FieldError("body"))?;
    Ok(Event::PeerMessage { from, data })
}

fn counter_reply(fields: Fields) -> Result<Event, FieldError> {
    let status = fields.text(1, "verdict")?;
    let counter = u64::from_str_radix(fields.text(0, "entryName")?, 16);
    Ok(Event::CounterReply {
        counter: CounterId(counter.map_err(|_| FieldError("entryName"))?),
        total: if status == "OK" { Some(fields.number(2, "total")?) } else { None },
        may_have_added: status == "DEADLINE_EXCEEDED",
        elapsed: fields.whole(3, "costTimeUs")?,
    })
}

fn server(instance: &mut Instance, fields: Fields, index: usize) -> Result<ServerId, FieldError> {
    Ok(instance.server_id(fields.text(index, "server")?))
}

fn status(fields: Fields, index: usize) -> Result<Status, FieldError> {
    Ok(match fields.text(index, "verdict")? {
        "OK" => Status::Ok,
        "INTERNAL" => Status::Error,
        "RESOURCE_EXHAUSTED" => Status::Rejected,
        "DEADLINE_EXCEEDED" => Status::Timeout,
        "UNAVAILABLE" => Status::ConnectFailed,
        "ABORTED" => Status::Reset,
        "CANCELLED" => Status::Cancelled,
        "TOO_LATE" => Status::NotSent,
        _ => return Err(FieldError("verdict")),
    })
}

fn load(instance: &Instance, value: Option<&Value>) -> Option<Load> {
    let row = value?.as_array()?;
    let mut load = Load::default();
    for (column, value) in instance.columns.iter().zip(row) {
        column.set_value(&mut load, value.as_f64());
    }
    Some(load)
}
