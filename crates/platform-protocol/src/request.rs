//! Validation of a client's request: an invalid one is rejected here and reaches neither the decisions nor a server, so
//! that it uses nobody's quota.

use crate::settings::PlatformSettings;
use frostgauge::{CustomerId, Effect, Micros};
use frostgauge_proto::http::Head;

/// Field of a request's id.
pub const ID_FIELD: &str = "x-txn";
/// Field of the time that the client still waits, ms.
pub const TIMEOUT_FIELD: &str = "x-remaining-ms";
/// Field of the plan's name.
const PLAN_FIELD: &str = "x-tariff";
/// Field of units and subset.
const WEIGHT_FIELD: &str = "x-weight";
/// Field by which a client marks a retry.
const RETRY_FIELD: &str = "x-resent";
/// Fields that are not forwarded, beside those of one connection: meant for the gateway, or written anew for each
/// server (RFC 9110 section 7.6).
pub const NOT_FORWARDED: [&str; 8] =
    ["host", "content-length", "expect", "cookie", PLAN_FIELD, WEIGHT_FIELD, RETRY_FIELD, TIMEOUT_FIELD];
/// Longest id, bytes.
const MAX_ID_LENGTH: usize = 64;
/// Customers' numbers are below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Maximum number of digits of the time that a client waits.
const MAX_TIMEOUT_DIGITS: usize = 15;
/// Maximum number of digits of a gateway's number or of a subset's size.
const MAX_NUMBER_DIGITS: usize = 6;

/// A valid request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: Box<str>,
    /// Index of its class.
    pub class: usize,
    /// Index of its plan.
    pub plan: usize,
    /// Whose it is.
    pub customer: CustomerId,
    /// How long its client waits, µs.
    pub timeout: Micros,
    /// Quota units it uses.
    pub units: f64,
    /// Number of gateways in the customer's subset.
    pub subset_size: usize,
    /// First gateway of that subset.
    pub subset_start: usize,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status to answer with.
    pub status: u16,
    /// What is wrong, for the client.
    pub reason: &'static str,
}

const fn bad(reason: &'static str) -> Rejection {
    Rejection { status: 400, reason }
}

/// Reads and validates a request's head; `has_content` if any bytes follow it.
///
/// # Errors
/// The status and reason to answer with: a field is missing, repeated, out of range or no number.
pub fn read(platform: &PlatformSettings, head: &Head, has_content: bool) -> Result<Request, Rejection> {
    let path = head.target().split('?').next().unwrap_or("");
    let class_name = path.strip_prefix('/').and_then(|p| p.split('/').next()).unwrap_or("");
    let class = platform.classes.iter().position(|c| c == class_name);
    let class = class.ok_or(Rejection { status: 404, reason: "no such class" })?;
    // The class fixes the method: a safe one comes as GET without content, any other as POST.
    let safe = matches!(platform.settings.classes.get(class).map(|c| c.effect), Some(Effect::Idempotent));
    if head.method() != if safe { "GET" } else { "POST" } {
        return Err(Rejection { status: 405, reason: "not this class's method" });
    }
    if safe && has_content {
        return Err(bad("a GET with content"));
    }
    let id = head.one(ID_FIELD).filter(|id| (1..=MAX_ID_LENGTH).contains(&id.len()));
    let id = id.filter(|id| id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_'));
    let plan = head.one(PLAN_FIELD).and_then(|name| platform.plans.iter().position(|p| p == name));
    let weight = head.one(WEIGHT_FIELD).ok_or(bad("X-Weight is missing or repeated"))?;
    let Weight { units, subset_size, subset_start } =
        Weight::read(platform, weight).ok_or(bad("X-Weight is out of range or no number"))?;
    let max_timeout = platform.settings.classes.get(class).map_or(0, |c| c.deadline);
    Ok(Request {
        id: id.ok_or(bad("X-Txn is missing, repeated or no id"))?.into(),
        class,
        plan: plan.ok_or(bad("X-Tariff names no plan"))?,
        customer: customer(head).ok_or(bad("the cookie 'key' names no customer"))?,
        // Nobody waits longer than the class's whole deadline; a longer timeout would only keep state.
        timeout: timeout(head).ok_or(bad("X-Remaining-Ms is no whole number"))?.min(max_timeout),
        units,
        subset_size,
        subset_start,
        is_retry: head.one(RETRY_FIELD) == Some("1"),
    })
}

/// How long the client waits, µs.
fn timeout(head: &Head) -> Option<Micros> {
    let text = head.one(TIMEOUT_FIELD)?;
    let digits = (1..=MAX_TIMEOUT_DIGITS).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse::<u64>().ok())?.map(|ms| ms.saturating_mul(1_000))
}

/// The customer named by the cookie `key`, which may occur once.
fn customer(head: &Head) -> Option<CustomerId> {
    let mut found = None;
    for pair in head.one("cookie")?.split(';') {
        if let Some(value) = pair.trim().strip_prefix("key=") {
            let hex = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
            let number = hex.then(|| u64::from_str_radix(value, 16).ok())?.filter(|n| *n < CUSTOMER_LIMIT)?;
            if found.replace(CustomerId(number)).is_some() {
                return None;
            }
        }
    }
    found
}

/// Units of a request and the customer's subset of gateways.
struct Weight {
    units: f64,
    subset_size: usize,
    subset_start: usize,
}

impl Weight {
    /// Reads a list of `name=value`; `None` if a value is missing, repeated or out of range, or if the subset lacks
    /// this gateway, since customers are sent nowhere else.
    fn read(platform: &PlatformSettings, text: &str) -> Option<Weight> {
        let (mut units, mut subset_size, mut subset_start) = (None, None, None);
        for part in text.split(',') {
            let (name, value) = part.split_once('=')?;
            let is_repeated = match name.trim() {
                "units" => units.replace(decimal(value)?).is_some(),
                "spread" => subset_size.replace(whole(value)?).is_some(),
                "first" => subset_start.replace(whole(value)?).is_some(),
                _ => false,
            };
            if is_repeated {
                return None;
            }
        }
        let weight = Weight { units: units?, subset_size: subset_size?, subset_start: subset_start? };
        weight.is_valid(platform).then_some(weight)
    }

    fn is_valid(&self, platform: &PlatformSettings) -> bool {
        let gateways = platform.settings.gateways;
        let max_units = if platform.max_units > 0.0 { platform.max_units } else { f64::MAX };
        let is_in_range = self.units > 0.0
            && self.units <= max_units
            && (1..=gateways).contains(&self.subset_size)
            && self.subset_start < gateways;
        let offset = (platform.settings.gateway_id + gateways).checked_sub(self.subset_start);
        is_in_range && offset.is_some_and(|offset| offset % gateways < self.subset_size)
    }
}

/// A number of digits and points alone.
fn decimal(text: &str) -> Option<f64> {
    let is_plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    is_plain.then(|| text.parse().ok())?
}

/// A number of a few digits alone.
fn whole(text: &str) -> Option<usize> {
    let is_plain = text.len() <= MAX_NUMBER_DIGITS && text.bytes().all(|b| b.is_ascii_digit());
    is_plain.then(|| text.parse().ok())?
}
