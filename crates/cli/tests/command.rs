//! The command as staff call it.

use frostgauge_rig::run::Folder;
use std::process::{Command, Output};

fn frostgauge(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_frostgauge")).args(args).output().expect("it runs")
}

#[test]
fn check_lists_every_fault_and_ends_with_code_2() {
    let folder = Folder::new(None).expect("a folder");
    let file = folder.path().join("s.jsonnet");
    std::fs::write(&file, "{ zones: ['a', 'a'], nodes: [{ adress: 1 }], hello: 1 }").expect("written");
    let out = frostgauge(&["check", &file.display().to_string()]);
    assert_eq!(out.status.code(), Some(2));
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    for want in ["hello: is not a section", "nodes[0]", "gateway: is missing"] {
        assert!(said.contains(want), "{want} not in {said}");
    }
    let out = frostgauge(&["check", "/nowhere/at-all.jsonnet"]);
    assert_eq!(out.status.code(), Some(2));
}

#[test]
fn status_of_a_gateway_that_is_not_there_ends_with_code_1_and_names_it() {
    let out = frostgauge(&["status", "--admin", "127.0.0.1:9"]);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("127.0.0.1:9"));
}
