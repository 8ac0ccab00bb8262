//! Writes replies as HTTP responses.

use crate::reply::HttpAnswer;
use crate::upstream::NOT_RUN_FIELD;
use frostgauge_net::Response;
use frostgauge_proto::http::{write_response, Body};
use frostgauge_proto::orca;

/// The `Connection: close` field, if the connection closes after the response.
fn connection(close: bool) -> Option<(&'static str, &'static [u8])> {
    close.then_some(("connection", &b"close"[..]))
}

/// Writes an answer that the gateway generated itself.
pub(crate) fn gateway(out: &mut Vec<u8>, answer: &HttpAnswer, to_head: bool, close: bool) {
    let fields = answer.fields.iter().map(|(name, value)| (*name, value.as_bytes()));
    let body = if to_head { Body::None } else { Body::Whole(&answer.body) };
    write_response(out, answer.status, fields.chain(connection(close)), body);
}

/// Writes a server's response, without hop-by-hop fields and without the fields by which servers report to the gateway.
pub(crate) fn server(out: &mut Vec<u8>, response: &Response, to_head: bool, close: bool) {
    let status = response.head.status();
    let without_content = to_head || status == 204 || status == 304;
    let forwarded = response.head.fields().filter(|(name, _)| {
        let replaced = *name == "content-length" && !to_head;
        !replaced && *name != orca::FIELD && *name != NOT_RUN_FIELD && !response.head.hop_by_hop(name)
    });
    let body = if without_content { Body::None } else { Body::Whole(&response.body) };
    write_response(out, status, forwarded.chain(connection(close)), body);
}
