//! The processes of a gateway: the current one, which its permits are for, and earlier ones. Each process has its own
//! incarnation number.

use serde::{Deserialize, Serialize};

/// Maximum number of earlier processes of a gateway that are remembered.
const MAX_SUPERSEDED: usize = 8;

/// Incarnation of a gateway's current process, and of the last ones before it, which never become current again. Stored
/// by position: fields must not move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Incarnations {
    /// 0: the gateway has no current process.
    current: u64,
    /// From the oldest to the newest, at most [`MAX_SUPERSEDED`].
    superseded: Vec<u64>,
}

impl Incarnations {
    pub(crate) fn current(&self) -> Option<u64> {
        Some(self.current).filter(|current| *current != 0)
    }

    pub(crate) fn is_superseded(&self, incarnation: u64) -> bool {
        self.superseded.contains(&incarnation)
    }

    /// Makes a new process the current one; false if it is the current one already or was superseded.
    pub(crate) fn begin(&mut self, incarnation: u64) -> bool {
        if self.current == incarnation || self.is_superseded(incarnation) {
            return false;
        }
        self.end();
        self.current = incarnation;
        true
    }

    /// Makes the current process, if there is one, a superseded one.
    pub(crate) fn end(&mut self) {
        if self.current != 0 {
            self.superseded.push(std::mem::take(&mut self.current));
        }
        if self.superseded.len() > MAX_SUPERSEDED {
            self.superseded.remove(0);
        }
    }
}
