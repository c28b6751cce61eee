//! Gateway processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Channel;
use crate::platform::Platform;

/// The bounds of caroni-refill, as `deploy/gateway.toml.template` writes them.
const BOUNDS: &str = "[bounds]
strict_revoke = true
revoke_ms = 5000
config_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
quota_window_s = 8
quota_over = 0.1
quota_slack = 140000
lease_ms = 3000
window_s = 5
usage_late_s = 10
grace_s = 8
again_s = 10
drain_ms = 2000
";

/// A gateway process. It is killed when this is dropped.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// A new folder for the files of one run, removed when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Self {
        let name = format!("lycheehaven-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn spawn(settings: &Path, log: File) -> Child {
    Command::new("target/release/lycheehaven")
        .args(["gateway".as_ref(), settings.as_os_str()])
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .expect("the build of the deploy file exists")
}

/// Returns a port that was free for both protocols, below those that the system gives out
/// for outgoing channels.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(61) % 10_000;
    loop {
        let offset = (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 10_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], 20_000 + offset as u16));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Gateway {
    /// Starts `run` of the deploy file with the settings that its template gives.
    pub fn start(folder: &Folder, name: &str, zone: &str, platform: &Platform) -> Self {
        let (front, ready, metrics, peer) = (free_port(), free_port(), free_port(), free_port());
        let settings = format!(
            "name = \"{name}\"\ndomain = \"{zone}\"\n\
             domains = [\"chaguanas\",\"arima\",\"san-fernando\",\"sangre-grande\"]\n\
             listen = \"{front}\"\nready_listen = \"{ready}\"\npeer_listen = \"{peer}\"\n\
             metrics_listen = \"{metrics}\"\ndescriptors = 4100\nfirst_start = true\n\n\
             [capacity]\ncpu_share = 0.25\nlink_mbps = 1000.0\nmemory_mb = 260\n\n\
             [store]\naddress = \"{}\"\n\n\
             [cloud]\naddress = \"{}\"\nduties = [\"usage\",\"scaling\"]\n\n{BOUNDS}",
            platform.store, platform.cloud
        );
        let file = folder.0.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("the settings file is written");
        let log = File::create(folder.0.join(format!("{name}.log"))).expect("a log file");
        let child = spawn(&file, log);
        Self { name: name.to_owned(), front, ready, child }
    }

    /// Kills the process, as SIGKILL of the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after its end, with the same addresses. `bootstrap` is no
    /// longer true.
    pub fn restart(&mut self, folder: &Folder) {
        let file = folder.0.join(format!("{}.toml", self.name));
        let settings = fs::read_to_string(&file).expect("the settings file is read");
        let settings = settings.replace("first_start = true", "first_start = false");
        fs::write(&file, settings).expect("the settings file is written");
        let log = folder.0.join(format!("{}.log", self.name));
        let log = File::options().append(true).open(log).expect("the log file is opened");
        self.child = spawn(&file, log);
    }

    /// Waits until the readiness probe answers 200.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(mut channel) = Channel::open(self.ready) {
                let sent = channel.send(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                if sent.is_ok() && channel.receive(Duration::from_secs(1)).status == 200 {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        // SAFETY: the call takes no pointers; the process is a child that was not waited for.
        let sent = unsafe { kill(self.child.id() as i32, 15) };
        assert_eq!(sent, 0, "the signal is sent");
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// The lines of the process's log that contain `pattern`.
    pub fn log_lines(&self, folder: &Folder, pattern: &str) -> Vec<String> {
        let text = fs::read_to_string(folder.0.join(format!("{}.log", self.name)));
        let text = text.unwrap_or_default();
        text.lines().filter(|line| line.contains(pattern)).map(str::to_owned).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
