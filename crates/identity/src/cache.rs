//! Verdicts, by the token's name. Bounded; the one that may serve least long goes first.

use crate::{Config, Grant, Micros, TokenHash, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What is known of a token now.
pub(crate) enum Known {
    /// It is not good.
    Denied,
    /// Good, and young enough to serve without a question.
    Fresh(Arc<Grant>),
    /// Good when last asked; serves only while the server does not answer.
    Stale(Arc<Grant>),
    /// Nothing that may serve.
    Nothing,
}

#[derive(Debug)]
struct Entry {
    asked: Micros,
    /// Good until its `exp`, or bad.
    verdict: Option<(Arc<Grant>, Micros)>,
}

#[derive(Debug)]
pub(crate) struct Cache {
    entries: BTreeMap<TokenHash, Entry>,
    oldest: BTreeSet<(Micros, TokenHash)>,
    most: usize,
}

impl Cache {
    pub fn new(most: usize) -> Cache {
        Cache { entries: BTreeMap::new(), oldest: BTreeSet::new(), most }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn get(&self, now: Micros, token: &TokenHash, config: &Config) -> Known {
        let Some(entry) = self.entries.get(token) else { return Known::Nothing };
        let age = now.saturating_sub(entry.asked);
        match &entry.verdict {
            // Its own `exp` makes it bad for good, with or without the server.
            Some((_, exp)) if now >= *exp => Known::Denied,
            Some((grant, _)) if age <= config.fresh => Known::Fresh(grant.clone()),
            Some((grant, _)) if age <= config.stale => Known::Stale(grant.clone()),
            None if age <= config.negative => Known::Denied,
            _ => Known::Nothing,
        }
    }

    /// Keeps a verdict asked for at `asked`. True if it turned a good token bad.
    pub fn put(&mut self, asked: Micros, token: TokenHash, answer: Verdict) -> bool {
        let verdict = match answer {
            Verdict::Valid { grant, exp } => Some((Arc::new(grant), exp.unwrap_or(Micros::MAX))),
            Verdict::Invalid => None,
        };
        let before = self.entries.remove(&token);
        if let Some(before) = &before {
            self.oldest.remove(&(before.asked, token));
        }
        let revoked = verdict.is_none() && before.is_some_and(|b| b.verdict.is_some());
        self.oldest.insert((asked, token));
        self.entries.insert(token, Entry { asked, verdict });
        self.trim();
        revoked
    }

    /// Takes a new bound.
    pub fn bound(&mut self, most: usize) {
        self.most = most;
        self.trim();
    }

    fn trim(&mut self) {
        while self.entries.len() > self.most.max(1) {
            let Some((_, token)) = self.oldest.pop_first() else { return };
            self.entries.remove(&token);
        }
    }
}
