//! Compares docs/findings/plays.md with the journal of the plays.

use std::collections::BTreeMap;
use std::fs;

use serde::Deserialize;

#[derive(Deserialize)]
struct Entry {
    id: String,
    #[serde(default)]
    days: Option<Vec<Day>>,
}

#[derive(Deserialize)]
struct Day {
    #[serde(default)]
    rules: Option<BTreeMap<String, u64>>,
}

/// Returns for each day with violated rules the id of its journal entry and the rules with their
/// counts, in the form of docs/findings/plays.md.
fn days_with_violations() -> Vec<(String, String)> {
    let files = fs::read_dir("journal").unwrap().map(|file| file.unwrap().path());
    let texts = files.filter(|path| path.extension().is_some_and(|e| e == "json"));
    let entries = texts.map(|path| {
        let text = fs::read(&path).unwrap();
        serde_json::from_slice::<Entry>(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
    });
    let mut violations = Vec::new();
    for Entry { id, days } in entries {
        let rules = days.into_iter().flatten().filter_map(|day| day.rules);
        for rules in rules.filter(|rules| !rules.is_empty()) {
            let rules: Vec<_> =
                rules.iter().map(|(rule, times)| format!("{rule} {times}")).collect();
            violations.push((id.clone(), rules.join(", ")));
        }
    }
    violations
}

/// Guards against a play with violated rules that the findings omit or list without violations.
#[test]
fn findings_agree_with_each_play_that_broke_a_rule() {
    let page = fs::read_to_string("docs/findings/plays.md").unwrap();
    let lines: Vec<_> = page.lines().collect();
    let violations = days_with_violations();
    assert!(!violations.is_empty());
    let is_listed = |(id, rules): &&(String, String)| {
        let (row_start, cell) = (format!("| {id} |"), format!("| {rules} |"));
        lines.iter().any(|line| line.starts_with(&row_start) && line.contains(&cell))
    };
    let missing: Vec<_> = violations.iter().filter(|day| !is_listed(day)).collect();
    assert!(missing.is_empty(), "not in docs/findings/plays.md: {missing:?}");
}
