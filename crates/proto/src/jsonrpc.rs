//! JSON-RPC 2.0 (jsonrpc.org/specification), one JSON value a line: lines found, calls read, answers written.
//!
//! Ids are kept as they were written, byte for byte: a client gets back what it sent, also a number that no
//! floating-point value holds. What a method means, and which may be notified, is the front's to say.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeSet;

/// Bounds on what is read.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a line.
    pub line: usize,
    /// Values inside values.
    pub depth: usize,
    /// Calls of a batch.
    pub batch: usize,
    /// Bytes of an id.
    pub id: usize,
}

/// Codes of the specification (section 5.1).
pub mod code {
    /// The line is no JSON.
    pub const PARSE: i32 = -32_700;
    /// It is JSON, and no request.
    pub const REQUEST: i32 = -32_600;
    /// There is no such method.
    pub const METHOD: i32 = -32_601;
    /// The parameters are not the method's.
    pub const PARAMS: i32 = -32_602;
}

/// What is wrong with a line or a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The code.
    pub code: i32,
    /// What people read.
    pub message: &'static str,
}

const fn fault(code: i32, message: &'static str) -> Fault {
    Fault { code, message }
}

/// A call, or a notification if it has no id.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id as it was written: a string, a number or `null`.
    pub id: Option<Box<RawValue>>,
    /// Its method.
    pub method: String,
    /// Its parameters as they were written: an object or an array.
    pub params: Option<Box<RawValue>>,
}

/// A call that is no request, with the id to answer to, if one could be told.
pub type Read = Result<Call, (Option<Box<RawValue>>, Fault)>;

/// What a line holds.
#[derive(Debug)]
pub enum Line {
    /// One call.
    One(Read),
    /// Some calls, whose answers go back as one array.
    Batch(Vec<Read>),
}

/// Finds the end of the first line, or tells that it is too long. `seen`: bytes looked at before, so that a
/// line that comes a byte at a time is not looked through anew each time.
///
/// # Errors
/// No line of these bounds begins here: the connection cannot go on.
pub fn line_end(buf: &[u8], seen: usize, limits: &Limits) -> Result<Option<usize>, Fault> {
    let from = seen.min(buf.len());
    let end = buf[from..].iter().position(|b| *b == b'\n').map(|at| from + at);
    match end {
        Some(end) if end <= limits.line => Ok(Some(end)),
        None if buf.len() <= limits.line => Ok(None),
        _ => Err(fault(code::REQUEST, "the line is too long")),
    }
}

/// Whether values lie deeper than allowed; looks at brackets outside of strings alone, before any parser does.
fn too_deep(line: &[u8], most: usize) -> bool {
    let (mut depth, mut text, mut escaped) = (0usize, false, false);
    for byte in line {
        match (text, byte) {
            (true, _) if escaped => escaped = false,
            (true, b'\\') => escaped = true,
            (_, b'"') => text = !text,
            (false, b'[' | b'{') => {
                depth += 1;
                if depth > most {
                    return true;
                }
            }
            (false, b']' | b'}') => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    false
}

#[derive(Deserialize)]
struct Shape<'a> {
    #[serde(borrow)]
    jsonrpc: Option<&'a RawValue>,
    #[serde(borrow)]
    method: Option<&'a RawValue>,
    #[serde(borrow)]
    params: Option<&'a RawValue>,
    /// Told apart from a missing one: `null` is an id.
    #[serde(borrow, default, deserialize_with = "there")]
    id: Option<&'a RawValue>,
}

fn there<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Option<&'de RawValue>, D::Error> {
    <&RawValue>::deserialize(d).map(Some)
}

