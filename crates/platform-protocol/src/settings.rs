//! Reads the settings object, which is part of the simulator's first message and of the platform's configuration file,
//! into the settings of the decision library and those of connections. Unknown keys are ignored.

use frostgauge::{
    BackendLimits, Capabilities, Class, DedupScope, Effect, Load, LoadReports, Micros, Plan, Settings,
};
use serde_json::Value;

/// A setting that is missing, of the wrong type or out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings: {path} {problem}")]
pub struct ReadError {
    /// Path of the setting in the settings object.
    pub path: String,
    /// The fault, as the predicate of a sentence that begins with the path. The simulator receives this text in its
    /// `internalError` message.
    pub problem: &'static str,
}

/// An object within the settings.
struct Reader<'a> {
    value: &'a Value,
    /// Path of the object followed by a dot; empty for the settings object itself.
    path_prefix: String,
}

impl<'a> Reader<'a> {
    fn error(&self, key: &str, problem: &'static str) -> ReadError {
        ReadError { path: format!("{}{key}", self.path_prefix), problem }
    }
    fn get(&self, key: &str) -> Result<&'a Value, ReadError> {
        self.value.get(key).ok_or_else(|| self.error(key, "is missing"))
    }
    fn object(&self, key: &str) -> Result<Reader<'a>, ReadError> {
        Ok(Reader { value: self.get(key)?, path_prefix: format!("{}{key}.", self.path_prefix) })
    }
    /// The objects of a list.
    fn list(&self, key: &str) -> Result<Vec<Reader<'a>>, ReadError> {
        let items = self.get(key)?.as_array().ok_or_else(|| self.error(key, "is no list"))?;
        let reader =
            |(index, value)| Reader { value, path_prefix: format!("{}{key}[{index}].", self.path_prefix) };
        Ok(items.iter().enumerate().map(reader).collect())
    }
    fn number(&self, key: &str) -> Result<f64, ReadError> {
        self.get(key)?.as_f64().ok_or_else(|| self.error(key, "is no number"))
    }
    /// A number that is not negative, with its fraction cut off.
    fn whole(&self, key: &str) -> Result<u64, ReadError> {
        let value = self.number(key)?;
        if value < 0.0 {
            return Err(self.error(key, "is negative"));
        }
        Ok(value as u64)
    }
    /// A boolean; false if it is missing or of another type.
    fn flag(&self, key: &str) -> bool {
        self.value.get(key).and_then(Value::as_bool).unwrap_or(false)
    }
    /// A string; empty if it is missing or of another type.
    fn text(&self, key: &str) -> &'a str {
        self.value.get(key).and_then(Value::as_str).unwrap_or("")
    }
}

/// A value that servers may give in their load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// Requests in flight.
    Inflight,
    /// Requests queued.
    Queue,
    /// CPU utilization, 0 to 1.
    Util,
    /// Recent service time, ms.
    Latency,
    /// A column that the gateway does not use.
    Other,
}

impl Column {
    /// The column with this name in the settings and in load reports; [`Column::Other`] for an unknown name.
    pub fn from_name(name: &str) -> Column {
        match name {
            "outstanding" | "inflight" => Column::Inflight,
            "backlog" | "queue" => Column::Queue,
            "utilization" | "util" => Column::Util,
            "recent_ms" | "latency_ms" => Column::Latency,
            _ => Column::Other,
        }
    }

    /// Sets the column's value in a load report; a value of [`Column::Other`] is dropped.
    pub fn set_value(self, load: &mut Load, value: Option<f64>) {
        match self {
            Column::Inflight => load.inflight = value,
            Column::Queue => load.queue = value,
            Column::Util => load.util = value,
            Column::Latency => load.latency_ms = value,
            Column::Other => {}
        }
    }
}

/// The contents of the settings object.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Settings of the decision library, the crate `frostgauge`.
    pub settings: Settings,
    /// The columns of the servers' load reports, in the order of the settings.
    pub columns: Vec<Column>,
    /// Names of the classes; a class is referred to by its index here.
    pub classes: Vec<String>,
    /// Names of the plans; a plan is referred to by its index here.
    pub plans: Vec<String>,
    /// Names of the zones; a zone is referred to by its index here.
    pub zones: Vec<String>,
    /// Maximum units of one request; 0 if the settings have no maximum.
    pub max_units: f64,
    /// Maximum number of requests in flight; 0 if the settings have no maximum.
    pub max_in_flight: usize,
    /// Servers close connections that are idle for this long, µs; 0 if the settings don't give it.
    pub idle_timeout: Micros,
    /// Timeout for connecting to a server, µs; 0 if the settings don't give it.
    pub connect_timeout: Micros,
    /// Time after which no new request may be sent to a draining server, µs; 0 if the settings don't give it.
    pub drain_grace: Micros,
}

