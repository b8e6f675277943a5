//! The `show` command: shows the objects in force.

use super::Exit;
use super::context::Ctl;
use super::table::{print_json, print_table};

/// Shows all objects, the objects of one kind, or one object.
pub(crate) async fn show(ctl: &Ctl, selector: Option<&str>) -> eyre::Result<Exit> {
    let config = ctl.config().await?;
    let is_selected = |key: &redwingfold_core::ObjectKey| match selector {
        Some(text) => text == key.kind || text == key.to_string(),
        None => true,
    };
    let found: Vec<_> = config.objects.iter().filter(|(key, _)| is_selected(key)).collect();
    let is_single = selector.is_some_and(|text| text.contains('/'));
    match found.as_slice() {
        [] if selector.is_some() => {
            eyre::bail!("no object matches {}", selector.unwrap_or_default())
        }
        [(_, stored)] if is_single => print_json(stored)?,
        _ if ctl.json => {
            let objects: Vec<_> = found.iter().map(|(_, stored)| stored).collect();
            print_json(&serde_json::json!({"at": config.offset, "objects": objects}))?;
        }
        _ => {
            let rows = found.iter().map(|(key, stored)| {
                let labels = stored.object.labels.iter().map(|(k, v)| format!("{k}={v}"));
                let labels = labels.collect::<Vec<_>>().join(",");
                vec![key.to_string(), stored.revision.to_string(), labels]
            });
            print_table(&["OBJECT", "REVISION", "LABELS"], rows.collect());
        }
    }
    Ok(Exit::Ok)
}
