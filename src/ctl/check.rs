//! The `check` command: validates objects before they are published.

use std::path::PathBuf;

use redwingfold_core::{Config, ErrorKind, SelectorMatch};
use serde_json::json;

use super::Exit;
use super::context::Ctl;
use super::objects::read_objects;
use super::table::{print_json, print_table};

/// A problem found by a check: its error code, and a message that says where it is.
#[derive(Clone, Debug)]
pub(crate) struct Finding {
    pub(crate) kind: ErrorKind,
    pub(crate) message: String,
}

/// Returns the problems in a configuration, including selectors that match nothing.
pub(crate) fn find_problems(config: &Config) -> Vec<Finding> {
    let objects = config.problems().into_iter();
    let objects = objects.map(|message| Finding { kind: ErrorKind::BadObject, message });
    let empty = config.selector_matches().into_iter().filter(|m| m.matched.is_empty());
    let empty = empty.map(|m| Finding {
        kind: ErrorKind::EmptySelector,
        message: format!("{}: {} {:?} matches nothing", m.object, m.field, m.selector),
    });
    objects.chain(empty).collect()
}

/// Validates the objects in files as if they were published now. Without `ctl`, they are validated
/// on their own.
pub(crate) async fn check_files(
    ctl: Option<&Ctl>,
    files: &[PathBuf],
    explain: bool,
    json: bool,
) -> eyre::Result<Exit> {
    let objects = read_objects(files)?;
    let base = match ctl {
        Some(ctl) => (*ctl.config().await?).clone(),
        None => Config::default(),
    };
    let config = base.with_change(&objects, &[]);
    let findings = find_problems(&config);
    let matches = if explain { config.selector_matches() } else { Vec::new() };
    match json {
        true => print_json(&json!({
            "objects": objects.len(),
            "findings": findings.iter().map(|f| json!({"code": f.kind.row().code, "what": f.message})).collect::<Vec<_>>(),
            "selectors": matches.iter().map(|m| json!({
                "object": m.object, "field": m.field, "selector": m.selector, "matched": m.matched,
            })).collect::<Vec<_>>(),
        }))?,
        false => {
            print_matches(&matches);
            for finding in &findings {
                println!("{}: {}", finding.kind, finding.message);
            }
            println!("{} objects, {} findings", objects.len(), findings.len());
        }
    }
    Ok(if findings.is_empty() { Exit::Ok } else { Exit::Found })
}

fn print_matches(matches: &[SelectorMatch]) {
    if matches.is_empty() {
        return;
    }
    let rows = matches.iter().map(|m| {
        let matched: Vec<_> = m.matched.iter().map(ToString::to_string).collect();
        vec![m.object.to_string(), m.field.to_owned(), m.selector.clone(), matched.join(" ")]
    });
    print_table(&["OBJECT", "FIELD", "SELECTOR", "MATCHES"], rows.collect());
}
