//! Token introspection (RFC 7662): the request, and the verdict derived from the response.

use super::{response_limits, HostEvent, Message, OAuthHost, MAX_SMALL_RESPONSE_BYTES};
use crate::clock::{Clock, Micros};
use frostgauge_identity::{Grant, TokenHash, Verdict};
use frostgauge_net::{exchange, End, Pool};
use frostgauge_proto::bearer::Token;
use frostgauge_proto::http::{write_request, Body};
use frostgauge_proto::introspection;
use frostgauge_settings::Loaded;
use std::time::{Duration, Instant};

impl OAuthHost {
    /// Starts an introspection request; the task sends [`HostEvent::Introspected`] when it has ended.
    pub(super) fn introspect(&mut self, flight: u64, token: TokenHash, timeout: Micros) {
        let inbox = self.handle.inbox();
        let loaded = self.handle.loaded();
        let Some(token) = self.tokens.get(&token).cloned() else {
            self.executor
                .spawn(async move {
                    let _ = inbox.send(Message::Host(HostEvent::Introspected { flight, answer: None })).await;
                })
                .detach();
            return;
        };
        let (pool, clock) = (self.pool.clone(), self.handle.clock);
        let deadline = Instant::now() + Duration::from_micros(timeout);
        self.executor
            .spawn(async move {
                let answer = request_verdict(&loaded, &pool, &token, clock, deadline).await;
                let _ = inbox.send(Message::Host(HostEvent::Introspected { flight, answer })).await;
            })
            .detach();
    }
}

/// Requests the verdict on a token from the introspection server; `None` if there was no usable response in time.
async fn request_verdict(
    loaded: &Loaded,
    pool: &Pool,
    token: &Token,
    clock: Clock,
    deadline: Instant,
) -> Option<Verdict> {
    let (settings, l) = (loaded.introspection(), &loaded.file.limits);
    let basic = introspection::client_basic(&settings.client_id, loaded.client_secret.expose_text()?);
    let form = introspection::form(token);
    let mut request = Vec::new();
    let fields: [(&str, &[u8]); 4] = [
        ("host", settings.host.as_bytes()),
        ("authorization", basic.as_bytes()),
        ("content-type", b"application/x-www-form-urlencoded"),
        ("accept", b"application/json"),
    ];
    write_request(&mut request, "POST", &settings.path, fields.into_iter(), Body::Whole(form.as_bytes()));
    let limits = response_limits(l, MAX_SMALL_RESPONSE_BYTES);
    let connect = Duration::from_millis(l.connect_ms);
    let end = exchange(pool, settings.address, &request, false, &limits, connect, deadline).await;
    let End::Answered(response) = end else { return None };
    // A 401 concerns this gateway's own client secret, any other 4xx or 5xx the introspection request: neither is a
    // verdict on the token.
    if response.head.status() != 200 {
        return None;
    }
    let answer = introspection::Answer::read(&response.body).ok()?;
    Some(verdict(&answer, settings, clock.now()))
}

/// The verdict that a response implies. RFC 7662 section 4 leaves the checks of audience and times to the resource server,
/// which is the gateway.
fn verdict(
    answer: &introspection::Answer,
    settings: &frostgauge_settings::Introspection,
    now: Micros,
) -> Verdict {
    let micros = |seconds: f64| (seconds.max(0.0) * 1e6) as Micros;
    let audience_matches =
        settings.audience.as_ref().is_none_or(|a| answer.aud.is_empty() || answer.aud.contains(a));
    let valid_already = answer.nbf.is_none_or(|nbf| micros(nbf) <= now);
    match answer.member(&settings.customer).filter(|_| answer.active && audience_matches && valid_already) {
        Some(subject) => Verdict::Valid {
            grant: Grant { subject: subject.to_owned(), scopes: answer.scopes.clone() },
            exp: answer.exp.map(micros),
        },
        None => Verdict::Invalid,
    }
}
