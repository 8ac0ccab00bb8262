//! The bytes that the gateway sends to servers and to clients, compared with recorded ones.

#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use fixture::assert_recorded;
use frostgauge::RejectReason;
use frostgauge_consensus::RuleSource;
use frostgauge_gateway::fleet_rules::{rules_field_value, RULES_FIELD};
use frostgauge_gateway::reply::{FailureReason, GatewayAnswer};
use frostgauge_gateway::upstream::{Forward, NOT_RUN_FIELD};
use frostgauge_proto::bearer::Denied;
use frostgauge_proto::http::Head;
use std::collections::BTreeSet;

/// The bytes as one line of text, with CR and LF escaped.
fn one_line(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("text").replace('\r', "\\r").replace('\n', "\\n")
}

/// The forwarded request, as one line, for a client's request head and content.
fn forwarded(head: &str, body: &[u8], client: Option<&str>) -> String {
    let head = Head::request(head.replace('\n', "\r\n").as_bytes()).expect("a head");
    let target = head.target().to_owned();
    let client = client.map(|address| address.parse().expect("an address"));
    let forward = Forward { head, target, body: body.to_vec(), client };
    let server = "127.0.0.1:7201".parse().expect("an address");
    one_line(forward.bytes(server, "serra", "0-1f-3", 2, 0x1234))
}

#[test]
fn forwarded_requests_have_the_recorded_bytes() {
    let post = "POST /claims/7?x=1 HTTP/1.1\nHost: api.internal\nAuthorization: Bearer abc\nAccept: */*\n\
        Idempotency-Key: 15747f\nFrostgauge-Insurer: forged\nForwarded: for=10.0.0.9\nForwarded: for=10.0.0.8\n\
        Content-Type: application/json\nContent-Length: 4\nExpect: 100-continue\nConnection: keep-alive, X-Hop\n\
        X-Hop: 1\nRequest-Timeout-Ms: 900\n\
        Traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\n\n";
    let get = "GET /claims/7 HTTP/1.1\nhost: api.internal\nauthorization: Bearer abc\n\n";
    let passed_on = "GET /claims/7 HTTP/1.1\nhost: api.internal\nforwarded: for=10.0.0.9\n\n";
    let empty_post = "POST /claims HTTP/1.1\nhost: api.internal\ncontent-length: 0\n\n";
    let encoded = [
        ("post", forwarded(post, b"hail", Some("192.0.2.1"))),
        ("get", forwarded(get, b"", Some("2001:db8::1"))),
        ("get-without-client", forwarded(passed_on, b"", None)),
        ("post-without-content", forwarded(empty_post, b"", None)),
    ];
    assert_recorded(include_str!("fixtures/forwarded.txt"), &encoded);
    assert_eq!(NOT_RUN_FIELD, "frostgauge-not-run");
}

/// Every answer that the gateway generates itself.
fn gateway_answers() -> Vec<GatewayAnswer> {
    let reject_reasons = [
        RejectReason::Quota,
        RejectReason::Ceiling,
        RejectReason::Overloaded,
        RejectReason::NoServer,
        RejectReason::ZoneClosed,
        RejectReason::NotServed,
        RejectReason::DeadlineExceeded,
        RejectReason::InvalidRequest,
    ];
    let denied = [Denied::Missing, Denied::Malformed, Denied::Invalid, Denied::Scope];
    let failed = [FailureReason::ServerError, FailureReason::ConnectionBroken, FailureReason::Timeout];
    let retry_after = 1_250_000;
    let mut answers: Vec<GatewayAnswer> = denied.map(GatewayAnswer::Denied).to_vec();
    answers.extend([GatewayAnswer::UnknownTenant, GatewayAnswer::NotAllowed]);
    answers.extend([
        GatewayAnswer::FallbackRulesOnly { retry_after },
        GatewayAnswer::TokenUnverified { retry_after },
    ]);
    answers.extend(reject_reasons.map(|why| GatewayAnswer::Rejected { why, retry_after }));
    answers.push(GatewayAnswer::Rejected { why: RejectReason::Quota, retry_after: 0 });
    answers.extend(failed.map(GatewayAnswer::Failed));
    answers
}

#[test]
fn gateway_answers_have_the_recorded_fields_and_content() {
    let encoded: Vec<_> = gateway_answers()
        .iter()
        .map(|answer| {
            let http = answer.http("frostgauge", "claims");
            let fields: Vec<_> = http.fields.iter().map(|(name, value)| format!("{name}: {value}")).collect();
            let value = format!("{} | {} | {}", http.status, fields.join(" | "), one_line(http.body));
            (answer.reason(), value)
        })
        .collect();
    assert_recorded(include_str!("fixtures/answers.txt"), &encoded);
}

#[test]
fn the_rules_field_has_the_expected_name_and_values() {
    assert_eq!(RULES_FIELD, "frostgauge-rules");
    assert_eq!(rules_field_value(&RuleSource::Lease(BTreeSet::from([3, 2]), 9)), "lease 2 3");
    assert_eq!(rules_field_value(&RuleSource::Fallback(Some(2))), "ground 2");
    assert_eq!(rules_field_value(&RuleSource::Fallback(None)), "ground 0");
}
