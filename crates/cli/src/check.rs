//! Reads contract files and keys, and validates contract files offline.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read};

use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_wire::operator::{ContractFile, SecretKey};

use crate::exit::ToolError;

/// Reads contract files. The error lists every file that cannot be read.
pub(crate) fn read_files(paths: &[String]) -> Result<Vec<ContractFile>, ToolError> {
    if paths.is_empty() {
        return Err(ToolError::Usage(
            "name at least one contract file".to_owned(),
        ));
    }
    let (mut files, mut errors) = (Vec::new(), Vec::new());
    for path in paths {
        match fs::read_to_string(path) {
            Ok(text) => files.push(ContractFile {
                file: path.clone(),
                text,
            }),
            Err(error) => errors.push(format!("{path}: cannot be read: {error}")),
        }
    }
    if errors.is_empty() {
        Ok(files)
    } else {
        Err(ToolError::Usage(errors.join("\n")))
    }
}

/// Validates contract files. The error lists every mistake in every file.
pub(crate) fn check_files(files: &[ContractFile]) -> Result<String, ToolError> {
    let (mut lines, mut errors) = (Vec::new(), Vec::new());
    let mut files_by_customer = BTreeMap::new();
    for ContractFile { file, text } in files {
        match CustomerContract::parse(file, text) {
            Err(error) => errors.push(error.to_string()),
            Ok(contract) => {
                let customer = contract.customer;
                lines.push(format!("{file}: valid contract of {customer}"));
                if let Some(other) = files_by_customer.insert(customer.clone(), file) {
                    let name = customer.as_str();
                    errors.push(format!("{file}: customer: {name:?}: is also in {other}"));
                }
            }
        }
    }
    if errors.is_empty() {
        Ok(lines.join("\n"))
    } else {
        Err(ToolError::Rejected(errors.join("\n")))
    }
}

/// Reads a key from a file or from standard input, strips trailing line endings
/// and validates it.
pub(crate) fn read_key(path: Option<&str>) -> Result<SecretKey, ToolError> {
    let read_error = |error: io::Error| {
        let source = path.unwrap_or("standard input");
        ToolError::Usage(format!("{source}: cannot be read: {error}"))
    };
    let mut text = String::new();
    if let Some(path) = path {
        text = fs::read_to_string(path).map_err(read_error)?;
    } else {
        io::stdin().read_to_string(&mut text).map_err(read_error)?;
    }
    let key = SecretKey::new(text.trim_end_matches(['\r', '\n']));
    match key.digest() {
        Ok(_) => Ok(key),
        Err(error) => Err(ToolError::Usage(error.to_string())),
    }
}
