//! Conversion of the simulator's JSON arrays to events of the decision library.

use crate::error::FieldError;
use crate::fields::Fields;
use crate::instance::{fnv1a_hash, Instance};
use base64::{prelude::BASE64_STANDARD, Engine};
use frostgauge::{
    CounterId, CustomerId, Event, ListKind, Load, ServerEntry, ServerId, ServerState, Status, TimerId,
};
use serde_json::Value;

/// Bit in a request's `flags` by which the client marks it as a retry.
const RETRY_FLAG: u64 = 2;

/// Converts the event of this name; `None` if the name is unknown.
pub(crate) fn parse(
    instance: &mut Instance,
    name: &str,
    fields: Fields,
) -> Result<Option<Event>, FieldError> {
    let event = match name {
        "targets" => parse_server_list(instance, fields)?,
        "demand" => parse_request(instance, fields)?,
        "established" => Event::AnswerStarted { id: instance.known_request_id(fields.text(0, "call")?)? },
        "finished" => parse_outcome(instance, fields)?,
        "gone" => Event::ClientDisconnected { id: instance.request_id(fields.text(0, "call")?) },
        "due" => parse_timer(fields)?,
        "checkResult" => Event::ProbeResult {
            server: parse_server(instance, fields, 1)?,
            status: parse_status(fields, 2)?,
            load: parse_load(instance, fields.get(3)),
        },
        "peerData" => parse_peer_message(fields)?,
        "counterReply" => parse_counter_reply(fields)?,
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn parse_server_list(instance: &mut Instance, fields: Fields) -> Result<Event, FieldError> {
    let kind = match fields.integer(0, "mode")? {
        0 => ListKind::Full,
        2 => ListKind::Failed,
        3 => ListKind::Delta,
        4 => ListKind::Cached,
        _ => return Err(FieldError("mode")),
    };
    let rows = fields.array(2, "records")?;
    let entries = rows.iter().map(|row| parse_entry(instance, row)).collect::<Result<_, _>>()?;
    Ok(Event::Servers { kind, entries })
}

fn parse_entry(instance: &mut Instance, row: &Value) -> Result<ServerEntry, FieldError> {
    let row = Fields(row.as_array().ok_or(FieldError("records"))?);
    Ok(ServerEntry {
        cell: row.integer(0, "pod")? as u32,
        state: match row.integer(1, "readiness")? {
            0 => ServerState::Removed,
            1 => ServerState::Ready,
            2 => ServerState::Draining,
            _ => return Err(FieldError("readiness")),
        },
        ready_at: row.integer(2, "readyAtUs")?,
        size: row.number(3, "size").unwrap_or(1.0),
        zone: row.integer(5, "locality")? as u32,
        server: parse_server(instance, row, 6)?,
    })
}

fn parse_request(instance: &mut Instance, fields: Fields) -> Result<Event, FieldError> {
    let id = instance.request_id(fields.text(0, "call")?);
    let customer = fields.text(3, "apiKey")?;
    Ok(Event::Request {
        id,
        class: fields.integer(1, "tierClass")? as usize,
        plan: fields.integer(2, "tier")? as usize,
        customer: CustomerId(u64::from_str_radix(customer, 16).unwrap_or_else(|_| fnv1a_hash(customer))),
        timeout: fields.integer(4, "graceUs")?,
        units: fields.number(5, "units")?,
        subset_size: fields.integer(6, "setSize")? as usize,
        subset_start: fields.integer(7, "firstDoor")? as usize,
        is_retry: fields.integer(8, "flags")? & RETRY_FLAG != 0,
    })
}

fn parse_outcome(instance: &mut Instance, fields: Fields) -> Result<Event, FieldError> {
    Ok(Event::AttemptEnded {
        id: instance.request_id(fields.text(0, "call")?),
        attempt: fields.integer(1, "hop")? as u32,
        server: parse_server(instance, fields, 2)?,
        status: parse_status(fields, 3)?,
        elapsed: fields.integer(4, "costTimeUs")?,
        request_finished: fields.boolean(5),
        usage: parse_usage(fields.integer(6, "usage")?),
        settled_units: fields.get(7).and_then(Value::as_f64).filter(|units| *units > 0.0),
        load: parse_load(instance, fields.get(8)),
    })
}

/// The share of a quota that the simulator writes as a percentage plus one, with 0 for an answer that reports
/// none.
fn parse_usage(percent_plus_one: u64) -> Option<f64> {
    (percent_plus_one > 0).then(|| (percent_plus_one - 1) as f64 / 100.0)
}

fn parse_timer(fields: Fields) -> Result<Event, FieldError> {
    let timer = fields.text(0, "name")?.parse().map_err(|_| FieldError("name"))?;
    Ok(Event::Timer { timer: TimerId(timer) })
}

fn parse_peer_message(fields: Fields) -> Result<Event, FieldError> {
    let from = fields.integer(0, "who")? as usize;
    let data = BASE64_STANDARD.decode(fields.text(1, "body")?).map_err(|_| FieldError("body"))?;
    Ok(Event::PeerMessage { from, data })
}

fn parse_counter_reply(fields: Fields) -> Result<Event, FieldError> {
    let status = fields.text(1, "verdict")?;
    let counter = u64::from_str_radix(fields.text(0, "entryName")?, 16);
    Ok(Event::CounterReply {
        counter: CounterId(counter.map_err(|_| FieldError("entryName"))?),
        total: if status == "OK" { Some(fields.number(2, "total")?) } else { None },
        may_have_added: status == "DEADLINE_EXCEEDED",
        elapsed: fields.integer(3, "costTimeUs")?,
    })
}

fn parse_server(instance: &mut Instance, fields: Fields, index: usize) -> Result<ServerId, FieldError> {
    Ok(instance.server_id(fields.text(index, "server")?))
}

fn parse_status(fields: Fields, index: usize) -> Result<Status, FieldError> {
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

fn parse_load(instance: &Instance, value: Option<&Value>) -> Option<Load> {
    let row = value?.as_array()?;
    let mut load = Load::default();
    for (column, value) in instance.columns.iter().zip(row) {
        column.set_value(&mut load, value.as_f64());
    }
    Some(load)
}
