//! Settings: a Jsonnet template, evaluated, read into types and checked as a whole. Every error found is
//! reported with the path of the field at fault; a file with any error changes nothing.

mod check;
mod consensus;
mod counter;
mod decision_settings;
mod file;
mod ids;
mod loaded;
mod resolve;
mod route;
mod secret;
mod template;

pub use consensus::{load_rules, read_rules, Consensus};
pub use counter::{load_counter, CounterFile, CounterLimits, CounterLoaded};
pub use file::*;
pub use ids::{customer_id, server_id};
pub use loaded::{Loaded, Node, Tenant};
pub use route::{Route, Routed};
pub use secret::Secret;
pub use template::{evaluate, Evaluated};

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The field, as a path from the file's top, or a place in the template.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// All that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Reads, evaluates and checks a settings file.
///
/// # Errors
/// Everything that is wrong with it.
pub fn load(path: &std::path::Path) -> Result<Loaded, Faults> {
    let evaluated = evaluate(path)?;
    let file = file::read(&evaluated.value)?;
    let folder = path.parent().unwrap_or(std::path::Path::new("."));
    resolve::resolve(file, folder)
}
