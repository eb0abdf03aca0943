//! Reads files, and checks contract files offline.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read};

use tarragonpulley_policy::contract::CustomerContract;
use tarragonpulley_wire::operator::{ContractFile, SecretKey};

use crate::exit::ToolError;

/// Reads contract files. Every unreadable one is listed.
pub(crate) fn read_files(paths: &[String]) -> Result<Vec<ContractFile>, ToolError> {
    if paths.is_empty() {
        return Err(ToolError::Usage(
            "name at least one contract file".to_owned(),
        ));
    }
    let (mut files, mut mistakes) = (Vec::new(), Vec::new());
    for path in paths {
        match fs::read_to_string(path) {
            Ok(text) => files.push(ContractFile {
                file: path.clone(),
                text,
            }),
            Err(error) => mistakes.push(format!("{path}: cannot be read: {error}")),
        }
    }
    if mistakes.is_empty() {
        Ok(files)
    } else {
        Err(ToolError::Usage(mistakes.join("\n")))
    }
}

/// Checks contract files and lists every mistake in all of them.
pub(crate) fn check_files(files: &[ContractFile]) -> Result<String, ToolError> {
    let (mut lines, mut mistakes) = (Vec::new(), Vec::new());
    let mut seen = BTreeMap::new();
    for ContractFile { file, text } in files {
        match CustomerContract::parse(file, text) {
            Err(error) => mistakes.push(error.to_string()),
            Ok(contract) => {
                let customer = contract.customer;
                lines.push(format!("{file}: valid contract of {customer}"));
                if let Some(other) = seen.insert(customer.clone(), file) {
                    let name = customer.as_str();
                    mistakes.push(format!("{file}: customer: {name:?}: is also in {other}"));
                }
            }
        }
    }
    if mistakes.is_empty() {
        Ok(lines.join("\n"))
    } else {
        Err(ToolError::Refused(mistakes.join("\n")))
    }
}

/// Reads a key from a file or from standard input, without the line end.
pub(crate) fn read_key(path: Option<&str>) -> Result<SecretKey, ToolError> {
    let usage = |error: io::Error| {
        let source = path.unwrap_or("standard input");
        ToolError::Usage(format!("{source}: cannot be read: {error}"))
    };
    let mut text = String::new();
    if let Some(path) = path {
        text = fs::read_to_string(path).map_err(usage)?;
    } else {
        io::stdin().read_to_string(&mut text).map_err(usage)?;
    }
    let key = SecretKey::new(text.trim_end_matches(['\r', '\n']));
    match key.digest() {
        Ok(_) => Ok(key),
        Err(error) => Err(ToolError::Usage(error.to_string())),
    }
}
