//! HTTP/1.1 over plain sockets, written out, so that a stand-in decides about each byte.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived whole.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(have, _)| have == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads the head of a message; `None` if the connection ends first.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            if message.line.is_empty() {
                continue;
            }
            return Some(message);
        }
        if message.line.is_empty() {
            message.line = text.to_string();
        } else if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads the body that follows a head. A response without a length ends with its connection.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, is_response: bool) {
    if message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        message.whole = read_chunks(reader, &mut message.body).is_some();
        return;
    }
    let length = message
        .header("content-length")
        .and_then(|value| value.parse::<usize>().ok());
    match length {
        Some(length) => {
            let mut body = vec![0; length];
            let mut done = 0;
            while done < length {
                match reader.read(&mut body[done..]) {
                    Ok(0) | Err(_) => break,
                    Ok(count) => done += count,
                }
            }
            body.truncate(done);
            message.whole = done == length;
            message.body = body;
        }
        None if is_response => message.whole = reader.read_to_end(&mut message.body).is_ok(),
        None => message.whole = true,
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Reads a whole request or response.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> Option<Message> {
    let mut message = read_head(reader)?;
    // Interim responses precede the one that counts.
    while is_response && (100..200).contains(&message.status()) {
        message = read_head(reader)?;
    }
    read_body(reader, &mut message, is_response);
    Some(message)
}

/// Serves simple calls with JSON bodies; `handle` returns status and body.
pub fn serve(handle: impl Fn(&Message) -> (u16, String) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = std::sync::Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut writer = stream.try_clone().expect("a socket");
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_message(&mut reader, false) {
                    let (status, body) = handle(&request);
                    let text = format!(
                        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, limit: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(limit));
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// The next response; `None` if none came.
    pub fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.reader, true)
    }

    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }
}
