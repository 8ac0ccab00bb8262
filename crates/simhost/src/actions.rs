//! Conversion of a gateway's actions to the simulator's JSON arrays.

use crate::instance::Instance;
use base64::{prelude::BASE64_STANDARD, Engine};
use frostgauge::{Action, RequestId};
use serde_json::{json, Value};

/// Converts an action and records in the instance the request that it sends or finishes. `None` if the
/// instance knows no name for the action's request or server.
pub(crate) fn to_json(instance: &mut Instance, instance_number: u64, action: &Action) -> Option<Value> {
    Some(match action {
        Action::Send { id, server, timeout } => {
            let item = {
                let request = instance.request_name(*id)?;
                json!(["send", instance_number, request, instance.server_name(*server)?, timeout])
            };
            instance.record_send(*id);
            item
        }
        Action::Reject { id, retry_after, .. } => {
            let request = finish_request(instance, *id)?;
            json!(["shed", instance_number, request, retry_after])
        }
        Action::Fail { id } => {
            let request = finish_request(instance, *id)?;
            json!(["reportFailure", instance_number, request])
        }
        Action::Cancel { id, attempt } => {
            json!(["cancel", instance_number, instance.request_name(*id)?, attempt])
        }
        Action::Timer { at, timer } => json!(["wakeAt", instance_number, at, timer.0.to_string()]),
        Action::Probe { server } => json!(["probe", instance_number, instance.server_name(*server)?]),
        Action::SendToPeer { to, data } => {
            json!(["publish", instance_number, to, BASE64_STANDARD.encode(data)])
        }
        Action::SubscribeToServers => json!(["watch", instance_number, true]),
        Action::AddToCounter { counter, amount, ttl } => {
            json!(["bump", instance_number, format!("{:x}", counter.0), amount, ttl])
        }
        Action::Log { text } => json!(["debug", instance_number, text]),
    })
}

/// Records that a request is finished and returns its name.
fn finish_request(instance: &mut Instance, id: RequestId) -> Option<String> {
    let name = instance.request_name(id)?.to_owned();
    instance.record_finish(id);
    Some(name)
}
