//! Admin pages of the fleet rules: status, publishing and withdrawing versions, changing the members.

use crate::fleet_rules::FleetRules;
use frostgauge_consensus::{GatewayId, Message, Outcome, Proposal, VersionNumber};
use frostgauge_fleet_agent::task::{Command, NumberedRules};
use frostgauge_net::{Page, Question};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest wait for a reply of the agent's task to a request that needs no other gateway.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the outcome of a proposal. An admin connection times out after 5 s; an editor who gets no outcome
/// repeats the request with the same id.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(4);

/// Body of `POST /accord/publish`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Publish {
    /// The version that the editor started from.
    #[serde(rename = "base")]
    base_version: VersionNumber,
    author: String,
    reason: String,
    /// Id of an earlier request, if this one repeats it to learn its outcome.
    id: Option<u64>,
    rules: Value,
}

/// Body of `POST /accord/withdraw`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Withdraw {
    version: VersionNumber,
    reason: String,
}

/// Body of `POST /accord/retire`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Retire {
    gateway: GatewayId,
}

/// Body of `POST /accord/keepers`: the new set of voters.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename = "Keepers")]
struct ChangeVoters {
    #[serde(rename = "keepers")]
    voters: BTreeSet<GatewayId>,
}

fn page(status: u16, value: &Value) -> Page {
    Page { status, ..Page::json(format!("{value:#}\n")) }
}

fn bad_request(reason: &str) -> Page {
    page(400, &json!({ "error": reason }))
}

fn parse_body<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Page> {
    serde_json::from_slice(body).map_err(|error| bad_request(&error.to_string()))
}

/// Responds to a request for a page under `/accord`; `None` if its path is another one.
pub(crate) async fn answer(fleet_rules: Option<&FleetRules>, question: &Question) -> Option<Page> {
    let rest = question.target.strip_prefix("/accord")?;
    let Some(fleet_rules) = fleet_rules else {
        return Some(page(404, &json!({ "error": "the settings have no section accord" })));
    };
    let body = &question.body;
    Some(match (question.method.as_str(), rest) {
        ("GET", "") => match fleet_rules.task().request(Command::Status, REPLY_TIMEOUT).await {
            Some(status) => page(200, &status),
            None => page(503, &json!({ "error": "the task does not answer" })),
        },
        ("GET", "/shares") => match fleet_rules.task().request(Command::BudgetShares, REPLY_TIMEOUT).await {
            Some(Some(shares)) => page(200, &shares),
            Some(None) => {
                page(404, &json!({ "error": "no keeper, or no budgets: GET /accord names the keepers" }))
            }
            None => page(503, &json!({ "error": "the task does not answer" })),
        },
        ("GET", rest) if rest.starts_with("/rules") => rules(fleet_rules, rest).await,
        ("POST", "/publish") => publish(fleet_rules, body).await.unwrap_or_else(|page| page),
        ("POST", "/withdraw") => match parse_body::<Withdraw>(body) {
            Ok(Withdraw { version, reason }) => broadcast(fleet_rules, Message::Withdraw { version, reason }),
            Err(page) => page,
        },
        ("POST", "/retire") => match parse_body::<Retire>(body) {
            Ok(Retire { gateway }) => broadcast(fleet_rules, Message::Retire { gateway }),
            Err(page) => page,
        },
        ("POST", "/keepers") => match parse_body::<ChangeVoters>(body) {
            Ok(ChangeVoters { voters }) if matches!(voters.len(), 3 | 5 | 7) => {
                broadcast(fleet_rules, Message::ChangeVoters { voters })
            }
            Ok(_) => bad_request("keepers: 3, 5 or 7 may be"),
            Err(page) => page,
        },
        _ => page(
            404,
            &json!({ "error": "GET /accord, /accord/rules[/N], /accord/shares; POST /accord/publish, /withdraw, /retire, /keepers" }),
        ),
    })
}

/// `GET /accord/rules`, the latest version, and `GET /accord/rules/NUMBER`.
async fn rules(fleet_rules: &FleetRules, rest: &str) -> Page {
    let number = match rest.strip_prefix("/rules").map(|r| r.trim_start_matches('/')) {
        Some("") => None,
        Some(number) => match number.parse::<VersionNumber>() {
            Ok(number) => Some(number),
            Err(_) => return bad_request("GET /accord/rules or /accord/rules/NUMBER"),
        },
        None => None,
    };
    match fleet_rules.task().request(|reply| Command::Version(number, reply), REPLY_TIMEOUT).await.flatten() {
        Some(NumberedRules { number, rules }) => page(200, &json!({ "version": number, "rules": rules })),
        None => page(404, &json!({ "error": "this gateway does not know that version" })),
    }
}

/// Sends an operator's message to every replica without waiting for its effect, which `GET /accord` shows.
fn broadcast(fleet_rules: &FleetRules, message: Message) -> Page {
    if fleet_rules.task().send(Command::Broadcast(message)) {
        page(202, &json!({ "said": true }))
    } else {
        page(503, &json!({ "error": "the task has no room" }))
    }
}

/// `POST /accord/publish`: proposes rules and waits for the outcome; the error is the page for invalid rules.
async fn publish(fleet_rules: &FleetRules, body: &[u8]) -> Result<Page, Page> {
    let Publish { base_version, author, reason, id, rules } = parse_body(body)?;
    // The replicas check the rules too; checking them here saves the round trip and reports the path of each fault.
    let rules = frostgauge_settings::read_rules(&rules).map_err(|faults| {
        let faults: Vec<Value> =
            faults.0.iter().map(|fault| json!({ "path": fault.path, "reason": fault.reason })).collect();
        page(422, &json!({ "outcome": "faulty", "faults": faults }))
    })?;
    let id = id.unwrap_or_else(rand::random);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let time_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(0);
    let proposal = Box::new(Proposal { id, base_version, author, reason, time_ms, rules });
    let outcome = fleet_rules
        .task()
        .request(|reply| Command::Propose(proposal, reply), PUBLISH_TIMEOUT)
        .await
        .flatten();
    let faults = |faults: &[frostgauge_consensus::FieldError]| -> Vec<Value> {
        faults.iter().map(|fault| json!({ "path": fault.path, "reason": fault.reason })).collect()
    };
    Ok(match outcome {
        Some(Outcome::Numbered(version)) => {
            page(200, &json!({ "outcome": "numbered", "version": version, "id": id }))
        }
        Some(Outcome::Overtaken { latest, changed_paths }) => page(
            409,
            &json!({ "outcome": "overtaken", "latest": latest, "changed": changed_paths, "id": id }),
        ),
        Some(Outcome::Invalid(errors)) => {
            page(422, &json!({ "outcome": "faulty", "faults": faults(&errors), "id": id }))
        }
        Some(Outcome::BreaksFallback { version, held_by, conflicts }) => page(
            409,
            &json!({
                "outcome": "breaks ground", "of": version, "held_by": held_by, "places": faults(&conflicts), "id": id,
            }),
        ),
        Some(Outcome::TooManyVersions(kept)) => {
            page(503, &json!({ "outcome": "full", "kept": kept, "id": id }))
        }
        // The proposal may still be numbered later; a request with the same id returns its outcome.
        None => page(504, &json!({ "outcome": "not known", "id": id })),
    })
}
