//! Validation of a client's request. An invalid request is rejected here and reaches neither the decision library nor a
//! server, so that it uses no customer's quota.

use crate::settings::PlatformSettings;
use frostgauge::{CustomerId, Effect, Micros};
use frostgauge_proto::http::Head;

/// Header field that holds the request's id.
pub const ID_FIELD: &str = "x-txn";
/// Header field that holds the time for which the client still waits, ms.
pub const TIMEOUT_FIELD: &str = "x-remaining-ms";
/// Header field that holds the name of the customer's plan.
const PLAN_FIELD: &str = "x-tariff";
/// Header field that holds the request's units and the customer's subset of gateways, see [`Weight`].
const WEIGHT_FIELD: &str = "x-weight";
/// Header field by which a client marks a retry, with the value `1`.
const RETRY_FIELD: &str = "x-resent";
/// Header fields that are not forwarded to servers, in addition to the hop-by-hop fields (RFC 9110 section 7.6). They
/// are meant for the gateway, or the gateway writes them itself for each server.
pub const NOT_FORWARDED: [&str; 8] =
    ["host", "content-length", "expect", "cookie", PLAN_FIELD, WEIGHT_FIELD, RETRY_FIELD, TIMEOUT_FIELD];
/// Maximum length of a request's id, bytes.
const MAX_ID_LENGTH: usize = 64;
/// Upper bound of customer numbers, exclusive.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Maximum number of digits in [`TIMEOUT_FIELD`].
const MAX_TIMEOUT_DIGITS: usize = 15;
/// Maximum number of digits in a gateway's number or in the size of a subset.
const MAX_NUMBER_DIGITS: usize = 6;

/// A valid request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The id that the client gave the request.
    pub id: Box<str>,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the customer's plan in the settings.
    pub plan: usize,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// How long the client still waits, µs; at most the deadline of the class.
    pub timeout: Micros,
    /// Quota units that the request uses.
    pub units: f64,
    /// Number of gateways in the customer's subset.
    pub subset_size: usize,
    /// Number of the first gateway in that subset. The subset wraps around after the last gateway.
    pub subset_start: usize,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status to answer with.
    pub status: u16,
    /// Explanation for the client.
    pub reason: &'static str,
}

const fn bad_request(reason: &'static str) -> Rejection {
    Rejection { status: 400, reason }
}