/// Reads one call.
fn call(text: &str, limits: &Limits) -> Read {
    let not =
        |id: Option<&RawValue>, message| Err((id.map(ToOwned::to_owned), fault(code::REQUEST, message)));
    let Ok(shape) = serde_json::from_str::<Shape<'_>>(text) else {
        return not(None, "it is no request object, or has a member twice");
    };
    let legal = |id: &&RawValue| {
        let first = id.get().bytes().next().unwrap_or(b' ');
        id.get().len() <= limits.id && (matches!(first, b'"' | b'-' | b'0'..=b'9') || id.get() == "null")
    };
    let id = shape.id.filter(legal);
    if shape.id.is_some() && id.is_none() {
        return not(None, "the id is no string, number or null, or too long");
    }
    if shape.jsonrpc.is_none_or(|v| v.get() != "\"2.0\"") {
        return not(id, "jsonrpc is not \"2.0\"");
    }
    let Some(method) = shape.method.and_then(|m| serde_json::from_str::<String>(m.get()).ok()) else {
        return not(id, "the method is no string");
    };
    if shape.params.is_some_and(|p| !p.get().starts_with(['[', '{'])) {
        return not(id, "the parameters are no array or object");
    }
    let own = |v: Option<&RawValue>| v.map(ToOwned::to_owned);
    Ok(Call { id: own(id), method, params: own(shape.params) })
}

/// Reads a line, without its end.
///
/// # Errors
/// It is no JSON, too deep, or a batch that is empty or too long: one answer, with `null` for an id.
pub fn read(line: &[u8], limits: &Limits) -> Result<Line, Fault> {
    if line.len() > limits.line {
        return Err(fault(code::REQUEST, "the line is too long"));
    }
    if too_deep(line, limits.depth) {
        return Err(fault(code::REQUEST, "values lie too deep"));
    }
    let parse = fault(code::PARSE, "the line is no JSON");
    let text = std::str::from_utf8(line).map_err(|_| parse)?.trim();
    let whole: &RawValue = serde_json::from_str(text).map_err(|_| parse)?;
    if !whole.get().starts_with('[') {
        return Ok(Line::One(call(whole.get(), limits)));
    }
    let calls: Vec<&RawValue> = serde_json::from_str(whole.get()).map_err(|_| parse)?;
    match calls.len() {
        0 => Err(fault(code::REQUEST, "the batch is empty")),
        n if n > limits.batch => Err(fault(code::REQUEST, "the batch has too many calls")),
        _ => Ok(Line::Batch(calls.into_iter().map(|c| call(c.get(), limits)).collect())),
    }
}

/// Ids of calls not yet answered on a connection: a client that uses one twice could not tell the answers
/// apart. Compared as they were written.
#[derive(Debug, Default)]
pub struct Open(BTreeSet<String>);

impl Open {
    /// Whether the id is free, and is taken now; `null` is nobody's.
    pub fn take(&mut self, id: &RawValue) -> bool {
        id.get() == "null" || self.0.insert(id.get().to_owned())
    }

    /// The call with this id is answered.
    pub fn free(&mut self, id: &RawValue) {
        self.0.remove(id.get());
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn answer(out: &mut Vec<u8>, id: Option<&RawValue>, member: &str, value: &str) {
    let id = id.map_or("null", RawValue::get);
    out.extend_from_slice(format!("{{\"jsonrpc\":\"2.0\",\"{member}\":{value},\"id\":{id}}}").as_bytes());
}

/// Appends a result; `value` is JSON, on one line.
pub fn put_result(out: &mut Vec<u8>, id: &RawValue, value: &RawValue) {
    // White space between a node's values may hold line ends; those inside strings are escaped.
    let value = value.get();
    let flat = value.contains(['\n', '\r']).then(|| value.replace(['\n', '\r'], " "));
    answer(out, Some(id), "result", flat.as_deref().unwrap_or(value));
}

/// Appends an error; `data` tells programs more.
pub fn put_error(
    out: &mut Vec<u8>,
    id: Option<&RawValue>,
    code: i32,
    message: &str,
    data: Option<&serde_json::Value>,
) {
    let mut error = serde_json::json!({ "code": code, "message": message });
    if let Some(data) = data {
        error["data"] = data.clone();
    }
    answer(out, id, "error", &error.to_string());
}
