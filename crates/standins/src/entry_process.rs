//! An entry as a process of its own.

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

/// How long a process may take to listen.
const START_WAIT: Duration = Duration::from_secs(20);

/// Names a folder to which the entries' log lines are copied.
const LOG_FOLDER_VARIABLE: &str = "LYCHEEHAVEN_LOG_FOLDER";

/// Log lines kept per process.
const LOG_LIMIT: usize = 50_000;

/// A running entry.
#[derive(Debug)]
pub struct EntryProcess {
    /// Name.
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
    /// If the process does not listen in time.
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
        let copy = log_copy(name, child.id());
        std::thread::spawn(move || collect(BufReader::new(stdout), &lines, copy));
        let deadline = Instant::now() + START_WAIT;
        loop {
            if let Some((listen, peer_listen)) = listening(&log) {
                return Self {
                    name: name.into(),
                    listen,
                    peer_listen,
                    child,
                    log,
                };
            }
            let exited = child.try_wait().expect("process state can be read");
            assert!(exited.is_none(), "{name} ended at start: {exited:?}");
            assert!(Instant::now() < deadline, "{name} does not listen");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Identifier of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Stops the process without a farewell.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the process has ended; `false` if it has not after `wait`.
    pub fn wait(&mut self, wait: Duration) -> bool {
        let deadline = Instant::now() + wait;
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

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("process state can be read")
            .is_none()
    }

    /// Log lines whose message is `message`.
    pub fn log_lines(&self, message: &str) -> Vec<Value> {
        let log = self.log.lock().expect("log is never poisoned");
        log.iter()
            .filter(|line| line["message"] == message)
            .cloned()
            .collect()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let _ = kill_process(pid.expect("a child has an identifier"), signal);
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// File that log lines are copied to, if the environment names a folder.
fn log_copy(name: &str, pid: u32) -> Option<File> {
    let folder = std::env::var_os(LOG_FOLDER_VARIABLE)?;
    let path = Path::new(&folder).join(format!("{name}-{pid}.log"));
    File::options().create(true).append(true).open(path).ok()
}

fn collect(reader: impl BufRead, log: &Mutex<Vec<Value>>, mut copy: Option<File>) {
    for line in reader.lines().map_while(Result::ok) {
        if let Some(file) = &mut copy {
            let _ = writeln!(file, "{line}");
        }
        let value = serde_json::from_str(&line).unwrap_or(Value::String(line));
        let mut log = log.lock().expect("log is never poisoned");
        if log.len() < LOG_LIMIT {
            log.push(value);
        }
    }
}

fn listening(log: &Mutex<Vec<Value>>) -> Option<(SocketAddr, SocketAddr)> {
    let log = log.lock().expect("log is never poisoned");
    let line = log.iter().find(|line| line["message"] == "listening")?;
    let addr = |key: &str| line["attributes"][key].as_str()?.parse().ok();
    Some((addr("listen")?, addr("peer_listen")?))
}
