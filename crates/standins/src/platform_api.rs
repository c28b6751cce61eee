//! HTTP API of the stand-in platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::ETAG;
use hyper::header::HeaderValue;
use lycheehaven_net::Body;
use lycheehaven_net::Incoming;
use lycheehaven_net::bytes_response;
use lycheehaven_net::json_response;
use lycheehaven_net::read_body;
use lycheehaven_platform::Condition;
use lycheehaven_platform::ListedObject;
use lycheehaven_platform::Notices;
use lycheehaven_platform::PutOutcome;
use lycheehaven_platform::Version;
use lycheehaven_platform::VmList;
use lycheehaven_platform::VmSpec;
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use crate::platform::PlatformState;
use crate::server::ServerThread;
use crate::server::serve_forever;

const MAX_OBJECT_BYTES: usize = 1 << 20;
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the server of a VM that is created and returns its address, or `None`
/// if the VM can't be created.
type Starter = Arc<dyn Fn(&VmSpec) -> Option<SocketAddr> + Send + Sync>;

/// A running stand-in platform.
#[derive(Debug)]
pub struct Platform {
    state: Arc<Mutex<PlatformState>>,
    server: ServerThread,
}

impl Platform {
    /// Starts on `addr` and refuses to create VMs.
    pub fn start(addr: SocketAddr) -> Self {
        Self::start_with(addr, |_| None)
    }

    /// Starts on `addr`; `starter` starts the server of each created VM.
    pub fn start_with(
        addr: SocketAddr,
        starter: impl Fn(&VmSpec) -> Option<SocketAddr> + Send + Sync + 'static,
    ) -> Self {
        let state = Arc::new(Mutex::new(PlatformState::default()));
        let api = Api {
            state: state.clone(),
            starter: Arc::new(starter),
        };
        let server = ServerThread::start(addr, CancellationToken::new(), move |listener| {
            serve_forever(listener, move |request| {
                let api = api.clone();
                async move { api.handle(request).await }
            })
        });
        Self { state, server }
    }

    /// Returns the address of the object API and the cloud API.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Locks the state, to modify or inspect it.
    pub fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

#[derive(Clone)]
struct Api {
    state: Arc<Mutex<PlatformState>>,
    starter: Starter,
}

/// Control request that changes faults and VMs when the stand-in runs as a
/// separate process.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Control {
    AddVm {
        name: String,
        domain: String,
        service: String,
        addr: SocketAddr,
    },
    RemoveVm {
        name: String,
    },
    Reclaim {
        name: String,
        left_ms: u64,
    },
    Outage(bool),
    DelayMs(u64),
    LoseAnswers(u32),
}

