//! Statuses and reasons with which invalid requests are rejected, and names of header fields, compared with the recorded
//! ones: clients and servers depend on them letter for letter.

#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use fixture::assert_recorded;
use frostgauge_platform_protocol::settings::{self, PlatformSettings};
use frostgauge_platform_protocol::{answer, request};
use frostgauge_proto::http::Head;
use serde_json::json;

/// Settings of gateway 0 of 3, with the class `read` and the plan `base`.
fn platform_settings() -> PlatformSettings {
    let info = json!({
        "az": 1, "me": 0, "siblings": 3, "tickUs": 2000, "zones": ["a", "b"],
        "classes": [{"aimUs": 600000, "deadlineUs": 2500000, "lateWorth": 0.2, "name": "read",
                     "semantics": "retryable", "value": 2.0}],
        "plans": [{"ceilingRate": 0.0, "concurrency": 0, "depth": 12.0, "excessCost": 1.0, "excessWorth": 0.0,
                   "name": "base", "neverOverDepth": 0.0, "rate": 2.7, "tolerance": 0.0, "valueFactor": 1.1}],
        "familyInfo": {"maxUnits": 4},
        "limits": {"attemptsCap": 4, "maxRetryAfterUs": 1000000},
        "rules": {"coldFrom": 0.15, "fallMultiple": 3.0, "graceToAnswerUs": 8000, "tipAfterUs": 1500000,
                  "warmAfterUs": 17000000},
        "stats": {"columns": ["outstanding"], "how": "probe"},
    });
    settings::read(&info).expect("the settings are valid")
}

/// A valid request, with line feeds in place of CR LF.
const VALID_REQUEST: &str =
    "GET /read/7 HTTP/1.1\nhost: a\nx-txn: r-1\nx-tariff: base\nx-weight: units=1,spread=2,first=0\n\
    cookie: key=00000000b4d65521\nx-remaining-ms: 900\n\n";

/// Status and reason with which the valid request is rejected once one part of it is replaced.
fn rejection_after(part: &str, replacement: &str) -> String {
    assert!(VALID_REQUEST.contains(part), "the valid request does not contain {part:?}");
    let text = VALID_REQUEST.replace(part, replacement).replace('\n', "\r\n");
    let head = Head::request(text.as_bytes()).expect("the head is well-formed");
    let rejection = request::read(&platform_settings(), &head, false).expect_err(part);
    format!("{} {}", rejection.status, rejection.reason)
}

#[test]
fn rejections_have_the_recorded_statuses_and_reasons() {
    let head =
        Head::request(VALID_REQUEST.replace('\n', "\r\n").as_bytes()).expect("the head is well-formed");
    assert!(request::read(&platform_settings(), &head, false).is_ok());
    let content_rejection =
        request::read(&platform_settings(), &head, true).expect_err("a GET with content must be rejected");
    let encoded = [
        ("class", rejection_after("/read/7", "/write/7")),
        ("method", rejection_after("GET", "POST")),
        ("content", format!("{} {}", content_rejection.status, content_rejection.reason)),
        ("id", rejection_after("r-1", "r 1")),
        ("plan", rejection_after("tariff: base", "tariff: other")),
        ("weight-missing", rejection_after("x-weight", "x-other")),
        ("weight", rejection_after("units=1", "units=0")),
        ("customer", rejection_after("key=", "lock=")),
        ("time-left", rejection_after("900", "soon")),
    ];
    assert_recorded(include_str!("fixtures/rejections.txt"), &encoded);
}

#[test]
fn header_fields_have_the_agreed_names() {
    assert_eq!(
        (request::ID_FIELD, request::TIMEOUT_FIELD, answer::REJECTED_FIELD),
        ("x-txn", "x-remaining-ms", "x-turned-away")
    );
    let not_forwarded =
        ["host", "content-length", "expect", "cookie", "x-tariff", "x-weight", "x-resent", "x-remaining-ms"];
    assert_eq!(request::NOT_FORWARDED, not_forwarded);
}
