//! Requests that are open, with what they hold while they are.
//!
//! A request is open from its reading until its client is answered or has disconnected, and none of its attempts is out:
//! an attempt whose request was written runs on after the client has disconnected.

use crate::upstream::Forward;
use frostgauge_net::Reservation;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The ids of open requests.
#[derive(Clone, Debug, Default)]
pub struct OpenIds {
    ids: Arc<Mutex<BTreeSet<Box<str>>>>,
}

/// The id of an open request; dropping it frees the id.
#[derive(Debug)]
pub struct OpenId {
    open: OpenIds,
    id: Box<str>,
}

/// An open request, shared by its call and its attempts. What it holds is released when the last of them drops it.
#[derive(Debug)]
pub struct OpenRequest {
    /// What is sent to servers.
    pub forward: Forward,
    /// Its id, which its connection holds too while it writes the answer.
    pub id: Arc<OpenId>,
    /// The memory of its head and content.
    pub memory: Reservation,
}

impl OpenIds {
    /// Claims a request's id; `None` if a request with this id is open already, perhaps a copy sent by someone else.
    pub fn claim(&self, id: Box<str>) -> Option<Arc<OpenId>> {
        let is_new = self.lock().insert(id.clone());
        is_new.then(|| Arc::new(OpenId { open: self.clone(), id }))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<Box<str>>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.open.lock().remove(&self.id);
    }
}
