//! Conversion of events and actions on the simulator's JSON lines, by example lines.

use frostgauge_simhost::Host;
use serde_json::{json, Value};

fn settings() -> Value {
    json!({
        "az": 0, "me": 0, "siblings": 2, "tickUs": 2000, "discovery": "push", "unheard_of": [1],
        "classes": [{"aimUs": 600000, "deadlineUs": 2000000, "group": "all", "lateWorth": 0.2, "name": "c",
                     "semantics": "retryable", "stream": true, "value": 2.0, "windowUs": 1000000}],
        "plans": [{"ceilingRate": 0.0, "concurrency": 0, "depth": 12.0, "excessCost": 1.0, "excessWorth": 0.0,
                   "name": "p", "neverOverDepth": 0.0, "rate": 2.7, "tolerance": 0.0, "valueFactor": 1.1}],
        "familyInfo": {"countFee": 0.0, "countLimitUs": 80000, "mailPerS": 40.0, "maxUnits": 1,
                       "meterUs": 500000, "sharedCounter": true, "truedUp": false},
        "limits": {"attemptsCap": 4, "cancel": true, "maxRetryAfterUs": 1000000, "mayProbe": true,
                   "peers": true, "retryAfter": true, "secondCopies": false},
        "rules": {"coldFrom": 0.15, "fallMultiple": 3.0, "graceToAnswerUs": 8000, "tipAfterUs": 1500000,
                  "warmAfterUs": 17000000, "askEveryUs": 10000000, "drainGraceUs": 500000},
        "stats": {"columns": ["outstanding", "recent_ms", "novel"], "how": "probe"},
    })
}

/// Has the host handle one batch at `at` µs and returns the actions of the reply.
fn handle_batch(host: &mut Host, at: u64, items: Value) -> Vec<Value> {
    let line = json!({"atTimeUs": at, "serial": 7, "items": items}).to_string();
    let reply: Value =
        serde_json::from_str(&host.handle_batch(&line).expect("a valid batch")).expect("a JSON reply");
    assert_eq!(reply["serial"], 7);
    reply["out"].as_array().expect("an array of actions").clone()
}

/// Launches instance 3 with these settings and lists two ready servers; the host and the actions of that batch.
fn launch(settings: Value) -> (Host, Vec<Value>) {
    let mut host = Host::default();
    let records = json!([[0, 1, null, 1, 0, 0, "10.0.0.1:7000"], [0, 1, 5, 1.5, 0, 1, "node-b"]]);
    let out = handle_batch(
        &mut host,
        1_000_000,
        json!([["launch", 3, 99, settings], ["targets", 3, 4, 1, records]]),
    );
    (host, out)
}

/// A request of one unit with a timeout of 2 s.
fn demand(request: &str) -> Value {
    json!(["demand", 3, request, 0, 0, "91f03b7c55d20a64", 2000000, 1, 2, 0, 0])
}

/// The first action of this name.
fn find<'a>(out: &'a [Value], name: &str) -> Option<&'a Value> {
    out.iter().find(|action| action[0] == name)
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    assert!(handle_batch(&mut Host::default(), 5, json!([])).is_empty());
}

/// Has the host handle events and replies to the counter calls 2 ms later; the actions of both batches.
fn handle_with_counter(host: &mut Host, at: u64, items: Value) -> Vec<Value> {
    let mut out = handle_batch(host, at, items);
    let calls = out.iter().filter(|action| action[0] == "bump");
    let replies = calls.map(|call| json!(["counterReply", 3, call[2], "OK", call[3], 2150])).collect();
    out.extend(handle_batch(host, at + 2_000, Value::Array(replies)));
    out
}

#[test]
fn send_has_the_names_of_the_demand_and_targets_events() {
    let (mut host, out) = launch(settings());
    assert!(find(&out, "probe").is_none() && find(&out, "wakeAt").is_some());
    let out = handle_with_counter(&mut host, 1_001_000, json!([demand("r-a")]));
    let send = find(&out, "send").expect("the request is sent");
    assert_eq!((&send[1], &send[2]), (&json!(3), &json!("r-a")));
    assert!(send[3] == "10.0.0.1:7000" || send[3] == "node-b");
    assert!(send[4].as_u64().is_some_and(|timeout| timeout > 0 && timeout <= 2_000_000));
}

#[test]
fn every_verdict_is_parsed() {
    for verdict in [
        "OK",
        "INTERNAL",
        "RESOURCE_EXHAUSTED",
        "DEADLINE_EXCEEDED",
        "UNAVAILABLE",
        "ABORTED",
        "CANCELLED",
        "TOO_LATE",
    ] {
        let (mut host, _) = launch(settings());
        let out = handle_with_counter(&mut host, 1_001_000, json!([demand("r-a")]));
        let server = find(&out, "send").expect("the request is sent")[3].clone();
        let finished =
            json!(["finished", 3, "r-a", 0, server, verdict, 9000, verdict == "OK", 86, 3, [4, 12.5, 1]]);
        let out = handle_batch(&mut host, 1_010_000, json!([finished]));
        let is_retried_or_rejected = find(&out, "send").is_some() || find(&out, "shed").is_some();
        assert_eq!(is_retried_or_rejected, verdict != "OK", "{verdict}: {out:?}");
    }
}

