//! A stand-in of the platform's store and of its API for duties.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, After, Request};
use crate::json::{map, num, text, Json};

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, name, object and whether it was deleted.
    events: Vec<(u64, String, Json, bool)>,
    /// Number of times that the store came back from a copy.
    era: u64,
    away: bool,
    duties: Vec<(Instant, String, Vec<(String, String)>, Json)>,
}

/// A copy of the store's objects.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// The store and the API for duties, each at an address of its own.
#[derive(Clone)]
pub struct Platform {
    state: Arc<(Mutex<State>, Condvar)>,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

impl Platform {
    pub fn start() -> Self {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let (store, cloud) = (listener(), listener());
        let addresses = (store.local_addr().unwrap(), cloud.local_addr().unwrap());
        let shared = state.clone();
        http::serve(store, Arc::new(move |request, stream| answer(&shared, request, stream)));
        let shared = state.clone();
        http::serve(
            cloud,
            Arc::new(move |request, stream| {
                let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                let call = (Instant::now(), request.target.clone(), request.headers.clone(), body);
                shared.0.lock().unwrap().duties.push(call);
                reply(stream, "200 OK", &map([]))
            }),
        );
        Self { state, store: addresses.0, cloud: addresses.1 }
    }

    /// Writes an object, as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut state = self.state.0.lock().unwrap();
        write(&mut state, kind, name, spec);
        self.state.1.notify_all();
    }

    /// Makes the store unreachable for all: it closes each channel without an answer.
    pub fn leave(&self) {
        self.state.0.lock().unwrap().away = true;
        self.state.1.notify_all();
    }

    /// Takes a copy of all objects.
    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Comes back from a copy. `Store-Era` rises by one.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state.0.lock().unwrap();
        state.away = false;
        state.era += 1;
        state.revision = copy.revision;
        state.events.retain(|(revision, ..)| *revision <= copy.revision);
        state.objects = copy.objects;
        self.state.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        remove(&mut state, kind, name);
        self.state.1.notify_all();
    }

    /// The calls for duties: time, path, headers and body.
    pub fn duties(&self) -> Vec<(Instant, String, Vec<(String, String)>, Json)> {
        self.state.0.lock().unwrap().duties.clone()
    }
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port on the loopback address")
}

fn shown(name: &str, object: &Object) -> Json {
    let metadata = map([
        ("name", text(name)),
        ("revision", num(object.revision)),
        ("createRevision", num(object.created)),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ]);
    map([("metadata", metadata), ("spec", object.spec.clone()), ("status", Json::Null)])
}

fn write(state: &mut State, kind: &str, name: &str, spec: Json) -> Json {
    let key = (kind.to_owned(), name.to_owned());
    let known = state.objects.get(&key);
    if let Some(object) = known.filter(|object| object.spec == spec) {
        return shown(name, object);
    }
    let created = known.map(|object| object.created);
    state.revision += 1;
    let revision = state.revision;
    let object = Object { revision, created: created.unwrap_or(revision), spec };
    let json = shown(name, &object);
    state.objects.insert(key, object);
    state.events.push((revision, kind.to_owned(), json.clone(), false));
    json
}

fn remove(state: &mut State, kind: &str, name: &str) -> bool {
    let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
        return false;
    };
    state.revision += 1;
    let json = shown(name, &object);
    let revision = state.revision;
    state.events.push((revision, kind.to_owned(), json, true));
    true
}

fn reply(stream: &mut TcpStream, status: &str, body: &Json) -> io::Result<After> {
    let headers = [("Content-Type", "application/json")];
    http::respond(stream, status, &headers, body.to_string().as_bytes())
}

fn answer(
    shared: &Arc<(Mutex<State>, Condvar)>,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<After> {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let query: BTreeMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
    let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
    let kind = parts.next().unwrap_or_default();
    let name = parts.next();
    let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
    let (lock, changed) = &**shared;
    let mut state = lock.lock().unwrap();
    if state.away {
        return Ok(After::Reset);
    }
    let result = match (request.method.as_str(), name) {
        ("GET", None) => match query.get("watch").and_then(|r| r.parse::<u64>().ok()) {
            Some(since) => {
                let wait = query.get("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    if state.away {
                        return Ok(After::Reset);
                    }
                    if since > state.revision {
                        break ("410 Gone", map([]));
                    }
                    let events: Vec<Json> = state
                        .events
                        .iter()
                        .filter(|(revision, of, ..)| *revision > since && of == kind)
                        .map(|(_, _, object, deleted)| {
                            map([("object", object.clone()), ("deleted", Json::Bool(*deleted))])
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let current = ("currentRev", num(state.revision));
                        break ("200 OK", map([("events", Json::List(events)), current]));
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            None => {
                let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
                let items = of_kind.map(|((_, name), object)| shown(name, object)).collect();
                let current = ("currentRev", num(state.revision));
                let more = ("hasMore", Json::Bool(false));
                ("200 OK", map([("items", Json::List(items)), more, current]))
            }
        },
        ("GET", Some(name)) => match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => ("200 OK", shown(name, object)),
            None => ("404 Not Found", map([])),
        },
        ("POST", None) => {
            let name = body.get("metadata").and_then(|m| m.get("name")).and_then(Json::text);
            let name = name.unwrap_or_default().to_owned();
            match state.objects.get(&(kind.to_owned(), name.clone())) {
                Some(object) => ("409 Conflict", shown(&name, object)),
                None => {
                    let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                    ("200 OK", write(&mut state, kind, &name, spec))
                }
            }
        }
        ("PUT", Some(name)) => {
            let stated = body.get("metadata").and_then(|m| m.get("revision")).and_then(Json::number);
            match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                None => ("404 Not Found", map([])),
                Some(object) if stated.is_some_and(|r| r as u64 != object.revision) => {
                    ("409 Conflict", shown(name, object))
                }
                Some(_) => {
                    let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                    ("200 OK", write(&mut state, kind, name, spec))
                }
            }
        }
        ("DELETE", Some(name)) => match remove(&mut state, kind, name) {
            true => ("200 OK", map([])),
            false => ("404 Not Found", map([])),
        },
        _ => ("400 Bad Request", map([])),
    };
    let era = state.era.to_string();
    drop(state);
    changed.notify_all();
    let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
    http::respond(stream, result.0, &headers, result.1.to_string().as_bytes())
}
