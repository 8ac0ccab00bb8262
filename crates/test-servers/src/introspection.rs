//! A stand-in introspection server (RFC 7662). A token reads `t.CLIENT.N`; it is good unless revoked.

use crate::serve::{serve, Act, Request};
use async_executor::Executor;
use async_io::{Async, Timer};
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How it behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// It answers.
    #[default]
    Ok,
    /// It takes questions and says nothing.
    Silent,
    /// It answers 500.
    Error,
    /// It sends half of each answer.
    Half,
}

/// A change of behaviour, as the script sends it to `/_control`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Control {
    /// From now on.
    pub mode: Option<Mode>,
    /// Time before each answer, milliseconds.
    pub delay_ms: Option<u64>,
    /// Tokens that are bad from now on.
    pub revoke: Vec<String>,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    delay_ms: u64,
    revoked: BTreeSet<String>,
    asked: u64,
    unauthorised: u64,
}

/// Serves until the executor ends. `authorization` is the value that every question must carry.
pub async fn run(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    authorization: String,
    delay_ms: u64,
) {
    let state = Arc::new(Mutex::new(State { delay_ms, ..State::default() }));
    let authorization: Arc<str> = authorization.into();
    serve(listener, executor, move |request| answer(state.clone(), authorization.clone(), request)).await;
}

async fn answer(state: Arc<Mutex<State>>, authorization: Arc<str>, request: Request) -> Act {
    if request.head.target() == "/_control" {
        return control(&state, &request.body);
    }
    let form = String::from_utf8_lossy(&request.body).into_owned();
    let token = form.split('&').find_map(|pair| pair.strip_prefix("token="));
    let token = token.map(|t| percent_decode_str(t).decode_utf8_lossy().into_owned()).unwrap_or_default();
    let authorised = request.head.one("authorization") == Some(&authorization);
    let (mode, delay) = match state.lock() {
        Ok(mut s) => {
            s.asked += 1;
            s.unauthorised += u64::from(!authorised);
            (s.mode, s.delay_ms)
        }
        Err(_) => return Act::Close,
    };
    if !authorised || request.head.method() != "POST" {
        return Act::json(401, &json!({ "error": "invalid_client" }));
    }
    Timer::after(Duration::from_millis(delay)).await;
    // The verdict is as of the end of the delay, as a slow server's would be.
    let revoked = state.lock().is_ok_and(|s| s.revoked.contains(&token));
    let client = token.strip_prefix("t.").and_then(|rest| rest.rsplit_once('.')).map(|(client, _)| client);
    let body = match client.filter(|_| !revoked) {
        Some(client) => {
            json!({ "active": true, "client_id": client, "scope": "claims", "token_type": "Bearer" })
        }
        None => json!({ "active": false }),
    };
    match mode {
        Mode::Ok => Act::json(200, &body),
        Mode::Silent => std::future::pending().await,
        Mode::Error => Act::json(500, &json!({ "error": "server_error" })),
        Mode::Half => Act::Half(body.to_string().into_bytes()),
    }
}

fn control(state: &Mutex<State>, body: &[u8]) -> Act {
    let (Ok(mut s), Ok(control)) = (state.lock(), serde_json::from_slice::<Control>(body)) else {
        return Act::json(400, &json!({ "error": "not a control" }));
    };
    s.mode = control.mode.unwrap_or(s.mode);
    s.delay_ms = control.delay_ms.unwrap_or(s.delay_ms);
    s.revoked.extend(control.revoke);
    Act::json(200, &json!({ "asked": s.asked, "unauthorised": s.unauthorised, "revoked": s.revoked.len() }))
}
