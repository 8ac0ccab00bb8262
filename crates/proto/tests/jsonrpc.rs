//! JSON-RPC 2.0: the examples of the specification, and lines that are none.

use frostgauge_proto::jsonrpc::*;
use proptest::prelude::*;

const LIMITS: Limits = Limits { line: 4_096, depth: 16, batch: 8, id: 64 };

/// What a tiny server of the specification's examples answers to a line.
fn serve(line: &str) -> String {
    let mut out = vec![];
    let one = |call: Read, out: &mut Vec<u8>| match call {
        Err((id, fault)) => put_error(out, id.as_deref(), fault.code, "Invalid Request", None),
        Ok(Call { id: None, .. }) => {}
        Ok(Call { id: Some(id), method, params }) => {
            let params: serde_json::Value =
                params.map_or(serde_json::Value::Null, |p| serde_json::from_str(p.get()).expect("read"));
            let numbers = |v: &serde_json::Value| {
                let list = v.as_array().cloned().unwrap_or_default();
                list.iter().filter_map(serde_json::Value::as_i64).collect::<Vec<_>>()
            };
            let of = |name: &str| params[name].as_i64();
            let result = match (method.as_str(), of("minuend").zip(of("subtrahend"))) {
                ("subtract", Some((a, b))) => (a - b).to_string(),
                ("subtract", None) => (numbers(&params)[0] - numbers(&params)[1]).to_string(),
                ("sum", _) => numbers(&params).iter().sum::<i64>().to_string(),
                ("get_data", _) => r#"["hello",5]"#.to_owned(),
                _ => return put_error(out, Some(&id), code::METHOD, "Method not found", None),
            };
            put_result(out, &id, &serde_json::value::RawValue::from_string(result).expect("JSON"));
        }
    };
    match read(line.as_bytes(), &LIMITS) {
        Err(fault) => {
            let message = if fault.code == code::PARSE { "Parse error" } else { "Invalid Request" };
            put_error(&mut out, None, fault.code, message, None);
        }
        Ok(Line::One(call)) => one(call, &mut out),
        Ok(Line::Batch(calls)) => {
            let mut answers: Vec<String> = vec![];
            for call in calls {
                let mut answer = vec![];
                one(call, &mut answer);
                answers.extend((!answer.is_empty()).then(|| String::from_utf8(answer).expect("text")));
            }
            if !answers.is_empty() {
                out = format!("[{}]", answers.join(",")).into_bytes();
            }
        }
    }
    String::from_utf8(out).expect("text")
}

fn same(a: &str, b: &str) -> bool {
    a.is_empty() && b.is_empty()
        || serde_json::from_str::<serde_json::Value>(a).ok()
            == serde_json::from_str::<serde_json::Value>(b).ok()
            && !a.is_empty()
}

