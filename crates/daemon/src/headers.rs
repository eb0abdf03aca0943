//! Filtering of headers between callers and backend servers.

use actix_http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Request headers that the instance sets itself or does not forward.
const NOT_FORWARDED: [HeaderName; 4] = [AUTHORIZATION, HOST, CONTENT_LENGTH, EXPECT];

/// Headers that are not forwarded in either direction, because they could be used
/// to spoof an identity or the proxy's own headers.
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

/// Prefix of headers reserved for this software.
const RESERVED_PREFIX: &str = "x-tarragonpulley-";

fn is_stripped(name: &HeaderName, connection_headers: &[String]) -> bool {
    let text = name.as_str();
    HOP_BY_HOP.contains(name)
        || RESERVED.contains(&text)
        || text.starts_with(RESERVED_PREFIX)
        || connection_headers.iter().any(|other| other == text)
}

/// Names listed in the `connection` header, which are hop-by-hop too.
fn names_in_connection_header(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn filter_headers(headers: &HeaderMap, keep: impl Fn(&HeaderName) -> bool) -> HeaderMap {
    let mut filtered = HeaderMap::new();
    for (name, value) in headers.iter().filter(|(name, _)| keep(name)) {
        filtered.append(name.clone(), value.clone());
    }
    filtered
}

/// Returns the request headers to forward to the backend server.
pub(crate) fn for_backend(headers: &HeaderMap) -> HeaderMap {
    let connection_headers = names_in_connection_header(headers);
    filter_headers(headers, |name| {
        !is_stripped(name, &connection_headers) && !NOT_FORWARDED.contains(name)
    })
}

/// Returns the response headers to forward to the caller.
pub(crate) fn for_caller(headers: &HeaderMap) -> HeaderMap {
    let connection_headers = names_in_connection_header(headers);
    filter_headers(headers, |name| {
        !is_stripped(name, &connection_headers) && *name != CONTENT_LENGTH
    })
}
