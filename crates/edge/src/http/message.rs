//! Requests and responses in memory.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;

use super::budget::BufferShare;

/// Bodies up to this size in bytes are written together with the head. Larger ones
/// are not copied for that.
pub(crate) const MAX_JOINED_BODY_BYTES: usize = 16 * 1024;

/// A header field with its name as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HeaderField {
    pub(crate) name: String,
    pub(crate) value: Vec<u8>,
}

/// Looks up header fields by name.
pub(crate) trait HeaderLookup {
    /// All header fields in order.
    fn fields(&self) -> &[HeaderField];

    /// The value of the first field with this name, if it is text.
    fn text(&self, name: &str) -> Option<&str> {
        let field = self
            .fields()
            .iter()
            .find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok().map(str::trim)
    }

    /// The values of all fields with this name.
    fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        let is_named = move |field: &&HeaderField| field.name.eq_ignore_ascii_case(name);
        let fields = self.fields().iter().filter(is_named);
        fields.map(|field| field.value.as_slice())
    }

    /// Whether a comma-separated field contains a token.
    fn has_token(&self, name: &str, token: &str) -> bool {
        self.fields()
            .iter()
            .filter(|field| field.name.eq_ignore_ascii_case(name))
            .filter_map(|field| std::str::from_utf8(&field.value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// The start line and header fields of a request.
#[derive(Debug, Clone)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    /// Path and query as received.
    pub(crate) target: String,
    /// Whether the caller speaks HTTP/1.0.
    pub(crate) is_http10: bool,
    pub(crate) fields: Vec<HeaderField>,
}

impl HeaderLookup for RequestHead {
    fn fields(&self) -> &[HeaderField] {
        &self.fields
    }
}

impl RequestHead {
    /// The memory that the head takes, with what the allocator adds, in bytes.
    pub(crate) fn memory(&self) -> usize {
        self.method.len() + self.target.len() + fields_memory(&self.fields)
    }

    /// The path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The host in lower case without a port.
    pub(crate) fn host(&self) -> String {
        let host = self.text("host").unwrap_or_default();
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        name.to_ascii_lowercase()
    }

    /// The value of a query parameter, without percent-decoding: names of
    /// hosts, regions and data centres need none.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }

    /// Whether the caller keeps the connection open.
    pub(crate) fn keeps_alive(&self) -> bool {
        !self.is_http10 && !self.has_token("connection", "close")
    }
}

/// A complete request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// When the request was complete.
    pub(crate) received: Instant,
    /// Counts the body as memory in use.
    #[expect(dead_code, reason = "released when the request is dropped")]
    pub(crate) share: Rc<BufferShare>,
}

/// A response to a caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) fields: Vec<HeaderField>,
    pub(crate) body: Bytes,
    /// Whether the connection is closed once the requests in progress on it have their
    /// responses.
    pub(crate) close: bool,
    /// Counts the body of a server's response as memory in use.
    #[expect(dead_code, reason = "released when the response is dropped")]
    pub(crate) share: Option<Rc<BufferShare>>,
}

/// What the allocator adds to an allocation, its rounding included, in bytes.
const ALLOCATION_BYTES: usize = 24;

pub(super) fn fields_memory(fields: &[HeaderField]) -> usize {
    let field = |field: &HeaderField| {
        size_of::<HeaderField>() + field.name.len() + field.value.len() + 2 * ALLOCATION_BYTES
    };
    fields.iter().map(field).sum()
}

impl CallerResponse {
    /// The memory that the response takes, in bytes.
    pub(crate) fn memory(&self) -> usize {
        size_of::<Self>() + self.body.len() + fields_memory(&self.fields)
    }

    /// A response without a body.
    pub(crate) fn empty(status: u16) -> Self {
        Self {
            status,
            fields: Vec::new(),
            body: Bytes::new(),
            close: false,
            share: None,
        }
    }

    /// Adds a header field.
    pub(crate) fn with_field(mut self, name: &str, value: &str) -> Self {
        self.fields.push(HeaderField {
            name: name.to_owned(),
            value: value.as_bytes().to_vec(),
        });
        self
    }

    /// Sets the body with its media type.
    pub(crate) fn with_body(self, media_type: &str, body: impl Into<Bytes>) -> Self {
        let mut response = self.with_field("Content-Type", media_type);
        response.body = body.into();
        response
    }

    /// Closes the connection, see [`CallerResponse::close`].
    pub(crate) fn closing(mut self) -> Self {
        self.close = true;
        self
    }
}

/// The standard reason phrase of a status, or an empty text.
pub(crate) fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    }
}
