//! Token introspection (RFC 7662): the request's form and the answer's members.

use crate::bearer::Token;
use base64::Engine;
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use serde::Deserialize;

/// What `application/x-www-form-urlencoded` leaves as it is.
const PLAIN: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'*');

/// The form of a request (section 2.1).
pub fn form(token: &Token) -> String {
    format!("token={}&token_type_hint=access_token", utf8_percent_encode(token.expose(), PLAIN))
}

/// `Authorization` for a client's name and secret (RFC 6749 section 2.3.1).
pub fn client_basic(id: &str, secret: &str) -> String {
    let pair = format!("{}:{}", utf8_percent_encode(id, PLAIN), utf8_percent_encode(secret, PLAIN));
    format!("Basic {}", base64::engine::general_purpose::STANDARD.encode(pair))
}

#[derive(Deserialize)]
#[serde(untagged)]
enum OneOrMany {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct Raw {
    active: bool,
    scope: Option<String>,
    client_id: Option<String>,
    username: Option<String>,
    sub: Option<String>,
    aud: Option<OneOrMany>,
    exp: Option<f64>,
    nbf: Option<f64>,
}

/// What an introspection server says of a token (section 2.2). Times are seconds since 1970.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Whether the token is good now; if not, nothing else is told.
    pub active: bool,
    /// Its scopes.
    pub scopes: Vec<String>,
    /// The client it was given to.
    pub client_id: Option<String>,
    /// The person that let it.
    pub username: Option<String>,
    /// Its subject.
    pub sub: Option<String>,
    /// Whom it is meant for; none named means anyone.
    pub aud: Vec<String>,
    /// Not good from then on.
    pub exp: Option<f64>,
    /// Not good before.
    pub nbf: Option<f64>,
}

impl Answer {
    /// Reads an answer's content.
    ///
    /// # Errors
    /// No JSON object, no `active`, or a member of the wrong type; the text names no value.
    pub fn read(content: &[u8]) -> Result<Answer, &'static str> {
        let raw: Raw = serde_json::from_slice(content).map_err(|_| "not an introspection answer")?;
        if !raw.active {
            return Ok(Answer::default());
        }
        let aud = match raw.aud {
            None => Vec::new(),
            Some(OneOrMany::One(one)) => vec![one],
            Some(OneOrMany::Many(many)) => many,
        };
        Ok(Answer {
            active: true,
            scopes: raw.scope.unwrap_or_default().split(' ').map(str::to_owned).collect(),
            client_id: raw.client_id,
            username: raw.username,
            sub: raw.sub,
            aud,
            exp: raw.exp,
            nbf: raw.nbf,
        })
    }

    /// The member that names the customer, as the settings choose.
    pub fn member(&self, name: &str) -> Option<&str> {
        match name {
            "client_id" => self.client_id.as_deref(),
            "username" => self.username.as_deref(),
            "sub" => self.sub.as_deref(),
            _ => None,
        }
    }
}
