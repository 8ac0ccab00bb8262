//! The gateways of one adapter process, and the batches of events for them.

use crate::error::{BatchError, FieldError};
use crate::events;
use crate::fields::Fields;
use crate::instance::Instance;
use frostgauge::{Gateway, Micros};
use frostgauge_platform_protocol::settings;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashSet};

/// Hosts the gateways of a simulation.
#[derive(Default)]
pub struct Host {
    /// The running gateways, by the simulator's instance number.
    instances: BTreeMap<u64, Instance>,
    /// Names of unknown events that were logged already.
    logged_unknown: HashSet<String>,
}

impl Host {
    /// Handles the events of one batch and returns the reply line, without a line feed. Events for an
    /// instance that is not running are ignored.
    ///
    /// # Errors
    /// The line is not a batch, or a field of the batch or of an event is missing or invalid. Events before
    /// the invalid one have been handled then.
    pub fn handle_batch(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: Value = serde_json::from_str(line)?;
        let serial = batch.get("serial").and_then(Value::as_u64).ok_or(BatchError::NoSerial)?;
        let invalid = |name| BatchError::BatchField { serial, error: FieldError(name) };
        let now = batch.get("atTimeUs").and_then(Value::as_u64).ok_or_else(|| invalid("atTimeUs"))?;
        let items = batch.get("items").and_then(Value::as_array).ok_or_else(|| invalid("items"))?;
        let mut out = Vec::new();
        for item in items {
            let item = item.as_array().ok_or_else(|| invalid("items"))?;
            let name = item.first().and_then(Value::as_str).ok_or_else(|| invalid("items[0]"))?;
            self.handle_item(now, name, &item[1..], &mut out).map_err(|error| {
                let event = name.to_owned();
                BatchError::EventField { serial, event, error }
            })?;
        }
        Ok(json!({ "serial": serial, "out": out }).to_string())
    }

    /// Handles one event of a batch. `values` are the instance number and the event's fields.
    fn handle_item(
        &mut self,
        now: Micros,
        name: &str,
        values: &[Value],
        out: &mut Vec<Value>,
    ) -> Result<(), FieldError> {
        let instance_number = values.first().and_then(Value::as_u64).ok_or(FieldError("i"))?;
        let fields = Fields(&values[1..]);
        match name {
            "launch" => return self.launch(now, instance_number, fields, out),
            "retire" => drop(self.instances.remove(&instance_number)),
            _ => {
                let Some(instance) = self.instances.get_mut(&instance_number) else { return Ok(()) };
                match events::parse(instance, name, fields)? {
                    Some(event) => instance.handle_event(now, instance_number, event, out),
                    None => self.log_unknown(name),
                }
            }
        }
        Ok(())
    }

    /// Logs the first event of each unknown name.
    fn log_unknown(&mut self, name: &str) {
        if self.logged_unknown.insert(name.to_owned()) {
            eprintln!("unknown event '{name}'; ignoring all events of this name");
        }
    }

    /// Starts a gateway in place of any that runs under the same instance number. Invalid settings are
    /// reported in the reply as an `internalError`.
    fn launch(
        &mut self,
        now: Micros,
        instance_number: u64,
        fields: Fields,
        out: &mut Vec<Value>,
    ) -> Result<(), FieldError> {
        let seed = fields.get(0).and_then(|value| value.as_u64().or(value.as_i64().map(|seed| seed as u64)));
        let seed = seed.ok_or(FieldError("prng"))?;
        let settings = fields.get(1).filter(|value| value.is_object()).ok_or(FieldError("settings"))?;
        self.instances.remove(&instance_number);
        match start_instance(settings, seed, now) {
            Ok(instance) => drop(self.instances.insert(instance_number, instance)),
            Err(message) => out.push(json!(["internalError", instance_number, message])),
        }
        Ok(())
    }
}

/// Starts a gateway with the settings of a `launch` event. The error is the text for the `internalError`.
fn start_instance(settings: &Value, seed: u64, now: Micros) -> Result<Instance, String> {
    let site = settings::read(settings).map_err(|error| error.to_string())?;
    let gateway = Gateway::new(site.settings, seed, now).map_err(|error| error.to_string())?;
    Ok(Instance::new(gateway, site.columns))
}
