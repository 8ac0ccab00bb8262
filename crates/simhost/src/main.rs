//! Reads the simulator's batches from standard input, one per line, and writes one reply line for each to standard
//! output.

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // The host reports a gateway's panic in its reply, so nothing is printed for it.
    std::panic::set_hook(Box::new(|_| {}));
    let mut host = frostgauge_simhost::Host::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut line = String::new();
    loop {
        line.clear();
        match input.read_line(&mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) => {}
            Err(error) => {
                eprintln!("cannot read a line from standard input: {error}; exiting");
                return ExitCode::FAILURE;
            }
        }
        match host.handle_batch(&line) {
            Ok(reply) => {
                if writeln!(output, "{reply}").and_then(|()| output.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(error) => {
                eprintln!("{error}; exiting");
                return ExitCode::FAILURE;
            }
        }
    }
}
