//! Problem bodies (RFC 9457).

use serde_json::json;

/// The media type.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// A problem: `kind` is the stable word that programs go by, `detail` is for people.
pub fn problem(status: u16, kind: &str, title: &str, detail: &str) -> Vec<u8> {
    let body = json!({
        "type": format!("urn:frostgauge:problem:{kind}"),
        "title": title,
        "status": status,
        "detail": detail,
        "reason": kind,
    });
    body.to_string().into_bytes()
}
