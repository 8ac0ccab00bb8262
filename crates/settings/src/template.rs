//! Jsonnet evaluation. A template may import files of its own folder and below it, and nothing else.

use crate::{Fault, Faults};
use jrsonnet_evaluator::{EvaluationState, FileImportResolver, ManifestFormat};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Bytes of stack for the evaluation, which recurses: its own limit of frames must be met before this.
const STACK: usize = 256 << 20;
/// Frames that a template may recurse.
const FRAMES: usize = 400;
/// Files that a template may import.
const FILES: usize = 100;

/// What a template comes to.
#[derive(Clone, Debug)]
pub struct Evaluated {
    /// The value.
    pub value: serde_json::Value,
    /// The files read, the template first.
    pub files: Vec<PathBuf>,
}

fn fault(path: impl std::fmt::Display, reason: impl std::fmt::Display) -> Faults {
    Faults(vec![Fault { path: path.to_string(), reason: reason.to_string() }])
}

/// Evaluates a template.
///
/// # Errors
/// A file that cannot be read, an import from outside the folder, and what the language reports.
pub fn evaluate(path: &Path) -> Result<Evaluated, Faults> {
    let path = path.canonicalize().map_err(|e| fault(path.display(), e))?;
    // A thread of its own: a template that recurses must end in an error, not in this thread's stack.
    let run = move || {
        let files = imports(&path)?;
        let state = EvaluationState::default();
        state.with_stdlib();
        state.set_max_stack(FRAMES);
        state.set_import_resolver(Box::new(FileImportResolver::default()));
        state.set_manifest_format(ManifestFormat::Json(0));
        let text = state
            .evaluate_file_raw(&path)
            .and_then(|value| state.with_tla(value))
            .and_then(|value| state.manifest(value))
            .map_err(|e| fault(path.display(), state.stringify_err(&e)))?;
        let value = serde_json::from_str(&text).map_err(|e| fault(path.display(), e))?;
        Ok(Evaluated { value, files })
    };
    let thread = std::thread::Builder::new().name("template".into()).stack_size(STACK).spawn(run);
    let thread = thread.map_err(|e| fault("template", e))?;
    thread.join().unwrap_or_else(|_| Err(fault("template", "the evaluation failed")))
}

/// Every file that a template may read, found before it is evaluated: imports are literals, so that a look
/// at the syntax tells them all.
fn imports(top: &Path) -> Result<Vec<PathBuf>, Faults> {
    let folder = top.parent().unwrap_or(Path::new("/")).to_path_buf();
    let (mut open, mut seen, mut files) = (vec![(top.to_path_buf(), true)], BTreeSet::new(), vec![]);
    while let Some((path, code)) = open.pop() {
        if !seen.insert(path.clone()) {
            continue;
        }
        if seen.len() > FILES {
            return Err(fault(top.display(), format!("imports more than {FILES} files")));
        }
        files.push(path.clone());
        if !code {
            continue;
        }
        let text = std::fs::read_to_string(&path).map_err(|e| fault(path.display(), e))?;
        let name: Rc<Path> = path.clone().into();
        let settings = jrsonnet_parser::ParserSettings { file_name: name, loc_data: true };
        let tree = jrsonnet_parser::parse(&text, &settings).map_err(|e| {
            let (line, column) = (e.location.line, e.location.column);
            fault(format!("{}:{line}:{column}", path.display()), format!("expected {}", e.expected))
        })?;
        let tree = serde_json::to_value(&tree).map_err(|e| fault(path.display(), e))?;
        let mut found = vec![];
        walk(&tree, &mut found);
        for (import, code) in found {
            let at = format!("{}: import '{import}'", path.display());
            let full = path.parent().unwrap_or(&folder).join(&import);
            let full = full.canonicalize().map_err(|e| fault(&at, e))?;
            if !full.starts_with(&folder) {
                return Err(fault(at, "lies outside the folder of the settings"));
            }
            open.push((full, code));
        }
    }
    Ok(files)
}

/// The imports of a syntax tree, as it serialises: `Import` and `ImportStr` with their paths.
fn walk(tree: &serde_json::Value, found: &mut Vec<(String, bool)>) {
    match tree {
        serde_json::Value::Object(members) => {
            for (name, value) in members {
                match (name.as_str(), value.as_str()) {
                    ("Import", Some(path)) => found.push((path.to_owned(), true)),
                    ("ImportStr", Some(path)) => found.push((path.to_owned(), false)),
                    _ => walk(value, found),
                }
            }
        }
        serde_json::Value::Array(items) => items.iter().for_each(|item| walk(item, found)),
        _ => {}
    }
}