#[test]
fn the_examples_of_the_specification() {
    const INVALID: &str =
        r#"{"jsonrpc":"2.0","error":{"code":-32600,"message":"Invalid Request"},"id":null}"#;
    const PARSE: &str = r#"{"jsonrpc":"2.0","error":{"code":-32700,"message":"Parse error"},"id":null}"#;
    let three = format!("[{INVALID},{INVALID},{INVALID}]");
    let one = format!("[{INVALID}]");
    let mixed = format!(
        r#"[{{"jsonrpc":"2.0","result":7,"id":"1"}},{{"jsonrpc":"2.0","result":19,"id":"2"}},{INVALID},
        {{"jsonrpc":"2.0","error":{{"code":-32601,"message":"Method not found"}},"id":"5"}},
        {{"jsonrpc":"2.0","result":["hello",5],"id":"9"}}]"#
    );
    let table: [(&str, &str); 15] = [
        (
            r#"{"jsonrpc": "2.0", "method": "subtract", "params": [42, 23], "id": 1}"#,
            r#"{"jsonrpc":"2.0","result":19,"id":1}"#,
        ),
        (
            r#"{"jsonrpc": "2.0", "method": "subtract", "params": [23, 42], "id": 2}"#,
            r#"{"jsonrpc":"2.0","result":-19,"id":2}"#,
        ),
        (
            r#"{"jsonrpc": "2.0", "method": "subtract", "params": {"subtrahend": 23, "minuend": 42}, "id": 3}"#,
            r#"{"jsonrpc":"2.0","result":19,"id":3}"#,
        ),
        (
            r#"{"jsonrpc": "2.0", "method": "subtract", "params": {"minuend": 42, "subtrahend": 23}, "id": 4}"#,
            r#"{"jsonrpc":"2.0","result":19,"id":4}"#,
        ),
        (r#"{"jsonrpc": "2.0", "method": "update", "params": [1,2,3,4,5]}"#, ""),
        (r#"{"jsonrpc": "2.0", "method": "foobar"}"#, ""),
        (
            r#"{"jsonrpc": "2.0", "method": "foobar", "id": "1"}"#,
            r#"{"jsonrpc":"2.0","error":{"code":-32601,"message":"Method not found"},"id":"1"}"#,
        ),
        (r#"{"jsonrpc": "2.0", "method": "foobar, "params": "bar", "baz]"#, PARSE),
        (r#"{"jsonrpc": "2.0", "method": 1, "params": "bar"}"#, INVALID),
        (
            r#"[ {"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"}, {"jsonrpc": "2.0", "method" ]"#,
            PARSE,
        ),
        ("[]", INVALID),
        ("[1]", &one),
        ("[1,2,3]", &three),
        (
            r#"[{"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"}, {"jsonrpc": "2.0", "method": "notify_hello", "params": [7]},
            {"jsonrpc": "2.0", "method": "subtract", "params": [42,23], "id": "2"}, {"foo": "boo"},
            {"jsonrpc": "2.0", "method": "foo.get", "params": {"name": "myself"}, "id": "5"}, {"jsonrpc": "2.0", "method": "get_data", "id": "9"}]"#,
            &mixed,
        ),
        (
            r#"[{"jsonrpc": "2.0", "method": "notify_sum", "params": [1,2,4]}, {"jsonrpc": "2.0", "method": "notify_hello", "params": [7]}]"#,
            "",
        ),
    ];
    for (line, want) in table {
        let got = serve(line);
        assert!(same(&got, want), "{line}\ngot  {got}\nwant {want}");
    }
}

#[test]
fn ids_come_back_as_they_were_written() {
    for id in
        ["1", "-0", "1.50", "1e400", "123456789012345678901234567890", r#""a\u0041\n""#, "null", r#""""#]
    {
        let line = format!(r#"{{"jsonrpc":"2.0","method":"sum","params":[1],"id":{id}}}"#);
        assert_eq!(serve(&line), format!(r#"{{"jsonrpc":"2.0","result":1,"id":{id}}}"#));
    }
    let long = format!(r#"{{"jsonrpc":"2.0","method":"sum","id":{}}}"#, "1".repeat(65));
    assert!(serve(&long).contains("-32600"));
    for id in ["[1]", "{}", "true"] {
        let line = format!(r#"{{"jsonrpc":"2.0","method":"sum","params":[1],"id":{id}}}"#);
        assert!(same(
            &serve(&line),
            r#"{"jsonrpc":"2.0","error":{"code":-32600,"message":"Invalid Request"},"id":null}"#
        ));
    }
}

#[test]
fn an_id_out_twice_is_told_apart_by_its_text() {
    let raw = |t: &str| serde_json::value::RawValue::from_string(t.to_owned()).expect("JSON");
    let mut open = Open::default();
    assert!(
        open.take(&raw("1"))
            && open.take(&raw("\"1\""))
            && open.take(&raw("null"))
            && open.take(&raw("null"))
    );
    assert!(!open.take(&raw("1")));
    open.free(&raw("1"));
    assert!(open.take(&raw("1")) && open.len() == 2);
}

#[test]
fn depth_size_and_length_are_bounded() {
    let deep = format!("{}{}", "[".repeat(10_000), "]".repeat(10_000));
    let limits = Limits { line: 1 << 20, ..LIMITS };
    assert_eq!(read(deep.as_bytes(), &limits).expect_err("too deep").message, "values lie too deep");
    let brackets = format!(r#"{{"jsonrpc":"2.0","method":"m","params":["{}\""],"id":1}}"#, "[".repeat(100));
    assert!(
        matches!(read(brackets.as_bytes(), &LIMITS), Ok(Line::One(Ok(_)))),
        "those in strings do not count"
    );
    let number = format!(r#"{{"jsonrpc":"2.0","method":"m","params":[{}],"id":1}}"#, "9".repeat(1_000_000));
    assert!(
        matches!(read(number.as_bytes(), &limits), Ok(Line::One(Ok(_)))),
        "kept as text, read by nobody here"
    );
    assert_eq!(read(number.as_bytes(), &LIMITS).expect_err("too long").message, "the line is too long");
    let call = r#"{"jsonrpc":"2.0","method":"m","id":1}"#;
    let batch = format!("[{}]", vec![call; 10_000].join(","));
    assert_eq!(
        read(batch.as_bytes(), &limits).expect_err("too many").message,
        "the batch has too many calls"
    );
    let twice = r#"{"jsonrpc":"2.0","method":"a","method":"b","id":1}"#;
    assert!(matches!(read(twice.as_bytes(), &LIMITS), Ok(Line::One(Err(_)))));
}

#[test]
fn lines_are_found_in_what_has_come() {
    assert_eq!(line_end(b"{}\n{}", 0, &LIMITS), Ok(Some(2)));
    assert_eq!(line_end(b"{}", 0, &LIMITS), Ok(None));
    assert_eq!(line_end(b"{}\n", 2, &LIMITS), Ok(Some(2)));
    let long = vec![b' '; LIMITS.line + 1];
    assert!(line_end(&long, 0, &LIMITS).is_err());
    let whole = [&vec![b' '; LIMITS.line][..], b"\n"].concat();
    assert_eq!(line_end(&whole, LIMITS.line, &LIMITS), Ok(Some(LIMITS.line)));
}

#[test]
fn a_result_stays_on_one_line() {
    let raw = |t: &str| serde_json::value::RawValue::from_string(t.to_owned()).expect("JSON");
    let mut out = vec![];
    put_result(&mut out, &raw("1"), &raw("{\n \"a\": \"b\\nc\",\r\n \"d\": 1 }"));
    assert!(!out.contains(&b'\n') && !out.contains(&b'\r'));
    let value: serde_json::Value = serde_json::from_slice(&out).expect("JSON");
    assert_eq!(value["result"]["a"], "b\nc");
}

proptest! {
    #[test]
    fn any_bytes_are_a_line_or_a_fault(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(&bytes, &LIMITS);
        let _ = line_end(&bytes, 0, &LIMITS);
    }

    #[test]
    fn any_json_is_answered_on_one_line(text in "[\\[\\]{}:,\"0-9a-z\\\\ \\.eE+-]{0,80}") {
        prop_assert!(!serve(&text).contains('\n'));
    }

    #[test]
    fn a_line_that_comes_in_pieces_ends_at_the_same_place(line in "[a-z{}]{0,60}", cut in 0usize..60) {
        let whole = format!("{line}\nrest");
        let first = &whole.as_bytes()[..cut.min(whole.len())];
        let seen = match line_end(first, 0, &LIMITS) {
            Ok(Some(end)) => {
                prop_assert_eq!(end, line.len());
                return Ok(());
            }
            _ => first.len(),
        };
        prop_assert_eq!(line_end(whole.as_bytes(), seen, &LIMITS), Ok(Some(line.len())));
    }
}
