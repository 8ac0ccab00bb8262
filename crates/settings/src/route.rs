//! Routes: what a method and a path lead to.

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its method.
    pub method: String,
    /// Its path's segments.
    pub(crate) segments: Vec<String>,
    /// Index of its class.
    pub class: usize,
    /// Units that a request takes from the quota.
    pub units: f64,
    /// The scope that a token must have, or empty.
    pub scope: String,
    /// Whether requests must carry an `Idempotency-Key`.
    pub keyed: bool,
}

/// What a method and a path lead to.
#[derive(Clone, Debug, PartialEq)]
pub enum Routed<'a> {
    /// To this route, by its index.
    To(usize, &'a Route),
    /// The path is known, but not with this method; with these.
    Method(Vec<&'a str>),
    /// Nowhere.
    Nowhere,
}

impl Route {
    pub(crate) fn matches(&self, path: &str) -> bool {
        let (mut want, mut have) = (self.segments.iter(), path.split('/').skip(1));
        loop {
            match (want.next().map(String::as_str), have.next()) {
                (Some("**"), Some(_)) => return true,
                (Some("*"), Some(segment)) if !segment.is_empty() => {}
                (Some(a), Some(b)) if a == b => {}
                (None, None) => return true,
                _ => return false,
            }
        }
    }
}
