//! The five rules, checked from what crossed the sockets: the nodes' ledgers and the clients' notes, with
//! what the script did. Nothing here asks a gateway. Each check returns every violation it finds, as text.

use crate::event_log::{EventLog, Span, Told};
use frostgauge_settings::Plan;
use frostgauge_test_servers::ledger::{Line, What};
use frostgauge_test_servers::tablets::{Effect, Outcome, Try};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time from a send to the node's note of it, microseconds, on a busy machine.
const TRANSIT: u64 = 100_000;
/// After a stall or a start, a gateway may need so long to be itself again, microseconds.
const AFTERMATH: u64 = 300_000;

/// After the introspection server's return gateways may not ask for so long, microseconds: their longest
/// wait between trials (2.5 s), and the time of a trial.
const UNASKED: u64 = 3_000_000;

/// A node's life with its ledger.
#[derive(Clone, Debug)]
pub struct Recorded {
    /// Its address.
    pub node: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its start.
    pub started: u64,
    /// Its ledger.
    pub lines: Vec<Line>,
}

/// What the checks go by beside the ledgers.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Effects of classes, with their windows, microseconds.
    pub effects: BTreeMap<String, (Effect, u64)>,
    /// Plans of insurers, by name.
    pub plans: BTreeMap<String, Plan>,
    /// Time past its patience at which an answer still counts, microseconds.
    pub late: u64,
    /// Grace for sends to a draining node, microseconds.
    pub drain_grace: u64,
    /// Window of the cold rule, microseconds.
    pub fall: u64,
    /// A revocation must be heeded within this, microseconds.
    pub fresh: u64,
    /// Zones of gateways, by number.
    pub zones: Vec<String>,
    /// Limits on spill, a second: from, to.
    pub spill: BTreeMap<(String, String), f64>,
}

fn within(spans: &[Span], gateway: usize, from: u64, to: u64) -> bool {
    spans.iter().any(|s| s.gateway == gateway && s.from <= to && from <= s.to.saturating_add(AFTERMATH))
}

/// Rule 1: every request that a running gateway took gets exactly one final answer in time.
pub fn answered(tries: &[Try], strays: u64, facts: &EventLog, terms: &Terms) -> Vec<String> {
    let mut found = vec![];
    if strays > 0 {
        found.push(format!("{strays} connections brought a second answer"));
    }
    for t in tries {
        let what = format!("{} try {} at gateway {}", t.op, t.attempt, t.gateway);
        let killed = within(&facts.killed, t.gateway, t.sent, t.ended);
        let stalled = within(&facts.stalled, t.gateway, t.sent, t.ended);
        // What came after it was told to end was not taken.
        let ending =
            facts.ending.iter().any(|s| s.gateway == t.gateway && s.from <= t.sent && t.sent <= s.to);
        match t.outcome {
            Outcome::Served | Outcome::Refused | Outcome::Failed | Outcome::Denied => {
                let took = t.ended.saturating_sub(t.sent);
                if took > t.patience + terms.late && !stalled && !killed {
                    found.push(format!("{what}: answered {} ms late", (took - t.patience) / 1_000));
                }
            }
            Outcome::Odd => found.push(format!("{what}: status {}", t.status)),
            Outcome::Broken if !killed && !ending => found.push(format!("{what}: cut off")),
            Outcome::Silent if !killed && !ending && !stalled => found.push(format!("{what}: no answer")),
            _ => {}
        }
    }
    found
}

