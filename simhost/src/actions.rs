//! Actions, written on the wire.

use crate::Instance;
use frostgauge::Action;
use serde_json::{json, Value};

/// The wire's form of an action; `None` if it names something the wire never named.
pub(crate) fn write(instance: &mut Instance, i: u64, action: &Action) -> Option<Value> {
    let named = |instance: &Instance, id| Some(instance.requests.get(id)?.text.clone());
    Some(match action {
        Action::Send { id, server, timeout } => {
            let request = instance.requests.get_mut(id)?;
            let to = instance.servers.get(server)?;
            request.out += 1;
            json!(["send", i, request.text, to, timeout])
        }
        Action::Refuse { id, retry_after } => {
            let text = named(instance, id)?;
            instance.release(*id, 0, true);
            json!(["shed", i, text, retry_after])
        }
        Action::Fail { id } => {
            let text = named(instance, id)?;
            instance.release(*id, 0, true);
            json!(["reportFailure", i, text])
        }
        Action::Cancel { id, attempt } => json!(["cancel", i, named(instance, id)?, attempt]),
        Action::Timer { at, timer } => json!(["wakeAt", i, at, timer.0.to_string()]),
        Action::Probe { server } => json!(["probe", i, instance.servers.get(server)?]),
        Action::Tell { to, data } => json!(["publish", i, to, base64(data)]),
        Action::Watch => json!(["watch", i, true]),
        Action::Count { counter, amount, ttl } => json!(["bump", i, format!("{:x}", counter.0), amount, ttl]),
        Action::Log { text } => json!(["debug", i, text]),
    })
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Base64 with padding.
pub(crate) fn base64(data: &[u8]) -> String {
    let mut text = String::with_capacity(data.len().div_ceil(3) * 4);
    for chunk in data.chunks(3) {
        let word = chunk.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for k in 0..4 {
            let letter = ALPHABET[(word >> (18 - 6 * k)) as usize & 63];
            text.push(if k <= chunk.len() { letter as char } else { '=' });
        }
    }
    text
}

/// The bytes of a base64 text, or `None` if it is none.
pub(crate) fn unbase64(text: &str) -> Option<Vec<u8>> {
    let letters = text.trim_end_matches('=').as_bytes();
    let mut data = Vec::with_capacity(letters.len() * 3 / 4);
    let (mut word, mut bits) = (0u32, 0);
    for letter in letters {
        word = word << 6 | ALPHABET.iter().position(|a| a == letter)? as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            data.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    Some(data)
}
