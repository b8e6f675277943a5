//! Reads configuration objects from files.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use eyre::Context;
use redwingfold_core::{Object, ObjectKey};
use sha2::{Digest, Sha256};

/// Returns the SHA-256 hash of a customer's key, in hexadecimal.
pub(crate) fn key_sha256(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

/// Reads the objects in files, and in the `*.json` files of directories. Each file contains a list
/// of objects. An object that occurs twice is an error.
pub(crate) fn read_objects(paths: &[PathBuf]) -> eyre::Result<Vec<Object>> {
    let mut files = Vec::new();
    for path in paths {
        match path.is_dir() {
            true => {
                let entries = std::fs::read_dir(path)?.collect::<Result<Vec<_>, _>>()?;
                let is_json = |p: &PathBuf| p.extension().is_some_and(|e| e == "json");
                files.extend(entries.into_iter().map(|e| e.path()).filter(is_json));
            }
            false => files.push(path.clone()),
        }
    }
    files.sort();
    let mut file_of_key = BTreeMap::<ObjectKey, PathBuf>::new();
    let mut objects = Vec::new();
    for file in files {
        for object in read_file(&file)? {
            let key = object.key();
            if let Some(first_file) = file_of_key.insert(key.clone(), file.clone()) {
                eyre::bail!(
                    "{}: {key} is already defined in {}",
                    file.display(),
                    first_file.display()
                );
            }
            objects.push(object);
        }
    }
    Ok(objects)
}

fn read_file(file: &Path) -> eyre::Result<Vec<Object>> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    let mut json = serde_json::Deserializer::from_str(&text);
    let objects: Vec<Object> = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| eyre::eyre!("{}: at {}: {}", file.display(), e.path(), e.inner()))?;
    json.end().wrap_err_with(|| file.display().to_string())?;
    Ok(objects)
}
