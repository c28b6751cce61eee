//! An entry that runs as a child process.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;

/// Longest time until a started process listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Environment variable that names a folder to which log lines are copied.
const LOG_FOLDER_VARIABLE: &str = "LYCHEEHAVEN_LOG_FOLDER";

/// Maximum number of log lines kept per process.
const MAX_LOG_LINES: usize = 50_000;

/// A running entry.
#[derive(Debug)]
pub struct EntryProcess {
    /// Name of the entry.
    pub name: String,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for peers.
    pub peer_listen: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<Value>>>,
}

impl EntryProcess {
    /// Starts `binary` with the settings in `toml` and waits until it listens.
    ///
    /// # Panics
    /// If the process exits or does not listen before the start timeout.
    pub fn start(binary: &Path, dir: &Path, name: &str, toml: &str) -> Self {
        let file: PathBuf = dir.join(format!("{name}.toml"));
        std::fs::write(&file, toml).expect("settings file can be written");
        let mut child = Command::new(binary)
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("entry process can be started");
        let stdout = child.stdout.take().expect("standard output is piped");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = log.clone();
        let copy = open_log_copy(name, child.id());
        std::thread::spawn(move || collect_log(BufReader::new(stdout), &lines, copy));
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            if let Some((listen, peer_listen)) = listen_addrs(&log) {
                return Self {
                    name: name.into(),
                    listen,
                    peer_listen,
                    child,
                    log,
                };
            }
            let exited = child.try_wait().expect("process state can be read");
            assert!(exited.is_none(), "{name} exited at startup: {exited:?}");
            assert!(
                Instant::now() < deadline,
                "{name} does not listen before the start timeout"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the process identifier.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process without a drain.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, which begins a drain.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a suspended process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the process exits and returns whether it did within
    /// `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if self
                .child
                .try_wait()
                .expect("process state can be read")
                .is_some()
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("process state can be read")
            .is_none()
    }

    /// Returns the log lines whose message is `message`.
    pub fn log_lines(&self, message: &str) -> Vec<Value> {
        let log = self.log.lock().expect("the lock is not poisoned");
        log.iter()
            .filter(|line| line["message"] == message)
            .cloned()
            .collect()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let _ = kill_process(pid.expect("child has a valid identifier"), signal);
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Opens the file that log lines are copied to, if the environment names a
/// folder.
fn open_log_copy(name: &str, pid: u32) -> Option<File> {
    let folder = std::env::var_os(LOG_FOLDER_VARIABLE)?;
    let path = Path::new(&folder).join(format!("{name}-{pid}.log"));
    File::options().create(true).append(true).open(path).ok()
}

fn collect_log(reader: impl BufRead, log: &Mutex<Vec<Value>>, mut copy: Option<File>) {
    for line in reader.lines().map_while(Result::ok) {
        if let Some(file) = &mut copy {
            let _ = writeln!(file, "{line}");
        }
        let value = serde_json::from_str(&line).unwrap_or(Value::String(line));
        let mut log = log.lock().expect("the lock is not poisoned");
        if log.len() < MAX_LOG_LINES {
            log.push(value);
        }
    }
}

/// Returns the addresses for callers and for peers once the process has logged
/// that it listens.
fn listen_addrs(log: &Mutex<Vec<Value>>) -> Option<(SocketAddr, SocketAddr)> {
    let log = log.lock().expect("the lock is not poisoned");
    let line = log.iter().find(|line| line["message"] == "listening")?;
    let addr = |key: &str| line["attributes"][key].as_str()?.parse().ok();
    Some((addr("listen")?, addr("peer_listen")?))
}
