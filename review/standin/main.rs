//! Stand-ins and checks of the review's cases: `standin CASE FOLDER ROOT`. `TROUBLE=0` leaves the disruption out.
//! Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.

mod endless;
mod halves;
mod keyed;
mod kit;
mod leaves;
mod settings;
mod slow;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, root] = &arguments[..] else { kit::abort("usage: standin CASE FOLDER ROOT") };
    let (folder, root) = (PathBuf::from(folder), PathBuf::from(root));
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    kit::watch_over(105);
    let code = match case.as_str() {
        "keyed" => keyed::run(&folder, &root, trouble),
        "endless" => endless::run(&folder, &root, trouble),
        "halves" => halves::run(&folder, &root, trouble),
        "leaves" => leaves::run(&folder, &root, trouble),
        "slow" => slow::run(&folder, &root, trouble),
        _ => kit::abort("no such case"),
    };
    std::process::exit(code);
}
