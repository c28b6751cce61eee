//! Unix signals as messages of the event loop.
//!
//! A signal interrupts the loop at any point, so its handler may neither
//! allocate nor wake tasks. The one that [`Signals::listen`] installs writes a
//! byte to a socket which the loop reads, and stays installed as long as the
//! process runs.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::UnixStream;
use signal_hook::low_level::pipe;

/// Signals that are taken out of the socket at once.
const BATCH: usize = 64;

/// A signal that the processes handle.
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
    /// Number of the signal.
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
    /// Installs the handler.
    ///
    /// # Errors
    /// If the socket or the handler can't be made.
    pub fn listen(signal: Signal) -> io::Result<Self> {
        let (receiver, sender) = StdStream::pair()?;
        pipe::register(signal.number(), sender)?;
        let socket = UnixStream::from_std(receiver)?;
        Ok(Self { socket })
    }

    /// Waits for the signal. Several that come before the loop looks count as
    /// one.
    ///
    /// # Errors
    /// If the socket can't be read.
    pub async fn receive(&mut self) -> io::Result<()> {
        let BufResult(length, _) = self.socket.read(Vec::with_capacity(BATCH)).await;
        length.map(drop)
    }
}
