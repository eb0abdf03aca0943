//! Parsing of message heads and framing of message bodies.

use bytes::{Buf, Bytes, BytesMut};

use super::message::{HeaderField, HeaderLookup, RequestHead, fields_memory};

/// The maximum number of header fields of a message.
const MAX_FIELDS: usize = 128;

/// The maximum length of a chunk's size line, extensions included, in bytes.
const MAX_CHUNK_LINE: usize = 1024;

/// The maximum size of a trailer section in bytes.
const MAX_TRAILER: usize = 4 * 1024;

/// The bytes of the line ends after a chunk's size and after its data.
const CHUNK_LINE_ENDS: usize = 4;

/// How many bytes a body's chunk sizes, extensions and line ends may take beyond the
/// bytes of the body itself.
const MAX_CHUNK_OVERHEAD: usize = 64 * 1024;

/// Why a message cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum FramingError {
    #[error("the message head cannot be parsed")]
    Head,
    #[error("the message head is too large")]
    HeadTooLarge,
    #[error("the body length is ambiguous or invalid")]
    Length,
    #[error("a chunk of the body is invalid")]
    Chunk,
    #[error("the body is too large")]
    BodyTooLarge,
    #[error("no memory is left for the body")]
    NoMemory,
}

/// Decides when a head that arrives in pieces is parsed.
///
/// A parser begins at the first byte each time, which is too expensive if a sender
/// sends one byte at a time. So a head is parsed when its end has arrived, and
/// before that whenever its size has doubled, to detect bytes that are no head.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    searched: usize,
    next_parse: usize,
}

impl HeadScanner {
    /// Whether the bytes received so far should be parsed.
    fn should_parse(&mut self, bytes: &[u8]) -> bool {
        let unsearched = &bytes[self.searched.saturating_sub(2).min(bytes.len())..];
        let has_end = unsearched.windows(2).any(|pair| pair == b"\n\n")
            || unsearched.windows(3).any(|three| three == b"\n\r\n");
        self.searched = bytes.len();
        has_end || bytes.len() >= self.next_parse
    }

    /// Records that the bytes are an incomplete head.
    fn record_partial(&mut self, bytes: &[u8]) {
        self.next_parse = 2 * bytes.len().max(1);
    }
}

/// The status line and header fields of a response.
#[derive(Debug, Clone)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) fields: Vec<HeaderField>,
    pub(crate) is_http10: bool,
}

impl ResponseHead {
    /// The memory that the head takes, in bytes.
    pub(crate) fn memory(&self) -> usize {
        size_of::<Self>() + fields_memory(&self.fields)
    }
}

impl HeaderLookup for ResponseHead {
    fn fields(&self) -> &[HeaderField] {
        &self.fields
    }
}

fn copy_fields(headers: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    headers
        .iter()
        .map(|header| HeaderField {
            name: header.name.to_owned(),
            value: header.value.to_vec(),
        })
        .collect()
}

