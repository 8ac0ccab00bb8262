//! Actions of a gateway in the wire's form.

use crate::instance::Instance;
use base64::{prelude::BASE64_STANDARD, Engine};
use frostgauge::{Action, RequestId};
use serde_json::{json, Value};

/// The wire's form of an action; `None` if it names something that the wire never named.
pub(crate) fn write(instance: &mut Instance, number: u64, action: &Action) -> Option<Value> {
    Some(match action {
        Action::Send { id, server, timeout } => {
            let item = {
                let name = instance.request_name(*id)?;
                json!(["send", number, name, instance.server_name(*server)?, timeout])
            };
            instance.record_send(*id);
            item
        }
        Action::Reject { id, retry_after, .. } => {
            let name = finish(instance, *id)?;
            json!(["shed", number, name, retry_after])
        }
        Action::Fail { id } => {
            let name = finish(instance, *id)?;
            json!(["reportFailure", number, name])
        }
        Action::Cancel { id, attempt } => json!(["cancel", number, instance.request_name(*id)?, attempt]),
        Action::Timer { at, timer } => json!(["wakeAt", number, at, timer.0.to_string()]),
        Action::Probe { server } => json!(["probe", number, instance.server_name(*server)?]),
        Action::SendToPeer { to, data } => json!(["publish", number, to, BASE64_STANDARD.encode(data)]),
        Action::SubscribeToServers => json!(["watch", number, true]),
        Action::AddToCounter { counter, amount, ttl } => {
            json!(["bump", number, format!("{:x}", counter.0), amount, ttl])
        }
        Action::Log { text } => json!(["debug", number, text]),
    })
}

/// The name of a request that is finished with this action.
fn finish(instance: &mut Instance, id: RequestId) -> Option<String> {
    let name = instance.request_name(id)?.to_owned();
    instance.record_finish(id);
    Some(name)
}
