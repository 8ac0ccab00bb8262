//! Scripted days on loopback: gateways and stand-ins as processes, troubles by a script, and the five rules
//! checked from the stand-ins' and the clients' ledgers, never from the gateways' word.

pub mod bench;
pub mod bench_counter;
pub mod checks;
pub mod counter_audit;
pub mod event_log;
pub mod fleet;
pub mod fleet_rules;
pub mod fleet_search;
mod generated_config;
mod ports;
pub mod process;
pub mod quota;
pub mod report;
pub mod roles;
pub mod rules_checks;
pub mod run;
pub mod scenario;
pub mod script;
pub mod search;
pub mod steps;
