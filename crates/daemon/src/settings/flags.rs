//! Merges flags and environment variables into one text value per setting.

use std::collections::BTreeMap;

use gumdrop::Options;

use super::InvalidSetting;

const VARIABLE_PREFIX: &str = "TARRAGONPULLEY_";
/// A variable of the command-line tool, which is often set in the same shell.
const CLI_VARIABLE: &str = "TARRAGONPULLEY_OPERATOR";

#[derive(Debug, Default, Options)]
pub(super) struct InstanceFlags {
    #[options(no_short, meta = "NAME", help = "name of the instance")]
    instance: Option<String>,
    #[options(no_short, meta = "NAME", help = "data centre of the instance")]
    data_centre: Option<String>,
    #[options(no_short, meta = "IP:PORT", help = "address for callers")]
    service_address: Option<String>,
    #[options(no_short, meta = "IP:PORT", help = "address for operators")]
    operator_address: Option<String>,
    #[options(no_short, meta = "IP:PORT", help = "address for other instances")]
    peer_address: Option<String>,
    #[options(no_short, meta = "URL", help = "the platform's table service")]
    table_url: Option<String>,
    #[options(no_short, meta = "URL", help = "the platform's object store")]
    object_url: Option<String>,
    #[options(no_short, meta = "URL", help = "the platform's list of instances")]
    list_url: Option<String>,
    #[options(
        no_short,
        meta = "TIME",
        help = "timeout of a platform call, 50ms to 2s (default 1s)"
    )]
    platform_timeout: Option<String>,
    #[options(
        no_short,
        meta = "N",
        help = "maximum connections of callers, 1 to 65536 (default 4096)"
    )]
    max_connections: Option<String>,
    #[options(
        no_short,
        meta = "LEVEL",
        help = "error, warn, info, debug or trace (default info)"
    )]
    log_level: Option<String>,
    #[options(no_short, help = "print this text")]
    pub(super) help: bool,
    #[options(no_short, help = "print the version")]
    pub(super) version: bool,
}

/// The unparsed value of one setting.
#[derive(Debug)]
pub(super) struct RawSetting {
    /// The flag, for messages about a missing value.
    pub(super) flag: &'static str,
    /// The flag or variable that the value comes from.
    pub(super) source: String,
    pub(super) value: Option<String>,
}

/// All settings by flag name.
pub(super) type RawSettings = BTreeMap<&'static str, RawSetting>;

pub(super) fn help_text() -> String {
    format!(
        "Usage: tarragonpulleyd [OPTIONS]\n\n{}\n\n\
         Each option can also be set by a variable, as in {VARIABLE_PREFIX}DATA_CENTRE for\n\
         --data-centre; the option takes precedence.\n\n\
         Exit codes: 0 orderly shutdown, 1 failure while running, 2 invalid settings.",
        InstanceFlags::usage()
    )
}

/// Parses flag by flag, so that one error does not hide the next.
pub(super) fn parse(arguments: &[String], errors: &mut Vec<InvalidSetting>) -> InstanceFlags {
    let mut valid: Vec<&String> = Vec::new();
    let mut rest = arguments;
    while let Some(first) = rest.first() {
        let more = rest[1..].iter().take_while(|a| !a.starts_with('-'));
        let (chunk, later) = rest.split_at(1 + more.count());
        rest = later;
        match InstanceFlags::parse_args_default(chunk) {
            Ok(_) => valid.extend(chunk),
            Err(error) => errors.push(InvalidSetting {
                source: first.clone(),
                message: error.to_string(),
            }),
        }
    }
    InstanceFlags::parse_args_default(&valid).unwrap_or_default()
}

/// Merges flags and variables, and reports unknown variables.
pub(super) fn collect(
    flags: InstanceFlags,
    variables: &BTreeMap<String, String>,
    errors: &mut Vec<InvalidSetting>,
) -> RawSettings {
    let by_flag = [
        ("--instance", flags.instance),
        ("--data-centre", flags.data_centre),
        ("--service-address", flags.service_address),
        ("--operator-address", flags.operator_address),
        ("--peer-address", flags.peer_address),
        ("--table-url", flags.table_url),
        ("--object-url", flags.object_url),
        ("--list-url", flags.list_url),
        ("--platform-timeout", flags.platform_timeout),
        ("--max-connections", flags.max_connections),
        ("--log-level", flags.log_level),
    ];
    let mut unknown: BTreeMap<&String, &String> = variables
        .iter()
        .filter(|(name, _)| name.starts_with(VARIABLE_PREFIX) && *name != CLI_VARIABLE)
        .collect();
    let mut raw = RawSettings::new();
    for (flag, value) in by_flag {
        let variable = variable_of(flag);
        let variable_value = unknown.remove(&variable).cloned();
        let source = if value.is_none() && variable_value.is_some() {
            variable
        } else {
            flag.to_owned()
        };
        let value = value.or(variable_value);
        raw.insert(
            flag,
            RawSetting {
                flag,
                source,
                value,
            },
        );
    }
    errors.extend(unknown.into_keys().map(|name| InvalidSetting {
        source: name.clone(),
        message: "is not a known variable".to_owned(),
    }));
    raw
}

fn variable_of(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_");
    format!("{VARIABLE_PREFIX}{}", name.to_ascii_uppercase())
}
