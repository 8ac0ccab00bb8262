//! Bearer tokens in requests and the challenges that answer them (RFC 6750).

use crate::http::Head;

/// A bearer token. It never shows in debug output; it is dropped as soon as its introspection is over.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Token(..)")
    }
}

impl Token {
    /// A token as it stands in a request, if its bytes are those of RFC 6750 section 2.1 (b64token).
    pub fn new(text: &str) -> Option<Token> {
        let body = text.trim_end_matches('=');
        let sound = |b: u8| b.is_ascii_alphanumeric() || b"-._~+/".contains(&b);
        (!body.is_empty() && body.bytes().all(sound)).then(|| Token(text.to_owned()))
    }

    /// The token's text, for the introspection request alone.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Its name in caches and tables: a hash under a key of this process, so that neither a dump of the
    /// memory nor a log gives a token away.
    pub fn name(&self, key: &[u8; 32]) -> [u8; 16] {
        let hash = blake3::keyed_hash(key, self.0.as_bytes());
        let mut name = [0; 16];
        name.copy_from_slice(&hash.as_bytes()[..16]);
        name
    }
}

/// Why a request has no usable token (RFC 6750 section 3.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No credentials: the challenge names no error.
    Missing,
    /// `Authorization` is repeated or not well formed: 400 `invalid_request`.
    Malformed,
    /// Expired, revoked, not yet valid, or for someone else: 401 `invalid_token`.
    Invalid,
    /// Good, but without the scope that the route asks for: 403 `insufficient_scope`.
    Scope,
}

impl Denied {
    /// Status, and the value of `WWW-Authenticate`; `scope` is what the route asks for.
    pub fn challenge(self, realm: &str, scope: &str) -> (u16, String) {
        let error = |status, code: &str, text: &str| {
            let mut value =
                format!("Bearer realm=\"{realm}\", error=\"{code}\", error_description=\"{text}\"");
            if !scope.is_empty() && code == "insufficient_scope" {
                value += &format!(", scope=\"{scope}\"");
            }
            (status, value)
        };
        match self {
            Denied::Missing => (401, format!("Bearer realm=\"{realm}\"")),
            Denied::Malformed => error(400, "invalid_request", "The Authorization field is malformed"),
            Denied::Invalid => error(401, "invalid_token", "The token is expired, revoked or not for here"),
            Denied::Scope => error(403, "insufficient_scope", "The token lacks the scope for this route"),
        }
    }
}

/// The token of a request's `Authorization` field.
///
/// # Errors
/// None there, another scheme, more than one, or bytes that no token has.
pub fn token_of(head: &Head) -> Result<Token, Denied> {
    let mut all = head.all("authorization");
    let Some(value) = all.next() else { return Err(Denied::Missing) };
    if all.next().is_some() {
        return Err(Denied::Malformed);
    }
    let text = std::str::from_utf8(value).map_err(|_| Denied::Malformed)?;
    let Some((scheme, rest)) = text.split_once(' ') else { return Err(Denied::Malformed) };
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(Denied::Missing);
    }
    Token::new(rest.trim_start_matches(' ')).ok_or(Denied::Malformed)
}