/// Reads the settings object.
///
/// # Errors
/// The first setting that is missing, of the wrong type, negative or unknown.
pub fn read(object: &Value) -> Result<PlatformSettings, ReadError> {
    let root = Reader { value: object, path_prefix: String::new() };
    let (limits, rules, family, stats) =
        (root.object("limits")?, root.object("rules")?, root.object("familyInfo")?, root.object("stats")?);
    let settings = Settings {
        gateway_id: root.whole("me")? as usize,
        gateways: root.whole("siblings")? as usize,
        zone: root.whole("az")? as u32,
        tick: root.whole("tickUs")?,
        classes: root.list("classes")?.iter().map(class).collect::<Result<_, _>>()?,
        plans: root.list("plans")?.iter().map(plan).collect::<Result<_, _>>()?,
        capabilities: capabilities(&root, &limits, &family, &stats)?,
        backend_limits: BackendLimits {
            answer_slack: rules.whole("graceToAnswerUs")?,
            slow_start_share: rules.number("coldFrom")?,
            slow_start_time: rules.whole("warmAfterUs")?,
            collapse_multiple: rules.number("fallMultiple")?,
            collapse_time: rules.whole("tipAfterUs")?,
        },
    };
    Ok(PlatformSettings {
        settings,
        columns: columns(&stats),
        classes: names(object, "classes"),
        plans: names(object, "plans"),
        zones: names(object, "zones"),
        max_units: family.number("maxUnits").unwrap_or(0.0),
        max_in_flight: limits.whole("maxOpen").unwrap_or(0) as usize,
        idle_timeout: limits.whole("connIdleUs").unwrap_or(0),
        connect_timeout: limits.whole("connectTimeoutUs").unwrap_or(0),
        drain_grace: rules.whole("drainGraceUs").unwrap_or(0),
    })
}

fn class(class: &Reader) -> Result<Class, ReadError> {
    let scope = match class.text("group") {
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ => DedupScope::All,
    };
    Ok(Class {
        latency_objective: class.whole("aimUs")?,
        deadline: class.whole("deadlineUs")?,
        late_weight_share: class.number("lateWorth")?,
        priority_weight: class.number("value")?,
        effect: match class.text("semantics") {
            "retryable" => Effect::Idempotent,
            "dedup" => Effect::Deduplicated { scope, window: class.whole("windowUs")? },
            "fragile" => Effect::NonIdempotent,
            _ => return Err(class.error("semantics", "is not known")),
        },
        stream: class.flag("stream"),
    })
}

fn plan(plan: &Reader) -> Result<Plan, ReadError> {
    Ok(Plan {
        rate: plan.number("rate")?,
        burst: plan.number("depth")?,
        max_in_flight: plan.number("concurrency")? as u32,
        weight_factor: plan.number("valueFactor")?,
        over_quota_weight_share: plan.number("excessWorth")?,
        over_quota_cost_share: plan.number("excessCost")?,
        ceiling_rate: plan.number("ceilingRate")?,
        ceiling_burst: plan.number("neverOverDepth")?,
        ceiling_slack: plan.number("tolerance")?,
    })
}

fn capabilities(
    root: &Reader,
    limits: &Reader,
    family: &Reader,
    stats: &Reader,
) -> Result<Capabilities, ReadError> {
    let price = |key: &str| root.object("prices").and_then(|prices| prices.number(key)).unwrap_or(0.0);
    Ok(Capabilities {
        probes: limits.flag("mayProbe"),
        peers: limits.flag("peers"),
        cancel: limits.flag("cancel"),
        hedged_requests: limits.flag("secondCopies"),
        retry_after: limits.flag("retryAfter"),
        max_retry_after: limits.whole("maxRetryAfterUs")?,
        max_attempts: limits.number("attemptsCap")? as u32,
        peer_messages_per_s: family.number("mailPerS").unwrap_or(0.0),
        peer_message_cost: price("peer"),
        probe_cost: price("probe"),
        shared_counter: family.flag("sharedCounter"),
        counter_call_cost: family.number("countFee").unwrap_or(0.0),
        counter_call_timeout: family.whole("countLimitUs").unwrap_or(0),
        clients_mark_retries: root.object("callers").is_ok_and(|callers| callers.flag("marksRetry")),
        usage_period: family.whole("meterUs").unwrap_or(0),
        settles_units: family.flag("truedUp"),
        load_reports: match stats.text("how") {
            "answers" => LoadReports::Answers,
            "probe" => LoadReports::Probe,
            _ => LoadReports::None,
        },
        must_subscribe: root.text("discovery") == "ask",
    })
}

fn columns(stats: &Reader) -> Vec<Column> {
    let columns = stats.value.get("columns").and_then(Value::as_array);
    let names = columns.into_iter().flatten().map(|name| name.as_str().unwrap_or(""));
    names.map(Column::from_name).collect()
}

/// The names in a list of strings or of objects with a `name`. Empty if there is no such list.
fn names(object: &Value, key: &str) -> Vec<String> {
    let items = object.get(key).and_then(Value::as_array).into_iter().flatten();
    items.map(|item| item.get("name").unwrap_or(item).as_str().unwrap_or("").to_owned()).collect()
}
