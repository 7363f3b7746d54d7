//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{BufRead, Error, ErrorKind, Result, Write};

/// Head and body of a request or a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Method, path and query of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads one message; returns `None` if the connection ends before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.start.is_empty() {
                true => Ok(None),
                false => Err(Error::from(ErrorKind::UnexpectedEof)),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.start.is_empty() {
            message.start = line.into();
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().into()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        return Err(Error::new(ErrorKind::InvalidData, "chunks are not expected"));
    }
    let length = message.header("content-length").unwrap_or("0").parse();
    let length = length.map_err(|_| Error::from(ErrorKind::InvalidData))?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response in one piece.
pub fn write_response(
    writer: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    bytes += "\r\n";
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)
}

/// Value of a parameter in the query of a target, with percent encoding removed.
pub fn query_value(target: &str, name: &str) -> Option<String> {
    let query = target.split_once('?')?.1;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let (mut bytes, mut rest) = (Vec::new(), value.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let code = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (*first, code.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            (byte, _) => {
                bytes.push(byte);
                rest = after;
            }
        }
    }
    String::from_utf8(bytes).ok()
}
