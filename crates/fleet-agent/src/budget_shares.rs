//! Shares of the connection budgets by tenant and gateway, and the rules behind them, as JSON for operators. The keys are
//! part of the admin interface.

use frostgauge_connection_budget::{BudgetScope, CompiledPolicy, TenantClass, Terms};
use frostgauge_consensus::StateMachine;
use serde_json::{json, Map, Value};

/// For each group: its servers, and for each tenant class its terms, the rules that set them and the permits of each
/// gateway. None if the fallback version has no connection budgets.
pub fn report(machine: &StateMachine) -> Option<Value> {
    let policy = machine.version(machine.fallback_version())?.rules.compiled_budgets()?;
    let groups: Map<String, Value> = (policy.policy().budgets.keys())
        .map(|group| (group.clone(), group_report(machine, &policy, group)))
        .collect();
    Some(
        json!({ "version": machine.fallback_version(), "conditions": machine.permits().active_conditions(), "groups": groups }),
    )
}

fn group_report(machine: &StateMachine, policy: &CompiledPolicy, group: &str) -> Value {
    let ledger = machine.permits().ledger();
    let server_report = |server: &String| {
        let scope = BudgetScope::server(server);
        json!({ "connections": ledger.capacity(&scope), "held": ledger.held(&scope) })
    };
    let servers: Map<String, Value> =
        policy.servers(group).iter().map(|server| (server.clone(), server_report(server))).collect();
    let terms = policy.terms(group, machine.permits().active_conditions());
    let holders: Vec<Value> = terms
        .map(|(tenant_class, terms)| tenant_class_report(machine, policy, group, tenant_class, &terms))
        .collect();
    json!({ "servers": servers, "holders": holders })
}

fn tenant_class_report(
    machine: &StateMachine,
    policy: &CompiledPolicy,
    group: &str,
    tenant_class: &TenantClass,
    terms: &Terms,
) -> Value {
    let ledger = machine.permits().ledger();
    let scope = BudgetScope::tenant(group, tenant_class);
    let by_gateway: Map<String, Value> = ledger
        .permits_at(&scope)
        .map(|(gateway, permits)| (gateway.to_string(), json!(permits.target)))
        .collect();
    json!({
        "tenant": tenant_class.tenant, "class": tenant_class.class, "held": ledger.held(&scope),
        "terms": terms_report(terms), "by": rules_of_terms(policy, terms), "gateways": by_gateway,
    })
}

fn terms_report(terms: &Terms) -> Value {
    json!({
        "floor": terms.floor, "ground": terms.fallback, "weight": terms.weight, "ceiling": terms.ceiling,
        "give_up": terms.shed_order,
        "lend": terms.loan.map(|loan| json!({ "up_to": loan.max_connections, "back_ms": loan.recall_ms })),
    })
}

/// The name of the rule that set each term; terms that have their default are left out.
fn rules_of_terms(policy: &CompiledPolicy, terms: &Terms) -> Value {
    let sources = &terms.sources;
    let rule_indices = [
        ("floor", sources.floor),
        ("ground", sources.fallback),
        ("weight", sources.weight),
        ("ceiling", sources.ceiling),
        ("give_up", sources.shed_order),
        ("lend", sources.loan),
    ];
    let rule_names = rule_indices.into_iter().filter_map(|(term, index)| {
        let rule = policy.policy().rules.get(index?)?;
        Some((term.to_owned(), json!(rule.name)))
    });
    Value::Object(rule_names.collect())
}
