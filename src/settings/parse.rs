//! Parsing of settings, with errors that name the file and the path of the key.

use std::fmt;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Error in a settings file.
#[derive(Debug)]
pub struct SettingsError {
    file: String,
    path: String,
    message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: at {}: {}", self.file, self.path, self.message)
    }
}

impl std::error::Error for SettingsError {}

/// Lowest Jaro-Winkler similarity at which a known key is suggested for an unknown one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.6;

/// Reads a settings file. `example` must have every known key set.
///
/// # Errors
///
/// [`SettingsError`] names the file, the path of the key, and what was expected there.
pub fn read<T: DeserializeOwned + Serialize>(path: &Path, example: &T) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
        file: file.clone(),
        path: ".".to_owned(),
        message: e.to_string(),
    })?;
    parse(&file, &text, example)
}

/// Parses settings. `file` is the name for error messages; `example` must have every known key set.
///
/// # Errors
///
/// As [`read`].
///
/// ```
/// use redwingfold::settings::{SideSettings, parse};
/// let text = r#"{"host": "a", "failure_domian": "x"}"#;
/// let error = parse("side.json", text, &SideSettings::example()).unwrap_err().to_string();
/// assert!(error.contains("failure_domian") && error.contains("failure_domain"));
/// ```
pub fn parse<T: DeserializeOwned + Serialize>(
    file: &str,
    text: &str,
    example: &T,
) -> Result<T, SettingsError> {
    let error =
        |path: String, message: String| SettingsError { file: file.to_owned(), path, message };
    let value: Value =
        serde_json::from_str(text).map_err(|e| error(".".to_owned(), e.to_string()))?;
    let mut unknown = Vec::new();
    let mut on_unknown = |path: serde_ignored::Path<'_>| unknown.push(path.to_string());
    let mut track = serde_path_to_error::Track::new();
    let tracking = serde_path_to_error::Deserializer::new(&value, &mut track);
    let parsed = T::deserialize(serde_ignored::Deserializer::new(tracking, &mut on_unknown));
    // An unknown key is reported first: a misspelt key is the most frequent reason why a required
    // one is missing.
    if let Some(path) = unknown.first() {
        return Err(error(path.clone(), unknown_key(path, example)));
    }
    parsed.map_err(|e| error(track.path().to_string(), e.to_string()))
}

fn unknown_key<T: Serialize>(path: &str, example: &T) -> String {
    let example = serde_json::to_value(example).unwrap_or_default();
    let (parents, key) = path.rsplit_once('.').unwrap_or(("", path));
    let mut object = &example;
    for part in parents.split('.').filter(|part| !part.is_empty()) {
        object = match object {
            Value::Array(items) => items.first().unwrap_or(&Value::Null),
            other => other.get(part).unwrap_or(&Value::Null),
        };
    }
    let names: Vec<_> = object.as_object().into_iter().flat_map(|o| o.keys()).collect();
    let nearest = names
        .iter()
        .map(|name| (strsim::jaro_winkler(key, name), name))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((similarity, name)) if similarity >= MIN_SUGGESTION_SIMILARITY => {
            format!("unknown key {key:?}; did you mean {name:?}?")
        }
        _ => format!("unknown key {key:?}; known are {names:?}"),
    }
}
