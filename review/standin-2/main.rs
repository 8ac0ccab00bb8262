//! Stand-ins and checks of the second independent review: clients, servers, discovery and the platform around processes
//! of the gateway. One program, the standard library alone; `standin CASE RECORD` plays one case.

mod client;
mod discovery;
mod gateway;
mod record;
mod server;

mod case_ceiling;
mod case_copy;
mod case_gone;
mod case_outage;
mod case_pipeline;
mod case_stall;
mod case_starve;

use record::Verdict;
use std::process::exit;
use std::time::Duration;

/// Longest run of a case; a case that is not over by then could not run.
const LONGEST: Duration = Duration::from_secs(110);

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        eprintln!("the case took too long");
        // The processes started die with this one (`gateway::start`).
        exit(2);
    });
    let run = move || match case.as_str() {
        "ceiling" => case_ceiling::run(&path, trouble),
        "copy" => case_copy::run(&path, trouble),
        "gone" => case_gone::run(&path, trouble),
        "outage" => case_outage::run(&path, trouble),
        "pipeline" => case_pipeline::run(&path, trouble),
        "starve" => case_starve::run(&path, trouble),
        "stall" => case_stall::run(&path, trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run))
        .unwrap_or_else(|_| Verdict::NotRun("a stand-in failed".to_owned()));
    match verdict {
        Verdict::Kept(what) => {
            println!("kept: {what}");
            exit(0);
        }
        Verdict::Broken(what) => {
            println!("BROKEN: {what}");
            exit(1);
        }
        Verdict::NotRun(why) => {
            println!("not run: {why}");
            exit(2);
        }
    }
}
