//! Further rules before the library, and attempts that a last look turns back: one final answer each, in time.

mod common;

use common::*;
use frostgauge::Status;
use frostgauge_gateway::core::Admission;
use frostgauge_gateway::reply::GatewayAnswer;
use frostgauge_settings::Tenant;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Refuses reports, lets `serra` in, and knows a caller that the settings do not.
struct Rules(Arc<AtomicU64>);

impl Admission for Rules {
    fn admit(
        &mut self,
        _: u64,
        subject: &str,
        class: usize,
        known: Option<Tenant>,
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
            _ => known.ok_or(GatewayAnswer::UnknownTenant),
        }
    }
}

fn host() -> (Host, Arc<AtomicU64>) {
    let (mut host, asked) = (Host::new(), Arc::new(AtomicU64::new(0)));
    host.core.set_admission(Box::new(Rules(asked.clone())));
    (host, asked)
}

#[test]
fn what_the_rules_refuse_is_answered_at_once_and_sent_nowhere() {
    let (mut host, asked) = host();
    let (report, photo, read) = (host.call(REPORT, 1), host.call(PHOTO, 1), host.call(READ, 1));
    host.verdict(1, Some("serra"));
    assert_eq!(host.answer(report), Some(Some(GatewayAnswer::FallbackRulesOnly { retry_after: 500 * MS })));
    assert_eq!(host.answer(photo), Some(Some(GatewayAnswer::NotAllowed)));
    assert_eq!(host.out_of(read), [0]);
    assert_eq!(host.sends.len(), 1);
    host.end(read, 0, Status::Ok);
    assert_eq!(host.answer(read), Some(None));
    assert_eq!(asked.load(Ordering::Relaxed), 3, "each is asked about once");
    let counts = host.core.stats();
    assert_eq!((counts.served, counts.rejected, counts.denied), (1, 1, 1));
    // What it says: come back, in half a second; nothing was done.
    let own = GatewayAnswer::FallbackRulesOnly { retry_after: 500 * MS }.http("claims", "");
    assert_eq!((own.status, GatewayAnswer::NotAllowed.http("claims", "").status), (503, 403));
    assert!(own.fields.contains(&("retry-after", "1".to_owned())), "{:?}", own.fields);
    assert!(own.fields.contains(&("retry-after-ms", "500".to_owned())), "{:?}", own.fields);
}

#[test]
fn a_caller_that_came_with_a_version_is_served_and_a_stranger_is_not() {
    let (mut host, _) = host();
    let (joined, stranger) = (host.call(READ, 1), host.call(READ, 2));
    host.verdict(1, Some("joined"));
    host.verdict(2, Some("stranger"));
    assert_eq!(host.out_of(joined), [0]);
    assert_eq!(host.answer(stranger), Some(Some(GatewayAnswer::UnknownTenant)));
}

#[test]
fn attempts_turned_back_by_a_last_look_have_not_run_and_end_in_one_answer_in_time() {
    let (mut host, _) = host();
    let call_id = host.call(READ, 1);
    host.verdict(1, Some("serra"));
    // Each attempt is turned back: none of them ran, so nothing worse than a refusal is told.
    for _ in 0..10 {
        let out = host.out_of(call_id);
        out.into_iter().for_each(|attempt| host.end(call_id, attempt, Status::NotSent));
        host.pass(50 * MS);
    }
    host.pass(3 * S);
    let answer = host.answer(call_id);
    assert!(matches!(answer, Some(Some(GatewayAnswer::Rejected { .. }))), "{answer:?}");
}
