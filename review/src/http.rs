//! Blocking HTTP/1.1 messages.

use std::io::{self, Read};
use std::net::TcpStream;

#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.word(1)
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
        decode_percent(found.map_or("", |(_, value)| value))
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: String = rest.by_ref().take(2).map(char::from).collect();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads one message with a length; `None` if the connection ends before it.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(message) = take_message(buffer) {
            return Ok(Some(message));
        }
        let mut chunk = [0; 8192];
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

/// Removes a complete message from the buffer.
pub fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start_line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message { start_line, headers, body: Vec::new() };
    let length: usize = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    if buffer.len() < end + 4 + length {
        return None;
    }
    message.body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    Some(message)
}
