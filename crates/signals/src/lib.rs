//! Delivery of Unix signals through the event loop.
//!
//! A signal can interrupt the loop at any point, so its handler must neither
//! allocate nor wake tasks. The handler that [`Signals::listen`] installs writes
//! a byte to a socket that the loop reads. It stays installed until the process
//! ends.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::UnixStream;
use signal_hook::low_level::pipe;

/// Maximum number of signals read from the socket at once.
const MAX_SIGNALS_PER_READ: usize = 64;

/// A handled signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP.
    Hangup,
    /// SIGINT.
    Interrupt,
    /// SIGTERM.
    Terminate,
}

impl Signal {
    /// Returns the number of the signal.
    pub fn number(self) -> i32 {
        match self {
            Self::Hangup => signal_hook::consts::SIGHUP,
            Self::Interrupt => signal_hook::consts::SIGINT,
            Self::Terminate => signal_hook::consts::SIGTERM,
        }
    }
}

/// Receives one kind of signal.
#[derive(Debug)]
pub struct Signals {
    socket: UnixStream,
}

impl Signals {
    /// Installs the handler of `signal`.
    ///
    /// # Errors
    /// If the socket can't be created or the handler can't be installed.
    pub fn listen(signal: Signal) -> io::Result<Self> {
        let (receiver, sender) = StdStream::pair()?;
        pipe::register(signal.number(), sender)?;
        let socket = UnixStream::from_std(receiver)?;
        Ok(Self { socket })
    }

    /// Waits for the signal. Signals that arrive before the loop reads the socket
    /// may be received as one.
    ///
    /// # Errors
    /// If the socket can't be read.
    pub async fn receive(&mut self) -> io::Result<()> {
        let BufResult(length, _) = self
            .socket
            .read(Vec::with_capacity(MAX_SIGNALS_PER_READ))
            .await;
        length.map(drop)
    }
}