#[test]
fn timers_probes_peers_and_counter_calls_round_trip() {
    let (mut host, out) = launch(settings());
    let wake_at = find(&out, "wakeAt").expect("a timer").clone();
    let demands: Vec<_> = (0..30).map(|k| demand(&format!("r-{k}"))).collect();
    let first_actions = handle_with_counter(&mut host, 1_001_000, json!([demand("r-a"), demand("r-b")]));
    handle_with_counter(&mut host, 1_005_000, Value::Array(demands));
    let out =
        handle_batch(&mut host, wake_at[2].as_u64().expect("a time, µs"), json!([["due", 3, wake_at[3]]]));
    let probe = find(&out, "probe").expect("a probe");
    assert!(probe[2] == "10.0.0.1:7000" || probe[2] == "node-b");
    let message = find(&out, "publish").expect("a peer message");
    assert_eq!(message[2], 1);
    let call = find(&first_actions, "bump").expect("a counter call");
    assert_eq!((call[2].as_str(), call[3].as_f64()), (Some("91f03b7c55d20a64"), Some(1.0)));
    assert!(call[4].as_u64().is_some_and(|ttl| ttl <= 60_000_000));
    let events = json!([
        ["checkResult", 3, 1400, probe[2], "OK", [7, 14.5, 0]],
        ["counterReply", 3, call[2], "OK", 2, 2150],
        ["counterReply", 3, call[2], "DEADLINE_EXCEEDED", null, 80000],
        ["peerData", 3, 1, message[3]],
        ["established", 3, "r-a", 0, "node-b", 9250],
        ["gone", 3, "r-b"],
        ["gone", 3, "r-never-seen"],
    ]);
    assert!(find(&handle_batch(&mut host, 1_200_000, events), "internalError").is_none());
}

#[test]
fn unknown_events_are_ignored_and_the_rest_handled() {
    let (mut host, _) = launch(settings());
    let out =
        handle_with_counter(&mut host, 1_001_000, json!([["novelty", 3, {}], demand("r-a"), demand("r-b")]));
    assert_eq!(out.iter().filter(|action| action[0] == "send").count(), 2);
}

#[test]
fn retired_instance_takes_no_actions() {
    let (mut host, _) = launch(settings());
    assert!(handle_batch(&mut host, 1_001_000, json!([["retire", 3], demand("r-a")])).is_empty());
}

#[test]
fn invalid_settings_are_an_internal_error_with_the_field() {
    let mut invalid = settings();
    invalid["plans"][0]["rate"] = json!(-1.0);
    let (_, out) = launch(invalid);
    assert_eq!(out, [json!(["internalError", 3, "settings: plans[0].rate is negative or not finite"])]);
    let mut invalid = settings();
    invalid["classes"][0]["aimUs"] = json!("soon");
    let (_, out) = launch(invalid);
    assert_eq!(out, [json!(["internalError", 3, "settings: classes[0].aimUs is no number"])]);
}

#[test]
fn batch_error_says_what_is_invalid() {
    let mut host = Host::default();
    assert!(host.handle_batch("hello").is_err_and(|error| error.to_string().contains("not a batch")));
    assert!(host
        .handle_batch("{\"serial\":4,\"items\":[]}")
        .is_err_and(|error| error.to_string().contains("batch 4") && error.to_string().contains("atTimeUs")));
    let (mut host, _) = launch(settings());
    let line = json!({"atTimeUs": 9, "serial": 8, "items": [["demand", 3, 17]]}).to_string();
    assert!(host.handle_batch(&line).is_err_and(|error| ["batch 8", "demand", "call"]
        .iter()
        .all(|part| error.to_string().contains(part))));
}

/// Runs the program on this standard input; its exit code, standard output and standard error.
fn run_program(input: &str) -> (Option<i32>, String, String) {
    use std::io::Write;
    use std::process::{Command, Stdio};
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostgauge-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child
        .stdin
        .take()
        .expect("standard input is a pipe")
        .write_all(input.as_bytes())
        .expect("the input is written");
    let output = child.wait_with_output().expect("the program exits");
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn exit_code_is_0_at_end_of_input_and_1_after_a_bad_line() {
    let (code, out, err) = run_program("{\"atTimeUs\":5,\"serial\":1,\"items\":[]}\n");
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert_eq!(serde_json::from_str::<Value>(&out).expect("a JSON reply"), json!({"serial": 1, "out": []}));
    let (code, out, err) = run_program("nonsense\n");
    assert_eq!((code, out.as_str()), (Some(1), ""));
    assert!(err.contains("not a batch"), "{err}");
}
