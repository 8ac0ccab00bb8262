//! `frostgauge demo`: the frost night, embedded.

use crate::output::Output;
use frostgauge_system_test::{run, scenario};
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// The scenario and what it imports, as they stand in the repository.
const FILES: [(&str, &str); 2] = [
    ("base.libsonnet", include_str!("../../../scenarios/base.libsonnet")),
    ("frost-night.jsonnet", include_str!("../../../scenarios/frost-night.jsonnet")),
];

/// Plays it; exit code 0 only if rules and expectations hold.
pub(crate) fn play(seed: u64, out: Option<PathBuf>) -> ExitCode {
    match night(seed, out) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("demo: {reason}");
            ExitCode::from(2)
        }
    }
}

fn night(seed: u64, out: Option<PathBuf>) -> Result<bool, String> {
    let script = run::Folder::new(None)?;
    for (name, text) in FILES {
        std::fs::write(script.path().join(name), text).map_err(|e| format!("{name}: {e}"))?;
    }
    let scenario = scenario::load(&script.path().join(FILES[1].0)).map_err(|f| f.to_string())?;
    let folder = run::Folder::new(out)?;
    let (gateways, nodes) = (scenario.gateways.count, scenario.nodes.count);
    print(format_args!(
        "A frost night: {gateways} gateways, {nodes} claims nodes, an introspection server, tablets.\n"
    ));
    print(format_args!(
        "The server slows down and falls silent, tokens are revoked, nodes crash and err.\n\n"
    ));
    let terminal = std::io::stdout().is_terminal();
    let progress = |line: &str| {
        if terminal {
            print(format_args!("\r{line:<70}"));
        } else {
            print(format_args!("{line}\n"));
        }
    };
    let report = run::run(scenario, folder.path(), seed, &progress)?;
    print(format_args!("\n\n{}\n", report.table()));
    print(format_args!(
        "{}\n",
        if report.passes() { "The five rules were kept." } else { "Not all is well; see above." }
    ));
    Ok(report.passes())
}

/// Prints at once. The verdict counts, whether or not anybody reads along: what cannot be written is left out.
fn print(text: std::fmt::Arguments<'_>) {
    let mut out = Output::stdout();
    let _ = out.write_fmt(text).and_then(|()| out.flush());
}
