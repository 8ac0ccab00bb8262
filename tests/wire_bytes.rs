//! Bytes of the messages that a gateway sends to its peers, compared with recorded ones.

mod common;
#[path = "common/fixture.rs"]
mod fixture;

use common::*;
use fixture::{assert_recorded, cases, hex, unhex};
use frostgauge::*;

/// Recorded messages; each is a case whose value is hex.
const MESSAGES: &str = include_str!("fixtures/peer_messages.txt");
/// The customer whose usage the recorded messages hold.
const CUSTOMER: u64 = 0x0102_0304;

/// Gateway `gateway_id` of two that exchange messages, with one server.
fn driver(gateway_id: usize) -> Driver {
    let mut settings = settings();
    settings.gateway_id = gateway_id;
    settings.capabilities.peers = true;
    Driver::new(settings, &[entry(1, 0)])
}

/// The messages that a gateway sends, with their receivers, after three requests of one customer.
fn sent_messages() -> Vec<(usize, Vec<u8>)> {
    let mut driver = driver(0);
    let mut actions = vec![];
    for _ in 0..3 {
        let request = Event::Request {
            id: RequestId(driver.now),
            class: 0,
            plan: 0,
            customer: CustomerId(CUSTOMER),
            timeout: 2 * S,
            units: 1.5,
            subset_size: 2,
            subset_start: 0,
            is_retry: false,
        };
        actions.extend(driver.handle(request));
        actions.extend(driver.advance_to(driver.now + 100 * MS).into_iter().map(|(_, action)| action));
    }
    let messages = actions.into_iter().filter_map(|action| match action {
        Action::SendToPeer { to, data } => Some((to, data)),
        _ => None,
    });
    messages.collect()
}

#[test]
fn peer_messages_have_the_recorded_bytes() {
    let encoded: Vec<_> = sent_messages()
        .iter()
        .enumerate()
        .map(|(index, (to, data))| (format!("message-{index}-to-{to}"), hex(data)))
        .collect();
    assert!(!encoded.is_empty());
    assert_recorded(MESSAGES, &encoded);
}

/// How many of 20 requests of the customer a gateway sends on after it received these messages.
fn count_sent_after(messages: &[Vec<u8>]) -> usize {
    let mut driver = driver(1);
    for data in messages {
        driver.handle(Event::PeerMessage { from: 0, data: data.clone() });
    }
    (0..20).filter(|_| sent_to(&driver.request(0, CUSTOMER, 2 * S).1).is_some()).count()
}

#[test]
fn recorded_peer_messages_reduce_the_quota_left() {
    let messages: Vec<_> = cases(MESSAGES).iter().map(|(_, value)| unhex(value)).collect();
    let other_version: Vec<_> = messages.iter().map(|data| [&[2], &data[1..]].concat()).collect();
    let other_customer: Vec<_> = messages
        .iter()
        .map(|data| [&data[..4], &(CUSTOMER + 1).to_be_bytes(), &data[12..]].concat())
        .collect();
    assert_eq!(
        count_sent_after(&other_version),
        count_sent_after(&[]),
        "messages of another version are ignored"
    );
    let (after_own, after_other) = (count_sent_after(&messages), count_sent_after(&other_customer));
    assert!(
        after_own < after_other,
        "{after_own} sent after messages about the customer, {after_other} after messages about another"
    );
}
