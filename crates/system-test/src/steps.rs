//! The troubles that a script can play, by name.

use crate::fleet_rules::Change;
use frostgauge_test_servers::paths::How;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// A trouble at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Seconds from the day's start.
    pub at: f64,
    /// What.
    pub trouble: Trouble,
}

/// What can be played. `part` is the share of nodes or gateways that it meets, `len` seconds.
#[allow(missing_docs, reason = "each variant's line tells its fields")]
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Trouble {
    /// Node processes are killed; they come back cold after `len`.
    Crash { part: f64, len: f64 },
    /// Nodes are drained with short notice, killed, and come back cold after `len`.
    Preempt { part: f64, notice: f64, len: f64 },
    /// Nodes answer errors, half of them after the effect.
    FastErrors { part: f64, rate: f64, len: f64 },
    /// Nodes run requests and close without an answer.
    Cut { part: f64, rate: f64, len: f64 },
    /// Nodes turn requests away, with and without the proof.
    Full { part: f64, rate: f64, len: f64 },
    /// Nodes stand still for `pause_ms`, every `every` seconds.
    Pauses { part: f64, pause_ms: u64, every: f64, len: f64 },
    /// Nodes take `times` as long.
    Throttle { part: f64, times: f64, len: f64 },
    /// Nodes are replaced by cold ones at new addresses, `batch` (share) at a time.
    Deploy { part: f64, batch: f64, drain: f64, len: f64 },
    /// Nodes are drained and removed, and come back cold after `len`.
    Shrink { part: f64, drain: f64, len: f64 },
    /// Gateways are killed, `batch` (share) at a time, and started again after `down` seconds.
    BalancerRoll { part: f64, batch: f64, down: f64, len: f64 },
    /// Gateways are drained by SIGTERM, one after another, and started again.
    RollingRestart { len: f64 },
    /// Gateways stand still for `stall_ms`, every `every` seconds.
    BalancerStall { part: f64, stall_ms: u64, every: f64, len: f64 },
    /// Answers tell no use of quotas.
    ReportLate { len: f64 },
    /// Some insurers ask `times` their usual rate.
    HotKey { insurers: usize, times: f64, len: f64 },
    /// One-off insurers, so many a second.
    Scan { per_s: f64, len: f64 },
    /// Clients repeat at once and often.
    RetryAbuse { len: f64 },
    /// A share of requests goes to each insurer's busiest gateway.
    HotCaller { share: f64, len: f64 },
    /// All insurers shift their traffic among their gateways at one stroke.
    Reconnect {},
    /// Every node of a zone dies at once; they come back cold after `len`.
    ZoneDark { zone: String, len: f64 },
    /// A zone dies and comes back, again and again: `down` and `up` seconds, so many `times`.
    ZoneFlap { zone: String, times: u32, down: f64, up: f64 },
    /// The path from the gateways of one zone to the nodes of another is cut: no word comes back.
    ZoneCut { from: String, to: String, len: f64 },
    /// Every node of a zone takes `times` as long.
    ZoneSlow { zone: String, times: f64, len: f64 },
    /// Every node of a zone stands still: connections stand, nothing answers.
    ZoneSilent { zone: String, len: f64 },
    /// The introspection server takes this long.
    IntrospectionSlow { delay_ms: u64, len: f64 },
    /// It takes questions and says nothing.
    IntrospectionSilent { len: f64 },
    /// It answers 500.
    IntrospectionErrors { len: f64 },
    /// It sends half an answer.
    IntrospectionHalf { len: f64 },
    /// It is killed, and started again after `down` seconds.
    IntrospectionRestart { down: f64 },
    /// The counter is not there for `len` seconds, silent or refusing connections, and returns with its
    /// numbers or empty.
    CounterDown { how: Down, back: Back, len: f64 },
    /// The counter is killed so many times, `every` so many seconds, and started again after `down`.
    CounterKill { times: u32, every: f64, down: f64 },
    /// A share of the counter's replies is lost.
    ReplyLost { rate: f64, len: f64 },
    /// Some tokens are revoked for good.
    Revoke { tokens: usize },
    /// Gateways reload the settings they have.
    Reload {},
    /// Gateways are given settings that are no good.
    BadReload {},
    /// Links from some gateways to others are silent, refuse or swallow for `len` seconds; `both` ways if so said.
    LinkCut {
        from: Vec<usize>,
        to: Vec<usize>,
        #[serde(default)]
        both: bool,
        how: How,
        len: f64,
    },
    /// Each piece on any link takes `ms` longer.
    LinkSlow { ms: u64, len: f64 },
    /// Some gateways by number stand still.
    Stop { gateways: Vec<usize>, len: f64 },
    /// Some gateways by number are killed, and come back after `down`; with nothing on their disks, if so said.
    Kill {
        gateways: Vec<usize>,
        down: f64,
        #[serde(default)]
        lose_disk: bool,
    },
    /// A version of the agreed rules is published through a gateway.
    Publish { by: usize, change: Change },
}

