//! A bounded cache of verdicts by token hash. When it is full, the verdict that was requested earliest is evicted.

use crate::{Config, Grant, Micros, TokenHash, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The result of a cache lookup.
pub(crate) enum Lookup {
    /// The token is invalid: it has expired, or an invalid verdict is no older than [`Config::negative`].
    Denied,
    /// The verdict is valid and fresh: it serves without an introspection request.
    Fresh(Arc<Grant>),
    /// The verdict is valid but no longer fresh: it serves only if the server does not answer.
    Stale(Arc<Grant>),
    /// The cache holds no verdict, or only one too old to serve.
    Missing,
}

#[derive(Debug)]
struct Entry {
    /// When the introspection request was sent; the verdict's age counts from then.
    requested_at: Micros,
    /// The grant of a valid token and the token's expiry, `Micros::MAX` if it has none; `None` for an invalid token.
    valid: Option<(Arc<Grant>, Micros)>,
}

#[derive(Debug)]
pub(crate) struct Cache {
    entries: BTreeMap<TokenHash, Entry>,
    /// The keys of `entries` by `requested_at`, for eviction.
    by_age: BTreeSet<(Micros, TokenHash)>,
    max_entries: usize,
}

impl Cache {
    /// Creates an empty cache for `max_entries` verdicts, at least one.
    pub fn new(max_entries: usize) -> Cache {
        Cache { entries: BTreeMap::new(), by_age: BTreeSet::new(), max_entries }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn get(&self, now: Micros, token: &TokenHash, config: &Config) -> Lookup {
        let Some(entry) = self.entries.get(token) else { return Lookup::Missing };
        let age = now.saturating_sub(entry.requested_at);
        match &entry.valid {
            // An expired token stays invalid, so no introspection request is needed.
            Some((_, exp)) if now >= *exp => Lookup::Denied,
            Some((grant, _)) if age <= config.fresh => Lookup::Fresh(grant.clone()),
            Some((grant, _)) if age <= config.stale => Lookup::Stale(grant.clone()),
            None if age <= config.negative => Lookup::Denied,
            _ => Lookup::Missing,
        }
    }

    /// Stores the verdict of the introspection request sent at `requested_at`. Returns whether it replaced a valid
    /// verdict by an invalid one.
    pub fn put(&mut self, requested_at: Micros, token: TokenHash, verdict: Verdict) -> bool {
        let valid = match verdict {
            Verdict::Valid { grant, exp } => Some((Arc::new(grant), exp.unwrap_or(Micros::MAX))),
            Verdict::Invalid => None,
        };
        let previous = self.entries.remove(&token);
        if let Some(previous) = &previous {
            self.by_age.remove(&(previous.requested_at, token));
        }
        let revoked = valid.is_none() && previous.is_some_and(|p| p.valid.is_some());
        self.by_age.insert((requested_at, token));
        self.entries.insert(token, Entry { requested_at, valid });
        self.evict();
        revoked
    }

    /// Sets the capacity and evicts the oldest verdicts beyond it.
    pub fn set_max_entries(&mut self, max_entries: usize) {
        self.max_entries = max_entries;
        self.evict();
    }

    fn evict(&mut self) {
        while self.entries.len() > self.max_entries.max(1) {
            let Some((_, token)) = self.by_age.pop_first() else { return };
            self.entries.remove(&token);
        }
    }
}
