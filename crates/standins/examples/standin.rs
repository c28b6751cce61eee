//! Runs one stand-in as a separate process until it is stopped.
//!
//! `standin platform|engine|service [LISTEN]` prints the address that it listens
//! on as a line.

use std::io::Write;
use std::net::SocketAddr;

use eyre::Context;
use eyre::Result;
use eyre::bail;
use lycheehaven_standins::Engine;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::PlainService;
use lycheehaven_standins::Platform;

fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let kind = args.next().unwrap_or_default();
    let listen = args.next().unwrap_or_else(|| "127.0.0.1:0".into());
    let listen: SocketAddr = listen.parse().wrap_err("LISTEN is not a socket address")?;
    match kind.as_str() {
        "platform" => run(Platform::start(listen), Platform::addr),
        "engine" => run(Engine::start(listen, EngineParams::default()), Engine::addr),
        "service" => run(PlainService::start(listen), PlainService::addr),
        _ => bail!("usage: standin platform|engine|service [LISTEN]"),
    }
}

fn run<T>(standin: T, addr: impl Fn(&T) -> SocketAddr) -> Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "{}", addr(&standin))?;
    out.flush()?;
    loop {
        std::thread::park();
    }
}
