//! Servers as they speak for themselves.
//!
//! A server that drains says so in each of its answers, and that word goes before any list. On ground only servers
//! that said a short while ago that they take new work are used: counted from when they were asked, so that a late
//! answer proves nothing it did not see.

use frostgauge_accord::Micros;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct Word {
    asked: Micros,
    ready: bool,
}

/// What servers last said.
#[derive(Clone, Debug, Default)]
pub struct Confirmed(BTreeMap<String, Word>);

/// Servers kept at most; those asked longest ago go first.
const MOST: usize = 4_096;

impl Confirmed {
    /// A server, asked at a time, answered.
    pub fn heard(&mut self, server: &str, asked: Micros, ready: bool) {
        if let Some(word) = self.0.get_mut(server) {
            if word.asked <= asked {
                *word = Word { asked, ready };
            }
            return;
        }
        if self.0.len() >= MOST {
            let oldest = self.0.iter().min_by_key(|(_, w)| w.asked).map(|(n, _)| n.clone());
            oldest.map(|n| self.0.remove(&n));
        }
        self.0.insert(server.to_owned(), Word { asked, ready });
    }

    /// Whether a server may get new work: not if it last said no; where its own word is wanted, only if it said yes
    /// within `confirm`.
    pub fn may(&self, server: &str, now: Micros, confirm: Option<Micros>) -> bool {
        match (self.0.get(server), confirm) {
            (Some(word), Some(confirm)) => word.ready && now <= word.asked + confirm,
            (Some(word), None) => word.ready,
            (None, confirm) => confirm.is_none(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_draining_servers_word_goes_before_any_list_and_a_late_answer_proves_nothing() {
        let mut c = Confirmed::default();
        assert!(c.may("s", 0, None) && !c.may("s", 0, Some(10)));
        c.heard("s", 5, true);
        assert!(c.may("s", 15, Some(10)) && !c.may("s", 16, Some(10)));
        c.heard("s", 9, false);
        c.heard("s", 7, true);
        assert!(!c.may("s", 10, None) && !c.may("s", 10, Some(10)));
    }

    #[test]
    fn the_table_is_bounded() {
        let mut c = Confirmed::default();
        (0..=MOST).for_each(|k| c.heard(&k.to_string(), k as Micros, true));
        assert!(!c.may("0", 1, Some(MOST as Micros)) && c.may("1", 1, Some(MOST as Micros)));
    }
}
