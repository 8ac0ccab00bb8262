//! Tokens, introspection answers, load reports, datagrams, traces.

use frostgauge_proto::{bearer::*, http::Head, introspection, orca::Report, peer::*, trace};
use proptest::prelude::*;

fn head(fields: &str) -> Head {
    Head::request(format!("GET / HTTP/1.1\r\nhost: a\r\n{fields}\r\n").as_bytes()).expect("sound")
}

#[test]
fn bearer_tokens_and_their_challenges() {
    let token = |f: &str| token_of(&head(f)).map(|t| t.expose().to_owned());
    assert_eq!(token("authorization: bearer abc.DEF-1==\r\n"), Ok("abc.DEF-1==".into()));
    assert_eq!(token(""), Err(Denied::Missing));
    assert_eq!(token("authorization: Basic abc\r\n"), Err(Denied::Missing));
    assert_eq!(token("authorization: Bearer\r\n"), Err(Denied::Malformed));
    assert_eq!(token("authorization: Bearer a b\r\n"), Err(Denied::Malformed));
    assert_eq!(token("authorization: Bearer a\r\nauthorization: Bearer b\r\n"), Err(Denied::Malformed));
    assert_eq!(Denied::Missing.challenge("r", "s"), (401, "Bearer realm=\"r\"".into()));
    let (status, value) = Denied::Scope.challenge("r", "claims");
    assert_eq!(status, 403);
    assert!(value.contains("error=\"insufficient_scope\"") && value.ends_with("scope=\"claims\""));
    let shown = format!("{:?}", Token::new("sesame"));
    assert!(!shown.contains("sesame"));
}

#[test]
fn introspection_answers() {
    let read = |text: &str| introspection::Answer::read(text.as_bytes());
    let full = r#"{"active":true,"scope":"a b","client_id":"c","aud":["x","y"],"exp":9.5,"other":{"z":1}}"#;
    let got = read(full).expect("sound");
    assert_eq!((got.scopes, got.aud), (vec!["a".into(), "b".into()], vec!["x".into(), "y".to_string()]));
    assert_eq!(got.exp, Some(9.5));
    assert_eq!(read(r#"{"active":false,"client_id":"c"}"#), Ok(introspection::Answer::default()));
    for bad in ["", "{}", "[]", r#"{"active":"yes"}"#, r#"{"active":true,"exp":"soon"}"#, r#"{"active":tr"#] {
        assert!(read(bad).is_err(), "{bad}");
    }
    assert_eq!(introspection::client_basic("a b", "p:%"), "Basic YSUyMGI6cCUzQSUyNQ==");
}

#[test]
fn load_reports_in_both_forms() {
    let report =
        Report { utilization: Some(0.5), queue: Some(3.0), quota_use: Some(1.25), ..Report::default() };
    assert_eq!(Report::read(&report.write()), report);
    let json = r#"JSON {"cpu_utilization":0.5,"named_metrics":{"queue":3,"quota_use":1.25}}"#;
    assert_eq!(Report::read(json), report);
    assert_eq!(Report::read("TEXT cpu_utilization=NaN,queue"), Report::default());
    assert_eq!(Report::read("BIN AAAA"), Report::default());
}

#[test]
fn datagrams_forged_replayed_or_strange_are_dropped() {
    let key = Key::derive(b"one");
    let mut from_1 = Sender::new(key.clone(), 1, 10);
    let mut to_0 = Receiver::new(key.clone(), 0, 3);
    let (a, b) = (from_1.seal(b"first"), from_1.seal(b"second"));
    assert_eq!(to_0.open(&b), Ok((1, &b"second"[..])));
    assert_eq!(to_0.open(&a), Ok((1, &b"first"[..])), "overtaken, not replayed");
    assert_eq!(to_0.open(&a), Err(Dropped::Replayed));
    let mut bent = from_1.seal(b"third");
    bent[25] ^= 1;
    assert_eq!(to_0.open(&bent), Err(Dropped::Forged));
    assert_eq!(to_0.open(&Sender::new(Key::derive(b"two"), 1, 10).seal(b"x")), Err(Dropped::Forged));
    assert_eq!(to_0.open(&Sender::new(key.clone(), 7, 1).seal(b"x")), Err(Dropped::Stranger));
    assert_eq!(to_0.open(&Sender::new(key.clone(), 0, 1).seal(b"x")), Err(Dropped::Stranger));
    assert_eq!(to_0.open(&from_1.seal(&[0; MOST + 1])), Err(Dropped::Malformed));
    assert_eq!(to_0.open(&[]), Err(Dropped::Malformed));
    let again = Sender::new(key.clone(), 1, 11).seal(b"new life");
    assert!(to_0.open(&again).is_ok());
    assert_eq!(to_0.open(&from_1.seal(b"old life")), Err(Dropped::Replayed));
}

proptest! {
    #[test]
    fn no_datagram_is_taken_twice(order in prop::collection::vec(0usize..200, 1..300)) {
        let key = Key::derive(b"k");
        let (mut sender, mut receiver) = (Sender::new(key.clone(), 1, 1), Receiver::new(key, 0, 2));
        let sealed: Vec<_> = (0..200).map(|_| sender.seal(b"m")).collect();
        let mut taken = std::collections::BTreeSet::new();
        for k in order {
            if receiver.open(&sealed[k]).is_ok() {
                prop_assert!(taken.insert(k), "{} twice", k);
            }
        }
    }

    #[test]
    fn odd_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400), text in "\\PC{0,60}") {
        let mut receiver = Receiver::new(Key::derive(b"k"), 0, 2);
        prop_assert!(receiver.open(&bytes).is_err());
        let _ = introspection::Answer::read(&bytes);
        let _ = Report::read(&text);
        let _ = Report::read(&format!("JSON {text}"));
        prop_assert!(trace::valid(&trace::hop(Some(&text), 5, 6)));
    }
}

#[test]
fn a_trace_is_passed_on_with_a_new_span() {
    let caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let hop = trace::hop(Some(caller), 1, 2);
    assert_eq!(hop, "00-0af7651916cd43dd8448eb211c80319c-0000000000000002-01");
    assert!(trace::valid(&trace::hop(Some("00-xyz"), 0, 0)));
}
