//! Parses a request's head into what a call needs: route, token, timeout, retry mark and target.

use crate::clock::Micros;
use crate::oauth::Handle;
use crate::reply::{GatewayAnswer, HttpAnswer};
use frostgauge_proto::bearer::{token_of, Token};
use frostgauge_proto::http::Head;
use frostgauge_settings::{Loaded, Routed};

/// The request field with the client's timeout in milliseconds.
pub(crate) const TIMEOUT_FIELD: &str = "request-timeout-ms";
/// The request field by which a client marks a retry; its value is `1`.
pub(crate) const RETRY_FIELD: &str = "frostgauge-repeat";
/// The request field with an idempotency key.
const IDEMPOTENCY_KEY_FIELD: &str = "idempotency-key";

/// The properties of a request that its head determines.
pub(crate) struct Parsed {
    /// Index of the route in the settings.
    pub route: usize,
    pub token: Token,
    /// The client's timeout, at most the deadline of the route's class; µs.
    pub timeout: Micros,
    pub is_retry: bool,
    /// Path and query.
    pub target: String,
}

/// Path and query of a request target in origin form, or in absolute form, which clients use that treat the gateway as a
/// proxy. `None` for other forms and for paths that a server might resolve to another route: with dot segments, encoded
/// slashes, backslashes or `#`.
fn path_of(target: &str) -> Option<&str> {
    let target = match target.strip_prefix("http://") {
        Some(rest) => &rest[rest.find('/')?..],
        None => target,
    };
    let path = target.split('?').next().unwrap_or("");
    let is_dot_segment = |segment: &str| {
        let segment = segment.to_ascii_lowercase().replace("%2e", ".");
        segment == "." || segment == ".."
    };
    let ambiguous = path.to_ascii_lowercase().contains("%2f") || path.contains(['\\', '#']);
    (path.starts_with('/') && !ambiguous && !path.split('/').any(is_dot_segment)).then_some(target)
}

/// Parses a request's head.
///
/// # Errors
/// The request is rejected with the returned answer.
pub(crate) fn parse(loaded: &Loaded, head: &Head) -> Result<Parsed, HttpAnswer> {
    let bad_request = |reason: &str, title: &str| HttpAnswer::problem(400, reason, title, "");
    let target =
        path_of(head.target()).ok_or_else(|| bad_request("target", "The request target is not usable"))?;
    let path = target.split('?').next().unwrap_or("");
    let (index, route) = match loaded.route(head.method(), path) {
        Routed::To(index, route) => (index, route),
        Routed::Method(allowed) => {
            let mut answer = HttpAnswer::problem(405, "method", "The path is known, the method is not", "");
            answer.fields.push(("allow", allowed.join(", ")));
            return Err(answer);
        }
        Routed::Nowhere => return Err(HttpAnswer::problem(404, "route", "No route leads there", "")),
    };
    let realm = &loaded.introspection().realm;
    let token = token_of(head).map_err(|denied| GatewayAnswer::Denied(denied).http(realm, &route.scope))?;
    if route.keyed && head.one(IDEMPOTENCY_KEY_FIELD).is_none_or(|key| key.is_empty() || key.len() > 256) {
        return Err(bad_request("key", "This route asks for one Idempotency-Key of 1 to 256 bytes"));
    }
    let max = loaded.library.classes[route.class].deadline;
    let timeout = match head.all(TIMEOUT_FIELD).next() {
        None => max,
        Some(_) => {
            let ms = head.one(TIMEOUT_FIELD).and_then(|v| v.parse::<u64>().ok());
            let ms = ms.ok_or_else(|| bad_request("patience", "Request-Timeout-Ms is no whole number"))?;
            ms.saturating_mul(1_000).min(max)
        }
    };
    let is_retry = head.one(RETRY_FIELD).is_some_and(|v| v == "1");
    Ok(Parsed { route: index, token, timeout, is_retry, target: target.to_owned() })
}

/// The current settings, to be used throughout one request even if a reload replaces them.
pub(crate) fn settings(handle: &Handle) -> std::sync::Arc<Loaded> {
    handle.loaded()
}
