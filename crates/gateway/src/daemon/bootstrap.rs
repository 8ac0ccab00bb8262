//! Bootstraps a fleet: writes the first version of the rules into a voter's folder.

use super::error::BootstrapError;
use super::exit;
use frostgauge_settings::{load, load_rules, Faults};
use std::path::Path;

/// Bootstraps a fleet: writes the rules of a file as the first version into this voter's folder. Returns the exit code;
/// errors are printed on standard error.
pub fn bootstrap(config: &Path, rules: &Path) -> u8 {
    match write_record(config, rules) {
        Ok(()) => exit::DONE,
        Err(error) => {
            eprintln!("frostgauged: {error}");
            exit::START_FAILED
        }
    }
}

fn write_record(config: &Path, rules: &Path) -> Result<(), BootstrapError> {
    let loaded = load(config).map_err(|faults| unusable(config, &faults))?;
    let rules = load_rules(rules).map_err(|faults| unusable(rules, &faults))?;
    let Some(section) = &loaded.file.consensus else { return Err(BootstrapError::SectionMissing) };
    let gateway = loaded.file.gateway.number;
    if !section.voters.iter().any(|voter| usize::from(*voter) == gateway) {
        return Err(BootstrapError::NotVoter { gateway });
    }
    let folder = loaded.folder.join(&section.folder);
    frostgauge_fleet_agent::task::bootstrap(&folder, &section.voters, rules, section.canary_percent)
        .map_err(|error| BootstrapError::Record(error.to_string()))
}

fn unusable(path: &Path, faults: &Faults) -> BootstrapError {
    BootstrapError::File { path: path.display().to_string(), faults: faults.to_string() }
}
