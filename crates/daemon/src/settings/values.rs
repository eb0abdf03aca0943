//! Parses and validates the values of settings.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use http::Uri;
use log::LevelFilter;
use tarragonpulley_policy::units::TimeSpan;

use super::flags::{RawSetting, RawSettings};
use super::{InstanceSettings, InvalidSetting};

const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum is below the lifetime of a proof (2.5 s), since a read that takes
/// longer proves nothing.
const PLATFORM_TIMEOUT: RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_secs(2);
const DEFAULT_MAX_CONNECTIONS: usize = 4096;
const MAX_CONNECTIONS: RangeInclusive<usize> = 1..=65_536;

/// The base URL of a platform service, `http://IP:PORT` with an optional
/// path and without a slash at the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformUrl(String);

impl PlatformUrl {
    /// The URL without a slash at the end.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PlatformUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for PlatformUrl {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let format_error = || format!("{text:?} must be http://IP:PORT with an optional path");
        let uri: Uri = text.parse().map_err(|_error| format_error())?;
        let authority = uri.authority().ok_or_else(format_error)?;
        let host = authority.host().trim_matches(['[', ']']);
        let host_is_ip = host.parse::<IpAddr>().is_ok();
        let port = authority.port_u16().is_some_and(|port| port != 0);
        let plain = uri.scheme_str() == Some("http") && uri.query().is_none();
        if host_is_ip && port && plain && !authority.as_str().contains('@') {
            Ok(Self(text.trim_end_matches('/').to_owned()))
        } else {
            Err(format_error())
        }
    }
}

struct ValueReader<'a> {
    raw: &'a RawSettings,
    errors: &'a mut Vec<InvalidSetting>,
}

impl ValueReader<'_> {
    fn read<T>(
        &mut self,
        flag: &str,
        default: Option<T>,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> Option<T> {
        let RawSetting {
            flag,
            source,
            value,
        } = self.raw.get(flag)?;
        let (source, result) = match value {
            Some(value) => (source.as_str(), parse(value)),
            None if default.is_some() => return default,
            None => (*flag, Err("is required".to_owned())),
        };
        result.map_err(|message| self.add(source, message)).ok()
    }

    fn add(&mut self, source: &str, message: impl Into<String>) {
        self.errors.push(InvalidSetting {
            source: source.to_owned(),
            message: message.into(),
        });
    }

    fn address(&mut self, flag: &str) -> Option<SocketAddr> {
        self.read(flag, None, |text| {
            let format_error = || format!("{text:?} must be IP:PORT, as in 10.1.0.4:7000");
            let address: SocketAddr = text.parse().map_err(|_error| format_error())?;
            if address.ip().is_unspecified() {
                // The address is announced to other processes.
                return Err(format!("{text:?} must name one IP address of this machine"));
            }
            Ok(address)
        })
    }

    fn distinct(&mut self, addresses: [(&'static str, Option<SocketAddr>); 3]) {
        let mut seen = BTreeMap::new();
        for (flag, address) in addresses {
            let Some(address) = address.filter(|a| a.port() != 0) else {
                continue;
            };
            if let Some(other) = seen.insert(address, flag) {
                self.add(flag, format!("{address} is also the value of {other}"));
            }
        }
    }
}

fn parsed<T: FromStr<Err: fmt::Display>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|e: T::Err| e.to_string())
}

fn timeout(text: &str) -> Result<Duration, String> {
    let span: TimeSpan = parsed(text)?;
    if PLATFORM_TIMEOUT.contains(&span.get()) {
        return Ok(span.get());
    }
    let (min, max) = (*PLATFORM_TIMEOUT.start(), *PLATFORM_TIMEOUT.end());
    let (min, max) = (TimeSpan::new(min), TimeSpan::new(max));
    Err(format!("{text:?} must be from {min} to {max}"))
}

fn connections(text: &str) -> Result<usize, String> {
    let (min, max) = (MAX_CONNECTIONS.start(), MAX_CONNECTIONS.end());
    text.parse()
        .ok()
        .filter(|number| MAX_CONNECTIONS.contains(number))
        .ok_or_else(|| format!("{text:?} must be a whole number from {min} to {max}"))
}

fn level(text: &str) -> Result<LevelFilter, String> {
    match text {
        "error" | "warn" | "info" | "debug" | "trace" => parsed(text),
        _ => Err(format!(
            "{text:?} must be error, warn, info, debug or trace"
        )),
    }
}

pub(super) fn check(
    raw: &RawSettings,
    errors: &mut Vec<InvalidSetting>,
) -> Option<InstanceSettings> {
    let mut reader = ValueReader { raw, errors };
    let instance = reader.read("--instance", None, parsed);
    let data_centre = reader.read("--data-centre", None, parsed);
    let service_address = reader.address("--service-address");
    let operator_address = reader.address("--operator-address");
    let peer_address = reader.address("--peer-address");
    reader.distinct([
        ("--service-address", service_address),
        ("--operator-address", operator_address),
        ("--peer-address", peer_address),
    ]);
    let table_url = reader.read("--table-url", None, parsed);
    let object_url = reader.read("--object-url", None, parsed);
    let list_url = reader.read("--list-url", None, parsed);
    let platform_timeout = reader.read(
        "--platform-timeout",
        Some(DEFAULT_PLATFORM_TIMEOUT),
        timeout,
    );
    let max_connections = reader.read(
        "--max-connections",
        Some(DEFAULT_MAX_CONNECTIONS),
        connections,
    );
    let log_level = reader.read("--log-level", Some(LevelFilter::Info), level);
    Some(InstanceSettings {
        instance: instance?,
        data_centre: data_centre?,
        service_address: service_address?,
        operator_address: operator_address?,
        peer_address: peer_address?,
        table_url: table_url?,
        object_url: object_url?,
        list_url: list_url?,
        platform_timeout: platform_timeout?,
        max_connections: max_connections?,
        log_level: log_level?,
    })
}