/// How a counter is not there.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Down {
    /// Connections stand and nothing comes.
    Silent,
    /// Connections are refused.
    Refusing,
}

/// With what a counter returns.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Back {
    /// With its numbers.
    Kept,
    /// With none.
    Empty,
}

impl Trouble {
    /// Whether it happens to the counter.
    pub fn needs_counter(&self) -> bool {
        matches!(self, Trouble::CounterDown { .. } | Trouble::CounterKill { .. } | Trouble::ReplyLost { .. })
    }

    /// Whether it happens to the fleet's agreed rules.
    pub fn needs_accord(&self) -> bool {
        matches!(self, Trouble::LinkCut { .. } | Trouble::LinkSlow { .. } | Trouble::Publish { .. })
    }

    /// Gateways that it names.
    pub fn gateways(&self) -> Vec<usize> {
        match self {
            Trouble::LinkCut { from, to, .. } => from.iter().chain(to).copied().collect(),
            Trouble::Stop { gateways, .. } | Trouble::Kill { gateways, .. } => gateways.clone(),
            Trouble::Publish { by, .. } => vec![*by],
            _ => vec![],
        }
    }

    /// Whether its figures make sense.
    ///
    /// # Errors
    /// What does not.
    pub fn check(&self) -> Result<(), String> {
        use Trouble::*;
        let part = match self {
            Crash { part, .. }
            | Preempt { part, .. }
            | FastErrors { part, .. }
            | Cut { part, .. }
            | Full { part, .. }
            | Pauses { part, .. }
            | Throttle { part, .. }
            | Deploy { part, .. }
            | Shrink { part, .. }
            | BalancerRoll { part, .. }
            | BalancerStall { part, .. } => *part,
            _ => 1.0,
        };
        if !(0.0..=1.0).contains(&part) || part == 0.0 {
            return Err("part is not over 0 and up to 1".into());
        }
        match self {
            Deploy { batch, .. } | BalancerRoll { batch, .. } if !(0.01..=1.0).contains(batch) => {
                Err("batch is not between 0.01 and 1".into())
            }
            FastErrors { rate, .. } | Cut { rate, .. } | ReplyLost { rate, .. }
                if !(0.0..=1.0).contains(rate) =>
            {
                Err("rate is not between 0 and 1".into())
            }
            Full { rate, .. } if !(0.0..=0.5).contains(rate) => Err("rate is not between 0 and 0.5".into()),
            Pauses { every, .. } | BalancerStall { every, .. } if *every < 0.1 => {
                Err("every is under 0.1".into())
            }
            _ => Ok(()),
        }
    }
}

impl<'de> Deserialize<'de> for Step {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Step, D::Error> {
        let mut value = Value::deserialize(deserializer)?;
        let Some(members) = value.as_object_mut() else {
            return Err(D::Error::custom("a step is an object"));
        };
        let at = members.remove("at").and_then(|at| at.as_f64());
        let at = at.ok_or_else(|| D::Error::custom("a step needs `at`, in seconds"))?;
        let trouble = Trouble::deserialize(value).map_err(D::Error::custom)?;
        Ok(Step { at, trouble })
    }
}
