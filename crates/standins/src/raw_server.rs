//! A server whose responses are written byte by byte, for responses that no HTTP
//! library would produce.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

/// Bytes that are read at once.
const READ_BYTES: usize = 8192;

/// A request as received. Its body has a declared length.
#[derive(Debug, Clone, Default)]
pub struct RawRequest {
    /// Request line and headers.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Returns the path and query.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the value of a header, whose name is given in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// Reads the next request of a connection. Returns `None` once the connection has
/// ended.
pub fn read_request(stream: &mut TcpStream) -> Option<RawRequest> {
    let mut received = Vec::new();
    let mut buffer = [0; READ_BYTES];
    loop {
        if let Some(request) = parse_request(&received) {
            return Some(request);
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            _ => return None,
        }
    }
}

fn parse_request(received: &[u8]) -> Option<RawRequest> {
    let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let mut request = RawRequest {
        head: String::from_utf8_lossy(&received[..end]).into_owned(),
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    request.body = received.get(end..end + length)?.to_vec();
    Some(request)
}

/// A server that passes each connection to a handler on a thread of its own. The
/// connection is closed when the handler returns.
#[derive(Debug)]
pub struct RawServer {
    addr: SocketAddr,
    open: Arc<AtomicUsize>,
    received: Arc<Mutex<Vec<RawRequest>>>,
}

impl RawServer {
    /// Starts a server that calls `respond` with the first request of each connection.
    /// Its threads run until the process ends.
    ///
    /// # Panics
    /// If no port is free.
    pub fn start(respond: impl Fn(&RawRequest, &mut TcpStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let server = Self {
            addr: listener.local_addr().expect("the address is known"),
            open: Arc::default(),
            received: Arc::default(),
        };
        let respond = Arc::new(respond);
        let (open, received) = (server.open.clone(), server.received.clone());
        std::thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let (respond, open) = (respond.clone(), open.clone());
                let received = received.clone();
                open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    if let Some(request) = read_request(&mut stream) {
                        received
                            .lock()
                            .expect("the lock is not poisoned")
                            .push(request.clone());
                        respond(&request, &mut stream);
                    }
                    drop(stream);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the requests that were received, in order.
    pub fn received(&self) -> Vec<RawRequest> {
        self.received
            .lock()
            .expect("the lock is not poisoned")
            .clone()
    }
}

/// Connects a client whose kernel buffers about `bytes` that the client has not read.
pub fn connect_with_buffer(addr: SocketAddr, bytes: usize) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_recv_buffer_size(bytes)?;
    socket.connect(&addr.into())?;
    Ok(socket.into())
}

/// Resets the connection of `stream` when it is dropped.
pub fn reset_on_close(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("the socket option is set");
}

/// Writes `filler` until the peer closes the connection.
pub fn write_endlessly(stream: &mut TcpStream, filler: &str) {
    let chunk = filler.repeat(READ_BYTES / filler.len());
    while stream.write_all(chunk.as_bytes()).is_ok() {}
}