/// Reads and validates a request's head; `has_content` states whether content follows it.
///
/// # Errors
/// The status and reason to answer with: the path names no class, the method is not the one of the class, or a field is
/// missing, repeated, malformed or out of range.
pub fn read(platform: &PlatformSettings, head: &Head, has_content: bool) -> Result<Request, Rejection> {
    let path = head.target().split('?').next().unwrap_or("");
    let class_name = path.strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or("");
    let class = platform.classes.iter().position(|class| class == class_name);
    let class = class.ok_or(Rejection { status: 404, reason: "no such class" })?;
    // The class determines the method: GET without content for idempotent requests, POST for all others.
    let is_idempotent =
        matches!(platform.settings.classes.get(class).map(|c| c.effect), Some(Effect::Idempotent));
    if head.method() != if is_idempotent { "GET" } else { "POST" } {
        return Err(Rejection { status: 405, reason: "not this class's method" });
    }
    if is_idempotent && has_content {
        return Err(bad_request("a GET with content"));
    }
    let id = head.one(ID_FIELD).filter(|id| (1..=MAX_ID_LENGTH).contains(&id.len()));
    let id = id.filter(|id| id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_'));
    let plan = head.one(PLAN_FIELD).and_then(|name| platform.plans.iter().position(|p| p == name));
    let weight = head.one(WEIGHT_FIELD).ok_or(bad_request("X-Weight is missing or repeated"))?;
    let Weight { units, subset_size, subset_start } =
        Weight::read(platform, weight).ok_or(bad_request("X-Weight is out of range or no number"))?;
    let max_timeout = platform.settings.classes.get(class).map_or(0, |c| c.deadline);
    Ok(Request {
        id: id.ok_or(bad_request("X-Txn is missing, repeated or no id"))?.into(),
        class,
        plan: plan.ok_or(bad_request("X-Tariff names no plan"))?,
        customer: customer(head).ok_or(bad_request("the cookie 'key' names no customer"))?,
        // No request may run longer than the deadline of its class; a longer timeout would only keep state in memory.
        timeout: timeout(head).ok_or(bad_request("X-Remaining-Ms is no whole number"))?.min(max_timeout),
        units,
        subset_size,
        subset_start,
        is_retry: head.one(RETRY_FIELD) == Some("1"),
    })
}

/// The time for which the client still waits, µs; `None` unless the field occurs once and holds digits alone.
fn timeout(head: &Head) -> Option<Micros> {
    let text = head.one(TIMEOUT_FIELD)?;
    let is_plain = (1..=MAX_TIMEOUT_DIGITS).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    is_plain.then(|| text.parse::<u64>().ok())?.map(|ms| ms.saturating_mul(1_000))
}

/// The customer whose number the cookie `key` holds as 16 hexadecimal digits; `None` if the cookie is missing, repeated
/// or malformed, or if the number is too large.
fn customer(head: &Head) -> Option<CustomerId> {
    let mut found = None;
    for pair in head.one("cookie")?.split(';') {
        if let Some(value) = pair.trim().strip_prefix("key=") {
            let is_hex = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
            let number =
                is_hex.then(|| u64::from_str_radix(value, 16).ok())?.filter(|n| *n < CUSTOMER_LIMIT)?;
            if found.replace(CustomerId(number)).is_some() {
                return None;
            }
        }
    }
    found
}

/// The value of [`WEIGHT_FIELD`]: units of a request and the customer's subset of gateways.
struct Weight {
    units: f64,
    subset_size: usize,
    subset_start: usize,
}

impl Weight {
    /// Reads `name=value` pairs separated by commas; pairs with other names are ignored. `None` if a value is missing,
    /// repeated or out of range, or if this gateway is not in the subset, since customers are only sent to gateways of
    /// their subset.
    fn read(platform: &PlatformSettings, text: &str) -> Option<Weight> {
        let (mut units, mut subset_size, mut subset_start) = (None, None, None);
        for part in text.split(',') {
            let (name, value) = part.split_once('=')?;
            let is_repeated = match name.trim() {
                "units" => units.replace(parse_decimal(value)?).is_some(),
                "spread" => subset_size.replace(parse_whole(value)?).is_some(),
                "first" => subset_start.replace(parse_whole(value)?).is_some(),
                _ => false,
            };
            if is_repeated {
                return None;
            }
        }
        let weight = Weight { units: units?, subset_size: subset_size?, subset_start: subset_start? };
        weight.is_valid(platform).then_some(weight)
    }

    /// Whether the values are in range and the subset contains this gateway.
    fn is_valid(&self, platform: &PlatformSettings) -> bool {
        let gateways = platform.settings.gateways;
        let max_units = if platform.max_units > 0.0 { platform.max_units } else { f64::MAX };
        let is_in_range = self.units > 0.0
            && self.units <= max_units
            && (1..=gateways).contains(&self.subset_size)
            && self.subset_start < gateways;
        let offset_in_subset = (platform.settings.gateway_id + gateways).checked_sub(self.subset_start);
        is_in_range && offset_in_subset.is_some_and(|offset| offset % gateways < self.subset_size)
    }
}

/// A decimal number, without sign or exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    is_plain.then(|| text.parse().ok())?
}

/// A whole number of at most [`MAX_NUMBER_DIGITS`] digits.
fn parse_whole(text: &str) -> Option<usize> {
    let is_plain = text.len() <= MAX_NUMBER_DIGITS && text.bytes().all(|b| b.is_ascii_digit());
    is_plain.then(|| text.parse().ok())?
}
