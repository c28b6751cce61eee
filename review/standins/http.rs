//! HTTP/1.1 on blocking sockets: a server with a thread for each channel, and a client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Reads the start line and the headers. `None` at the end of the channel.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; an empty one is the last.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok(bytes)
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = find(headers, "content-length").and_then(|v| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// What a handler wants done with the channel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    Keep,
    Close,
    Reset,
}

/// Answers one request on the channel.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> io::Result<After> + Send + Sync>;

pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_channel(stream, &handler);
            });
        }
    });
}

/// Serves one channel until it ends.
pub fn serve_channel(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let body = read_body(&mut reader, &headers)?;
        let request = Request { method, target, headers, body };
        match handler(&request, &mut writer)? {
            After::Keep => {}
            After::Close => break,
            After::Reset => {
                reset(&writer);
                return Ok(());
            }
        }
    }
    writer.shutdown(Shutdown::Both)
}

/// Makes the close of the channel a reset.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const std::ffi::c_void, size: u32) -> i32;
    }
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET and SO_LINGER of Linux on x86-64 and arm64.
    // SAFETY: the descriptor is open and the value has the size that is passed.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, (&raw const linger).cast(), 8) };
}

/// Limits the bytes that the kernel receives ahead of the reader, as a small window does.
pub fn limit_receive_buffer(stream: &TcpStream, bytes: usize) {
    use std::os::fd::AsRawFd;
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const std::ffi::c_void, size: u32) -> i32;
    }
    let size = bytes as i32;
    // SOL_SOCKET and SO_RCVBUF of Linux on x86-64 and arm64.
    // SAFETY: the descriptor is open and the value has the size that is passed.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 8, (&raw const size).cast(), 4) };
}

/// Writes a whole response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<After> {
    let mut out = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(After::Keep)
}

/// How the response of a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// Complete by its framing.
    Complete,
    /// The channel ended before the response was complete.
    Broken(String),
    /// The client left.
    Left,
}

#[derive(Debug, Clone)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

/// A client's channel.
pub struct Channel {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Channel {
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let writer = stream.try_clone()?;
        Ok(Self { reader: BufReader::new(stream), writer })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Reads one response. The client leaves if nothing arrives for `patience`.
    pub fn receive(&mut self, patience: Duration) -> Answer {
        let mut answer = Answer { status: 0, headers: Vec::new(), body: Vec::new(), end: End::Complete };
        answer.end = match self.read_into(&mut answer, patience) {
            Ok(()) => End::Complete,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => End::Left,
            Err(e) => End::Broken(e.kind().to_string()),
        };
        answer
    }

    fn read_into(&mut self, answer: &mut Answer, patience: Duration) -> io::Result<()> {
        self.writer.set_read_timeout(Some(patience))?;
        let Some((first, headers)) = read_head(&mut self.reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        answer.status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        answer.headers = headers;
        if find(&answer.headers, "transfer-encoding").is_some() {
            loop {
                let chunk = read_chunk(&mut self.reader)?;
                if chunk.is_empty() {
                    return Ok(());
                }
                answer.body.extend(chunk);
            }
        }
        match find(&answer.headers, "content-length").and_then(|v| v.parse::<usize>().ok()) {
            Some(length) => {
                let mut byte = [0; 1];
                while answer.body.len() < length {
                    self.reader.read_exact(&mut byte)?;
                    answer.body.push(byte[0]);
                }
                Ok(())
            }
            None => self.reader.read_to_end(&mut answer.body).map(|_| ()),
        }
    }
}
