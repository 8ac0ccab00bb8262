//! `traceparent` (W3C Trace Context) and `Forwarded` (RFC 7239).

/// Whether a `traceparent` is well formed: version 00, nonzero ids, lower-case hex.
pub fn valid(value: &str) -> bool {
    let parts: Vec<&str> = value.split('-').collect();
    let hex = |s: &str, n: usize| {
        s.len() == n && s.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
    };
    let some = |s: &str| s.bytes().any(|b| b != b'0');
    matches!(parts[..], ["00", trace, span, flags]
        if hex(trace, 32) && some(trace) && hex(span, 16) && some(span) && hex(flags, 2))
}

/// A `traceparent` for a hop: the caller's trace where it is sound, else a new one; always a new span.
pub fn hop(caller: Option<&str>, trace: u128, span: u64) -> String {
    match caller.filter(|c| valid(c)) {
        Some(c) => format!("{}{:016x}{}", &c[..36], span.max(1), &c[52..]),
        None => format!("00-{:032x}-{:016x}-00", trace.max(1), span.max(1)),
    }
}

/// The `Forwarded` element for a client's address (RFC 7239 section 4).
pub fn forwarded(client: std::net::IpAddr) -> String {
    match client {
        std::net::IpAddr::V4(v4) => format!("for={v4};proto=http"),
        std::net::IpAddr::V6(v6) => format!("for=\"[{v6}]\";proto=http"),
    }
}