impl Api {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path == "/control" {
            return self.control(request).await;
        }
        let (outage, delay) = {
            let state = self.lock();
            (state.faults.outage, state.faults.delay)
        };
        if outage {
            return bytes_response(503, "text/plain", "outage");
        }
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        if let Some(key) = path.strip_prefix("/objects/") {
            return self.object(key, request).await;
        }
        if let Some(key) = path.strip_prefix("/watch/") {
            return self.watch(key, request).await;
        }
        if let Some(model) = path.strip_prefix("/weights/") {
            return self.weights(model, &request).await;
        }
        match path.as_str() {
            "/objects" => self.list(&request),
            "/vms" | "/notices" => self.cloud(request).await,
            _ if path.starts_with("/vms/") => {
                self.lock().counts.cloud += 1;
                self.lock().remove_vm(&path["/vms/".len()..]);
                bytes_response(200, "text/plain", "")
            }
            _ => bytes_response(404, "text/plain", "no such path"),
        }
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(bytes) = read_body(request.into_body(), MAX_OBJECT_BYTES, READ_TIMEOUT).await else {
            return bytes_response(400, "text/plain", "body can't be read");
        };
        let control = match serde_json::from_slice(&bytes) {
            Ok(control) => control,
            Err(cause) => return bytes_response(400, "text/plain", cause.to_string()),
        };
        let mut state = self.lock();
        match control {
            Control::AddVm {
                name,
                domain,
                service,
                addr,
            } => {
                state.add_vm(&name, &domain, &service, addr);
            }
            Control::RemoveVm { name } => state.remove_vm(&name),
            Control::Reclaim { name, left_ms } => {
                state.reclaim(&name, Duration::from_millis(left_ms), true);
            }
            Control::Outage(outage) => state.faults.outage = outage,
            Control::DelayMs(delay) => state.faults.delay = Duration::from_millis(delay),
            Control::LoseAnswers(count) => state.faults.lose_responses = count,
        }
        json_response(200, &true)
    }

    async fn object(&self, key: &str, request: Request<Incoming>) -> Response<Body> {
        match *request.method() {
            Method::GET => {
                let mut state = self.lock();
                state.counts.reads += 1;
                match state.object(key) {
                    Some((version, body)) => object_response(version, body.to_vec()),
                    None => bytes_response(404, "text/plain", "no such object"),
                }
            }
            Method::DELETE => {
                let mut state = self.lock();
                state.counts.writes += 1;
                state.delete(key);
                bytes_response(200, "text/plain", "")
            }
            Method::PUT => self.put(key, request).await,
            _ => bytes_response(405, "text/plain", ""),
        }
    }

    async fn put(&self, key: &str, request: Request<Incoming>) -> Response<Body> {
        let header = |name| {
            request
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned)
        };
        let version = header("if-match")
            .and_then(|text| text.parse().ok())
            .map(Version);
        let condition = version.map_or(Condition::Absent, Condition::At);
        let Ok(body) = read_body(request.into_body(), MAX_OBJECT_BYTES, READ_TIMEOUT).await else {
            return bytes_response(413, "text/plain", "object is larger than 1 MiB");
        };
        let (outcome, lost, delay) = {
            let mut state = self.lock();
            state.counts.writes += 1;
            let outcome = state.put(key, condition, body.to_vec());
            let lost = state.faults.lose_responses > 0;
            state.faults.lose_responses = state.faults.lose_responses.saturating_sub(1);
            (outcome, lost, state.faults.write_delay)
        };
        compio::time::sleep(delay).await;
        if lost {
            // Longer than any client's timeout, so the response is lost.
            compio::time::sleep(Duration::from_secs(120)).await;
        }
        match outcome {
            PutOutcome::Written(version) => object_response(version, Vec::new()),
            _ => bytes_response(412, "text/plain", "condition failed"),
        }
    }

    fn list(&self, request: &Request<Incoming>) -> Response<Body> {
        let prefix = query(request, "prefix").unwrap_or_default();
        let mut state = self.lock();
        state.counts.reads += 1;
        let keys = state.keys(&prefix).into_iter();
        let objects: Vec<_> = keys
            .map(|(key, version)| ListedObject { key, version })
            .collect();
        json_response(200, &objects)
    }

    async fn watch(&self, key: &str, request: Request<Incoming>) -> Response<Body> {
        let from = number(&request, "from");
        let deadline = Instant::now() + Duration::from_millis(number(&request, "wait_ms"));
        self.lock().counts.watches += 1;
        let changed = self.lock().changed.clone();
        loop {
            let notified = changed.notified();
            {
                let state = self.lock();
                if state.faults.watch_gone {
                    return bytes_response(410, "text/plain", "too old");
                }
                if state.faults.outage {
                    return bytes_response(503, "text/plain", "outage");
                }
                match state.object(key) {
                    Some((version, body)) if version.0 > from => {
                        return object_response(version, body.to_vec());
                    }
                    _ => {}
                }
            }
            let time_left = deadline.saturating_duration_since(Instant::now());
            if compio::time::timeout(time_left, notified).await.is_err() {
                return bytes_response(204, "text/plain", "");
            }
        }
    }

    async fn weights(&self, model: &str, request: &Request<Incoming>) -> Response<Body> {
        let size = number(request, "bytes");
        let ready = {
            let mut state = self.lock();
            let rate = state.weight_rate.max(1);
            let start = state
                .weight_free
                .unwrap_or_else(Instant::now)
                .max(Instant::now());
            let end = start + Duration::from_millis(size / rate);
            state.weight_free = Some(end);
            end
        };
        compio::time::sleep(ready.saturating_duration_since(Instant::now())).await;
        bytes_response(200, "text/plain", model.to_owned())
    }

    async fn cloud(&self, request: Request<Incoming>) -> Response<Body> {
        self.lock().counts.cloud += 1;
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/vms") => {
                let viewer = query(&request, "viewer").unwrap_or_default();
                let (revision, vms) = self.lock().vm_list(&viewer);
                if number(&request, "known") == revision && revision > 0 {
                    return bytes_response(304, "text/plain", "");
                }
                let body = self.lock().with_odd_entries(&VmList { revision, vms });
                bytes_response(200, "application/json", body)
            }
            (&Method::POST, "/vms") => self.create(request).await,
            (&Method::GET, "/notices") => self.notices(&request).await,
            _ => bytes_response(405, "text/plain", ""),
        }
    }

    async fn create(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_body(request.into_body(), MAX_OBJECT_BYTES, READ_TIMEOUT).await;
        let Ok(spec) = serde_json::from_slice::<VmSpec>(&body.unwrap_or_default()) else {
            return bytes_response(400, "text/plain", "invalid VM specification");
        };
        {
            let mut state = self.lock();
            if state.vm(&spec.name).is_some() {
                return bytes_response(200, "text/plain", "exists");
            }
            if state.faults.refuse_creations > 0 {
                state.faults.refuse_creations -= 1;
                return bytes_response(503, "text/plain", "no capacity");
            }
        }
        let Some(addr) = (self.starter)(&spec) else {
            return bytes_response(503, "text/plain", "no capacity");
        };
        let mut state = self.lock();
        state.add_vm(&spec.name, &spec.domain, &spec.service, addr);
        state.created.push(spec);
        bytes_response(201, "text/plain", "created")
    }

    async fn notices(&self, request: &Request<Incoming>) -> Response<Body> {
        let domain = query(request, "domain").unwrap_or_default();
        let from = number(request, "from") as usize;
        let deadline = Instant::now() + Duration::from_millis(number(request, "wait_ms"));
        let changed = self.lock().changed.clone();
        loop {
            let notified = changed.notified();
            {
                let state = self.lock();
                let notices = state.notices_after(&domain, from);
                let time_left = deadline.saturating_duration_since(Instant::now());
                if !notices.is_empty() || time_left.is_zero() {
                    let next = state.notices.len() as u64;
                    let body = state.with_odd_entries(&Notices { next, notices });
                    return bytes_response(200, "application/json", body);
                }
            }
            let time_left = deadline.saturating_duration_since(Instant::now());
            let _ = compio::time::timeout(time_left, notified).await;
        }
    }
}

fn object_response(version: Version, body: Vec<u8>) -> Response<Body> {
    let mut response = bytes_response(200, "application/octet-stream", body);
    let tag =
        HeaderValue::from_str(&format!("\"{}\"", version.0)).expect("digits are valid in headers");
    response.headers_mut().insert(ETAG, tag);
    response
}

pub(crate) fn query(request: &Request<Incoming>, key: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(name, _)| *name == key)
        .map(|(_, value)| value.to_owned())
        .next()
}

pub(crate) fn number(request: &Request<Incoming>, key: &str) -> u64 {
    query(request, key)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}