/// Rule 2: no effect twice, and no refusal of what ran.
pub fn effects(tries: &[Try], nodes: &[Recorded], terms: &Terms) -> Vec<String> {
    let mut found = vec![];
    let mut ran: BTreeMap<&str, Vec<(u64, &str, &Line)>> = BTreeMap::new();
    let mut repeated: BTreeSet<&str> = BTreeSet::new();
    for node in nodes {
        for line in &node.lines {
            match line.what {
                What::Ran => ran.entry(&line.op).or_default().push((line.t, &node.zone, line)),
                What::Repeat => drop(repeated.insert(&line.op)),
                _ => {}
            }
        }
    }
    for (op, times) in &mut ran {
        times.sort_by_key(|r| r.0);
        let Some((effect, window)) = terms.effects.get(&times[0].2.class) else { continue };
        match effect {
            Effect::Unsafe if times.len() > 1 => found.push(format!("{op} ran {} times", times.len())),
            // Within a group and the time that it remembers, the nodes drop repeats: twice means that the
            // repeat went elsewhere, or too late.
            Effect::Keyed if times.len() > 1 => {
                let requests: BTreeSet<&str> = times.iter().map(|r| r.2.request.as_str()).collect();
                // A client's own later try is a new request to the gateways; its keys are the nodes' matter.
                if requests.len() < times.len() {
                    let span = times[times.len() - 1].0 - times[0].0;
                    found.push(format!("{op} ran {} times in {span} us (window {window})", times.len()));
                }
            }
            _ => {}
        }
    }
    let mut by_op: BTreeMap<&str, Vec<&Try>> = BTreeMap::new();
    for t in tries {
        by_op.entry(&t.op).or_default().push(t);
    }
    for (op, tries) in by_op {
        let effect = terms.effects.get(&tries[0].class).map(|e| e.0);
        let harmless =
            |t: &&Try| matches!(t.outcome, Outcome::Refused | Outcome::Denied | Outcome::Unreachable);
        if effect == Some(Effect::Unsafe) && ran.contains_key(op) && tries.iter().all(harmless) {
            found.push(format!("{op} ran, and every answer promised that it had not"));
        }
        let served = tries.iter().any(|t| t.outcome == Outcome::Served);
        if served && !ran.contains_key(op) && !repeated.contains(op) {
            found.push(format!("{op} was answered as served and never ran"));
        }
    }
    found
}

/// What each gateway was told of each node, in order of time.
fn told(facts: &EventLog) -> BTreeMap<(usize, SocketAddr), Vec<&Told>> {
    let mut all: BTreeMap<_, Vec<&Told>> = BTreeMap::new();
    for t in &facts.told {
        all.entry((t.gateway, t.node)).or_default().push(t);
    }
    all.values_mut().for_each(|list| list.sort_by_key(|t| t.t));
    all
}

/// The gateway that sent a request, from the number that it gave it.
fn sender(line: &Line) -> Option<usize> {
    line.request.split('-').next()?.parse().ok()
}

/// Rule 3: nothing new to a draining or gone node after the grace. Counted from when the gateway was told,
/// which is stricter than from when it had read it.
pub fn drains(nodes: &[Recorded], facts: &EventLog, terms: &Terms) -> Vec<String> {
    let (mut found, told) = (vec![], told(facts));
    for node in nodes {
        for line in node.lines.iter().filter(|l| l.what == What::Recv) {
            let Some(gateway) = sender(line) else {
                found.push(format!("{} came without a gateway's number", line.op));
                continue;
            };
            let sent = line.t.saturating_sub(TRANSIT);
            let list = told.get(&(gateway, node.node)).map_or(&[][..], |l| &l[..]);
            let before = list.iter().rposition(|t| t.t <= line.t);
            let Some(at) = before.filter(|at| !list[*at].ready) else { continue };
            // The first word of those in a row that said so.
            let first = list[..=at].iter().rposition(|t| t.ready).map_or(0, |k| k + 1);
            // A gateway that stood still heard of it when it woke.
            let woke =
                facts.stalled.iter().filter(|s| s.gateway == gateway && s.from <= line.t).map(|s| s.to);
            let heard = woke.filter(|to| *to <= line.t).fold(list[first].t, u64::max);
            if sent > heard + terms.drain_grace {
                let late = (sent - heard) / 1_000;
                found.push(format!("{} sent {} to {} {late} ms after the word", gateway, line.op, node.node));
            }
        }
    }
    found
}