/// Parses a request head and removes it from the buffer. `None` if more bytes
/// are needed.
pub(crate) fn take_request_head(
    buffer: &mut BytesMut,
    scanner: &mut HeadScanner,
    max_bytes: usize,
) -> Result<Option<RequestHead>, FramingError> {
    // Empty lines before a request line are ignored, as RFC 9112 asks for.
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
        *scanner = HeadScanner::default();
    }
    if !scanner.should_parse(buffer) && buffer.len() <= max_bytes {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => {
            if length > max_bytes {
                return Err(FramingError::HeadTooLarge);
            }
            let (Some(method), Some(target), Some(version)) =
                (request.method, request.path, request.version)
            else {
                return Err(FramingError::Head);
            };
            let head = RequestHead {
                method: method.to_owned(),
                target: target.to_owned(),
                is_http10: version == 0,
                fields: copy_fields(request.headers),
            };
            buffer.advance(length);
            *scanner = HeadScanner::default();
            Ok(Some(head))
        }
        Ok(httparse::Status::Partial) if buffer.len() > max_bytes => {
            Err(FramingError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => {
            scanner.record_partial(buffer);
            Ok(None)
        }
        Err(httparse::Error::TooManyHeaders) => Err(FramingError::HeadTooLarge),
        Err(_reason) => Err(FramingError::Head),
    }
}

/// Parses a response head and removes it from the buffer. `None` if more bytes
/// are needed.
pub(crate) fn take_response_head(
    buffer: &mut BytesMut,
    scanner: &mut HeadScanner,
    max_bytes: usize,
) -> Result<Option<ResponseHead>, FramingError> {
    if !scanner.should_parse(buffer) && buffer.len() <= max_bytes {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => {
            if length > max_bytes {
                return Err(FramingError::HeadTooLarge);
            }
            let (Some(status), Some(version)) = (response.code, response.version) else {
                return Err(FramingError::Head);
            };
            let head = ResponseHead {
                status,
                fields: copy_fields(response.headers),
                is_http10: version == 0,
            };
            buffer.advance(length);
            *scanner = HeadScanner::default();
            Ok(Some(head))
        }
        Ok(httparse::Status::Partial) if buffer.len() > max_bytes => {
            Err(FramingError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => {
            scanner.record_partial(buffer);
            Ok(None)
        }
        Err(_reason) => Err(FramingError::Head),
    }
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// After this many bytes.
    Fixed(usize),
    /// After an empty chunk and the trailer section.
    Chunked,
    /// When the connection is closed.
    UntilClose,
}

fn declared_length(message: &impl HeaderLookup) -> Result<Option<usize>, FramingError> {
    let mut length = None;
    for field in message.fields() {
        if !field.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let text = std::str::from_utf8(&field.value).map_err(|_invalid| FramingError::Length)?;
        let text = text.trim();
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(FramingError::Length);
        }
        let value: usize = text.parse().map_err(|_overflow| FramingError::Length)?;
        if length.is_some_and(|known| known != value) {
            return Err(FramingError::Length);
        }
        length = Some(value);
    }
    Ok(length)
}

fn is_chunked(message: &impl HeaderLookup) -> Result<bool, FramingError> {
    let codings: Vec<&HeaderField> = message
        .fields()
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case("transfer-encoding"))
        .collect();
    match codings.as_slice() {
        [] => Ok(false),
        [coding] if coding.value.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(FramingError::Length),
    }
}

/// The body length of a request. A request with both a length and chunks is
/// rejected, as another server may determine a different end.
pub(crate) fn request_length(head: &RequestHead) -> Result<BodyLength, FramingError> {
    let chunked = is_chunked(head)?;
    let length = declared_length(head)?;
    match (chunked, length) {
        (true, Some(_)) => Err(FramingError::Length),
        (true, None) if head.is_http10 => Err(FramingError::Length),
        (true, None) => Ok(BodyLength::Chunked),
        (false, length) => Ok(BodyLength::Fixed(length.unwrap_or(0))),
    }
}

/// The body length of a response to a request with this method.
pub(crate) fn response_length(
    head: &ResponseHead,
    method: &str,
) -> Result<BodyLength, FramingError> {
    if method == "HEAD" || matches!(head.status, 204 | 304) {
        return Ok(BodyLength::Fixed(0));
    }
    if is_chunked(head)? {
        return Ok(BodyLength::Chunked);
    }
    Ok(declared_length(head)?.map_or(BodyLength::UntilClose, BodyLength::Fixed))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

/// Reads a body from a growing buffer.
#[derive(Debug)]
pub(crate) struct BodyReader {
    length: BodyLength,
    state: ChunkState,
    body: BytesMut,
    /// The bytes of chunk sizes, extensions and line ends.
    overhead: usize,
    trailer: usize,
    max_bytes: usize,
}

impl BodyReader {
    pub(crate) fn new(length: BodyLength, max_bytes: usize) -> Result<Self, FramingError> {
        if let BodyLength::Fixed(bytes) = length
            && bytes > max_bytes
        {
            return Err(FramingError::BodyTooLarge);
        }
        Ok(Self {
            length,
            state: ChunkState::Size,
            body: BytesMut::new(),
            overhead: 0,
            trailer: 0,
            max_bytes,
        })
    }

    /// Consumes bytes from the buffer. Returns the body once it is complete.
    pub(crate) fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, FramingError> {
        match self.length {
            BodyLength::Fixed(length) => {
                if buffer.len() < length {
                    return Ok(None);
                }
                Ok(Some(buffer.split_to(length).freeze()))
            }
            BodyLength::Chunked => self.take_chunks(buffer),
            BodyLength::UntilClose => {
                self.push(buffer.len(), buffer)?;
                Ok(None)
            }
        }
    }

    /// The bytes of the body that were consumed so far.
    pub(crate) fn received(&self) -> usize {
        self.body.len()
    }

    /// The memory of the body so far, in bytes.
    pub(crate) fn memory(&self) -> usize {
        self.body.capacity()
    }

    /// The body, if an orderly close of the connection ends it.
    pub(crate) fn take_at_close(&mut self) -> Option<Bytes> {
        (self.length == BodyLength::UntilClose).then(|| self.body.split().freeze())
    }

    fn push(&mut self, count: usize, buffer: &mut BytesMut) -> Result<(), FramingError> {
        if self.body.len().saturating_add(count) > self.max_bytes {
            return Err(FramingError::BodyTooLarge);
        }
        self.body.extend_from_slice(&buffer.split_to(count));
        Ok(())
    }

    fn take_chunks(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, FramingError> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(line) = take_line(buffer, MAX_CHUNK_LINE)? else {
                        return Ok(None);
                    };
                    let size = chunk_size(&line)?;
                    self.overhead += line.len() + CHUNK_LINE_ENDS;
                    if self.overhead > self.body.len() + MAX_CHUNK_OVERHEAD {
                        return Err(FramingError::Chunk);
                    }
                    self.state = if size == 0 {
                        ChunkState::Trailer
                    } else {
                        ChunkState::Data(size)
                    };
                }
                ChunkState::Data(remaining) => {
                    let count = remaining.min(buffer.len());
                    self.push(count, buffer)?;
                    if count < remaining {
                        self.state = ChunkState::Data(remaining - count);
                        return Ok(None);
                    }
                    self.state = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if buffer.split_to(2).as_ref() != b"\r\n" {
                        return Err(FramingError::Chunk);
                    }
                    self.state = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(line) = take_line(buffer, MAX_TRAILER)? else {
                        return Ok(None);
                    };
                    self.trailer += line.len();
                    if self.trailer > MAX_TRAILER {
                        return Err(FramingError::Chunk);
                    }
                    if line.is_empty() {
                        return Ok(Some(self.body.split().freeze()));
                    }
                }
            }
        }
    }
}

fn take_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>, FramingError> {
    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
        return if buffer.len() > max_bytes {
            Err(FramingError::Chunk)
        } else {
            Ok(None)
        };
    };
    let line = buffer.split_to(end);
    buffer.advance(2);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<usize, FramingError> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let text = std::str::from_utf8(digits).map_err(|_invalid| FramingError::Chunk)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(FramingError::Chunk);
    }
    usize::from_str_radix(text, 16).map_err(|_overflow| FramingError::Chunk)
}
