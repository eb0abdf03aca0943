//! Which headers pass between callers and backend servers.

use actix_http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Headers that belong to one connection.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers that the instance sets itself or keeps from backend servers.
const CALLER_ONLY: [HeaderName; 4] = [AUTHORIZATION, HOST, CONTENT_LENGTH, EXPECT];

/// Headers by which a caller could claim to be somebody else.
const RESERVED: [&str; 14] = [
    "cookie2",
    "forwarded",
    "keep-alive",
    "proxy-connection",
    "x-customer",
    "x-deadline-ms",
    "x-forwarded-for",
    "x-forwarded-host",
    "x-forwarded-proto",
    "x-outcome",
    "x-real-ip",
    "x-request-id",
    "x-server-state",
    "x-team",
];

/// Prefix of headers that are reserved for this software.
const RESERVED_PREFIX: &str = "x-tarragonpulley-";

fn is_private(name: &HeaderName, listed: &[String]) -> bool {
    let text = name.as_str();
    HOP_BY_HOP.contains(name)
        || RESERVED.contains(&text)
        || text.starts_with(RESERVED_PREFIX)
        || listed.iter().any(|other| other == text)
}

/// Headers that the `connection` header names as belonging to the connection.
fn listed_in_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn copy(headers: &HeaderMap, keep: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for (name, value) in headers.iter().filter(|(name, _)| keep(name)) {
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// The headers of a request as the backend server sees them.
pub(crate) fn for_backend(headers: &HeaderMap) -> HeaderMap {
    let listed = listed_in_connection(headers);
    copy(headers, |name| {
        !is_private(name, &listed) && !CALLER_ONLY.contains(name)
    })
}

/// The headers of an answer as the caller sees them.
pub(crate) fn for_caller(headers: &HeaderMap) -> HeaderMap {
    let listed = listed_in_connection(headers);
    copy(headers, |name| {
        !is_private(name, &listed) && *name != CONTENT_LENGTH
    })
}
