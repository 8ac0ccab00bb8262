//! Member paths of status pages and names of metrics, for comparison with those recorded in fixtures.

use serde_json::Value;
use std::collections::BTreeSet;

/// The lines of a fixture, without those that begin with `#`.
pub fn lines_of(fixture: &str) -> BTreeSet<String> {
    fixture.lines().filter(|line| !line.starts_with('#')).map(str::to_owned).collect()
}

/// The paths of all members without further members, such as `answers.taken`. `[]` denotes an element of an array.
pub fn paths_of_members(value: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    add_paths(value, "", &mut paths);
    paths
}

fn add_paths(value: &Value, path: &str, out: &mut BTreeSet<String>) {
    match value {
        Value::Object(members) if !members.is_empty() => {
            for (name, member) in members {
                let separator = if path.is_empty() { "" } else { "." };
                add_paths(member, &format!("{path}{separator}{name}"), out);
            }
        }
        Value::Array(elements) if !elements.is_empty() => {
            elements.iter().for_each(|element| add_paths(element, &format!("{path}[]"), out));
        }
        _ => {
            out.insert(path.to_owned());
        }
    }
}

/// The metrics of a page, each as its name and the keys of its labels or `-`, such as
/// `frostgauge_answers kind,reason`. The label `what` tells several figures of one metric apart, so its value is
/// kept.
pub fn names_of_metrics(page: &str) -> BTreeSet<String> {
    page.lines().filter(|line| line.starts_with("frostgauge_")).map(name_of_metric).collect()
}

fn name_of_metric(line: &str) -> String {
    let series = line.rsplit_once(' ').map_or(line, |(series, _value)| series);
    let (name, labels) = series.trim_end_matches('}').split_once('{').unwrap_or((series, ""));
    let keys: Vec<_> = labels.split(',').filter_map(key_of_label).collect();
    let keys = if keys.is_empty() { "-".to_owned() } else { keys.join(",") };
    format!("{name} {keys}")
}

fn key_of_label(label: &str) -> Option<&str> {
    let key = label.split_once('=')?.0;
    Some(if key == "what" { label } else { key })
}