/// Rule 4: no cold node pushed over by what gateways sent that knew of its start.
pub fn cold(nodes: &[Recorded], facts: &EventLog, terms: &Terms) -> Vec<String> {
    let (mut found, told) = (vec![], told(facts));
    for node in nodes {
        let Some(fell) = node.lines.iter().find(|l| l.what == What::Fell) else { continue };
        let window = node.lines.iter().filter(|l| l.what == What::Recv && l.t + terms.fall >= fell.t);
        let (mut all, mut knowing) = (0, 0);
        for line in window {
            all += 1;
            let list = sender(line).and_then(|g| told.get(&(g, node.node)));
            let knew =
                list.into_iter().flatten().any(|t| t.t <= line.t && t.started_ms >= node.started / 1_000);
            knowing += usize::from(knew);
        }
        if knowing * 3 >= all * 2 {
            found.push(format!(
                "{} fell over; {knowing} of {all} requests came from gateways that knew",
                node.node
            ));
        }
    }
    found
}

/// Rule 5: what all gateways together sent on stays under each hard ceiling. Each request counts once, when
/// first seen at a node.
pub fn ceiling(nodes: &[Recorded], terms: &Terms) -> Vec<String> {
    let mut first: BTreeMap<&str, &Line> = BTreeMap::new();
    for line in nodes.iter().flat_map(|n| &n.lines).filter(|l| l.what == What::Recv) {
        let known = first.entry(&line.request).or_insert(line);
        if line.t < known.t {
            *known = line;
        }
    }
    let mut sends: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
    for line in first.into_values() {
        sends.entry(&line.insurer).or_default().push(line);
    }
    let mut found = vec![];
    for (insurer, mut lines) in sends {
        let Some(plan) = terms.plans.get(insurer).filter(|p| p.ceiling_rate > 0.0) else { continue };
        lines.sort_by_key(|l| l.t);
        let (mut level, mut at, mut least) = (plan.ceiling_burst, 0, f64::INFINITY);
        for line in lines {
            let filled = level + (line.t - at) as f64 / 1e6 * plan.ceiling_rate;
            level = filled.min(plan.ceiling_burst) - line.units;
            at = line.t;
            least = least.min(level);
        }
        if least < -plan.ceiling_slack - 1e-9 {
            found.push(format!("{insurer} is {:.1} units under its ceiling's store", -least));
        }
    }
    found
}

/// Beside the five rules: no request enters on a token that was revoked longer ago than verdicts are fresh,
/// while the introspection server answers.
pub fn tokens(tries: &[Try], facts: &EventLog, terms: &Terms) -> Vec<String> {
    let mut found = vec![];
    for (token, revoked) in &facts.revoked {
        let limit = revoked + terms.fresh + TRANSIT;
        for t in tries.iter().filter(|t| t.token == *token && t.sent > limit && t.outcome == Outcome::Served)
        {
            let down = facts
                .no_verdicts
                .iter()
                .any(|(from, to)| *from <= t.ended && t.sent <= to.saturating_add(terms.fresh + UNASKED));
            if !down {
                found.push(format!(
                    "{} was served {} ms after its token was revoked",
                    t.op,
                    (t.sent - revoked) / 1_000
                ));
            }
        }
    }
    found
}

/// Beside the five rules: what gateways of one zone send another in any one second stays under the limit.
pub fn spill(nodes: &[Recorded], terms: &Terms) -> Vec<String> {
    let mut sends: BTreeMap<(&str, &str), Vec<u64>> = BTreeMap::new();
    for node in nodes {
        for line in node.lines.iter().filter(|l| l.what == What::Recv) {
            let from = sender(line).and_then(|g| terms.zones.get(g));
            if let Some(from) = from {
                sends.entry((from, &node.zone)).or_default().push(line.t);
            }
        }
    }
    let mut found = vec![];
    for ((from, to), limit) in &terms.spill {
        let Some(times) = sends.get_mut(&(from.as_str(), to.as_str())) else { continue };
        times.sort_unstable();
        let (mut first, mut most) = (0, 0);
        for (k, t) in times.iter().enumerate() {
            while times[first] + 1_000_000 <= *t {
                first += 1;
            }
            most = most.max(k + 1 - first);
        }
        if most as f64 > *limit {
            found.push(format!("{from} sent {to} {most} attempts in a second, {limit} allowed"));
        }
    }
    found
}
