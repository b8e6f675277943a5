//! Invalid settings are rejected with an error that names the setting, and the documentation lists
//! every error kind and metric.

use redwingfold::settings::{CtlSettings, EntrySettings, SideSettings, parse};
use serde_json::{Value, json};

fn entry_error(change: impl FnOnce(&mut Value)) -> String {
    let mut settings = serde_json::to_value(EntrySettings::example()).unwrap();
    change(&mut settings);
    let text = settings.to_string();
    parse("entry.json", &text, &EntrySettings::example()).unwrap_err().to_string()
}

#[test]
fn examples_are_valid() {
    let text = serde_json::to_string(&EntrySettings::example()).unwrap();
    parse("entry.json", &text, &EntrySettings::example()).unwrap();
    let text = serde_json::to_string(&SideSettings::example()).unwrap();
    parse("side.json", &text, &SideSettings::example()).unwrap();
    let text = serde_json::to_string(&CtlSettings::example()).unwrap();
    parse("ctl.json", &text, &CtlSettings::example()).unwrap();
}

#[test]
fn unknown_keys_are_named_with_the_nearest() {
    let error = entry_error(|s| s["limits"]["body_byte"] = json!(1));
    assert!(error.contains("entry.json") && error.contains("limits.body_byte"), "{error}");
    assert!(error.contains("did you mean \"body_bytes\""), "{error}");
    let error = entry_error(|s| s["hostt"] = json!("a"));
    assert!(error.contains("did you mean \"host\""), "{error}");
}

#[test]
fn wrong_values_are_named_with_their_path() {
    let error = entry_error(|s| s["log"]["address"] = json!("localhost"));
    assert!(error.contains("log.address"), "{error}");
    let error = entry_error(|s| s["retry"]["max_attempts"] = json!("three"));
    assert!(error.contains("retry.max_attempts") && error.contains("u32"), "{error}");
    let error = entry_error(|s| {
        s.as_object_mut().unwrap().remove("host");
    });
    assert!(error.contains("missing field `host`"), "{error}");
}

/// The parser returns settings or an error for any text, without a panic.
#[test]
fn any_text_is_survived() {
    bolero::check!().with_type::<String>().for_each(|text| {
        parse("side.json", text, &SideSettings::example()).ok();
    });
}

/// docs/API.md lists every error kind with its status, code, run state and `retry-after`.
#[test]
fn the_api_page_has_every_error_kind() {
    let page = include_str!("../docs/API.md");
    for kind in redwingfold_core::ErrorKind::ALL {
        let row = kind.row();
        let after = row.retry_after.map_or("none".to_owned(), |ms| format!("{ms} ms"));
        let line = format!("| {} | `{}` | `{}` | {after} |", row.status, row.code, row.run);
        assert!(page.contains(&line), "docs/API.md lacks {line}");
    }
}

/// docs/METRICS.md lists every metric that the code records.
#[test]
fn the_metrics_page_has_every_metric() {
    let page = include_str!("../docs/METRICS.md");
    let mut folders = vec![std::path::PathBuf::from("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            match path.extension() {
                None => folders.push(path),
                Some(_) => {
                    let code = std::fs::read_to_string(&path).unwrap();
                    for call in [".count(\"", ".gauge(\"", ".time(\""] {
                        for part in code.split(call).skip(1) {
                            let name = part.split('"').next().unwrap();
                            assert!(page.contains(&format!("`{name}`")), "{path:?}: {name}");
                        }
                    }
                }
            }
        }
    }
}
