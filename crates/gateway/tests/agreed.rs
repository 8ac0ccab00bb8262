//! Admission rules in addition to the settings, and attempts stopped by the check before sending: each call gets one
//! final answer before its deadline.

mod common;

use common::*;
use frostgauge::Status;
use frostgauge_gateway::core::Admission;
use frostgauge_gateway::reply::GatewayAnswer;
use frostgauge_settings::Tenant;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Rejects all reports, denies photos of `serra`, and admits a tenant `joined` that the settings do not name. Counts how
/// often it is called.
struct TestRules(Arc<AtomicU64>);

impl Admission for TestRules {
    fn admit(
        &mut self,
        _: u64,
        subject: &str,
        class: usize,
        configured: Option<Tenant>,
    ) -> Result<Tenant, GatewayAnswer> {
        self.0.fetch_add(1, Ordering::Relaxed);
        match (subject, class) {
            (_, REPORT) => Err(GatewayAnswer::FallbackRulesOnly { retry_after: 500 * MS }),
            ("joined", _) => Ok(Tenant {
                id: frostgauge_settings::customer_id(subject),
                plan: 1,
                subset_start: 0,
                subset_size: 1,
            }),
            ("serra", PHOTO) => Err(GatewayAnswer::NotAllowed),
            _ => configured.ok_or(GatewayAnswer::UnknownTenant),
        }
    }
}

/// A host with [`TestRules`], and the number of their calls.
fn host_with_rules() -> (Host, Arc<AtomicU64>) {
    let (mut host, admissions) = (Host::new(), Arc::new(AtomicU64::new(0)));
    host.core.set_admission(Box::new(TestRules(admissions.clone())));
    (host, admissions)
}

#[test]
fn requests_not_admitted_are_answered_without_attempt() {
    let (mut host, admissions) = host_with_rules();
    let (report, photo, read) = (host.call(REPORT, 1), host.call(PHOTO, 1), host.call(READ, 1));
    host.introspected(1, Some("serra"));
    assert_eq!(host.answer(report), Some(Some(GatewayAnswer::FallbackRulesOnly { retry_after: 500 * MS })));
    assert_eq!(host.answer(photo), Some(Some(GatewayAnswer::NotAllowed)));
    assert_eq!(host.attempts_in_flight(read), [0]);
    assert_eq!(host.sends.len(), 1);
    host.end_attempt(read, 0, Status::Ok);
    assert_eq!(host.answer(read), Some(None));
    assert_eq!(admissions.load(Ordering::Relaxed), 3, "each call is checked once");
    let counts = host.core.stats();
    assert_eq!((counts.served, counts.rejected, counts.denied), (1, 1, 1));
    // The HTTP form advises a retry after half a second.
    let fallback_only = GatewayAnswer::FallbackRulesOnly { retry_after: 500 * MS }.http("claims", "");
    assert_eq!((fallback_only.status, GatewayAnswer::NotAllowed.http("claims", "").status), (503, 403));
    assert!(fallback_only.fields.contains(&("retry-after", "1".to_owned())), "{:?}", fallback_only.fields);
    assert!(
        fallback_only.fields.contains(&("retry-after-ms", "500".to_owned())),
        "{:?}",
        fallback_only.fields
    );
}

#[test]
fn tenant_of_the_rules_is_served_and_an_unknown_one_denied() {
    let (mut host, _) = host_with_rules();
    let (joined, unknown) = (host.call(READ, 1), host.call(READ, 2));
    host.introspected(1, Some("joined"));
    host.introspected(2, Some("unknown"));
    assert_eq!(host.attempts_in_flight(joined), [0]);
    assert_eq!(host.answer(unknown), Some(Some(GatewayAnswer::UnknownTenant)));
}

#[test]
fn attempts_stopped_before_sending_end_in_one_rejection() {
    let (mut host, _) = host_with_rules();
    let call_id = host.call(READ, 1);
    host.introspected(1, Some("serra"));
    // Every attempt is stopped before it is sent. None has run, so the call is rejected and does not fail.
    for _ in 0..10 {
        let in_flight = host.attempts_in_flight(call_id);
        in_flight.into_iter().for_each(|attempt| host.end_attempt(call_id, attempt, Status::NotSent));
        host.advance_clock(50 * MS);
    }
    host.advance_clock(3 * S);
    let answer = host.answer(call_id);
    assert!(matches!(answer, Some(Some(GatewayAnswer::Rejected { .. }))), "{answer:?}");
}
