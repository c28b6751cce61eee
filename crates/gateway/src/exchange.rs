//! What the entries tell each other, as datagrams.
//!
//! Each entry sends its own counts in full at short intervals. A lost datagram
//! loses nothing, and nothing in it is needed for safety.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::net::UdpSocket;
use lycheehaven_adapter::store::Object;
use lycheehaven_catalog::FOLLOWERS;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_dispatch::LoadReport;
use lycheehaven_duties::Counts;
use lycheehaven_types::Digest;
use lycheehaven_types::HashMap;
use lycheehaven_types::Name;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::node::Node;
use crate::node::pause;
use crate::proof;

/// Kind of the entries' own objects in the store.
pub(crate) const MEMBERS: &str = "lycheehaven-entries";

/// Version of the message format.
const FORMAT: u8 = 2;

/// Interval at which it is looked whether the entry is registered, in
/// milliseconds. What is known of it may be seconds old.
const REGISTERED_MS: u64 = 3000;

/// Interval between messages, in milliseconds.
const INTERVAL_MS: u64 = 200;

/// Most peers that one round is sent to.
const FAN_OUT: usize = 12;

/// Largest datagram.
const MAX_DATAGRAM: usize = 60 * 1024;

/// Silence after which a peer no longer counts as heard.
pub(crate) const HEARD: Duration = Duration::from_millis(1500);

/// What an entry writes into the store about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// Address for datagrams.
    pub(crate) addr: SocketAddr,
    /// Failure domain.
    pub(crate) domain: Name,
    /// This run of the process.
    pub(crate) incarnation: u64,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    heard: Option<Instant>,
    first: Option<Instant>,
}

/// The entries that are registered in the store.
#[derive(Debug, Default)]
pub(crate) struct Members {
    known: HashMap<Name, Known>,
    loaded: bool,
}

impl Members {
    /// Takes over the full list.
    pub(crate) fn replace(&mut self, objects: &[Object]) {
        self.loaded = true;
        self.known
            .retain(|name, _| objects.iter().any(|object| object.name == **name));
        for object in objects {
            self.update(object, false);
        }
    }

    /// Takes over one entry.
    pub(crate) fn update(&mut self, object: &Object, deleted: bool) {
        let name: Name = object.name.as_str().into();
        if deleted {
            self.known.remove(&name);
            return;
        }
        let Ok(member) = Member::deserialize(&object.spec) else {
            log::warn!(target: "lycheehaven", entry = object.name.as_str(); "an entry of a peer can't be decoded");
            return;
        };
        let earlier = self.known.remove(&name);
        let known = match earlier {
            Some(known) if known.member.incarnation == member.incarnation => {
                Known { member, ..known }
            }
            _ => Known {
                member,
                heard: None,
                first: None,
            },
        };
        self.known.insert(name, known);
    }

    /// Whether the store has been read.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Names of all members and of `me`.
    pub(crate) fn names(&self, me: &Name) -> Vec<Name> {
        let mut names: Vec<Name> = self.known.keys().cloned().collect();
        if !names.contains(me) {
            names.push(me.clone());
        }
        names
    }

    /// Number of members, at least 1.
    pub(crate) fn count(&self) -> usize {
        self.known.len().max(1)
    }

    /// Whether `me` is registered as this run.
    pub(crate) fn is_registered(&self, me: &Name, incarnation: u64) -> bool {
        self.known
            .get(me)
            .is_some_and(|known| known.member.incarnation == incarnation)
    }

    /// Notes that a member was heard.
    pub(crate) fn hear(&mut self, name: &Name, now: Instant) {
        if let Some(known) = self.known.get_mut(name) {
            known.heard = Some(now);
        }
    }

    /// Members other than `me` that were not heard for `silence`.
    pub(crate) fn silent(&mut self, me: &Name, silence: Duration, now: Instant) -> Vec<Name> {
        let mut silent = Vec::new();
        for (name, known) in &mut self.known {
            let first = *known.first.get_or_insert(now);
            let last = known.heard.unwrap_or(first);
            if name != me && now.saturating_duration_since(last) >= silence {
                silent.push(name.clone());
            }
        }
        silent
    }

    /// Number of members other than `me` that were heard lately.
    pub(crate) fn heard(&self, me: &Name, now: Instant) -> usize {
        self.known
            .iter()
            .filter(|(name, known)| {
                *name != me
                    && known
                        .heard
                        .is_some_and(|heard| now.saturating_duration_since(heard) < HEARD)
            })
            .count()
    }

    /// Members of a failure domain.
    pub(crate) fn of_domain(&self, domain: &Name) -> impl Iterator<Item = &Name> {
        self.known
            .iter()
            .filter(move |(_, known)| known.member.domain == *domain)
            .map(|(name, _)| name)
    }

    /// Addresses of two other members that follow the store, one of them of the
    /// failure domain if there is one.
    pub(crate) fn followers(&self, me: &Name, domain: &Name) -> Vec<SocketAddr> {
        let mut names: Vec<&Name> = self.known.keys().collect();
        names.sort_unstable();
        let mut seen: HashMap<&Name, usize> = HashMap::default();
        names.retain(|name| {
            let count = seen.entry(&self.known[*name].member.domain).or_default();
            *count += 1;
            *count <= FOLLOWERS && *name != me
        });
        let near = |name: &&&Name| self.known[**name].member.domain == *domain;
        let first = names.iter().filter(near).choose(&mut rand::rng()).copied();
        let second = names.iter().choose(&mut rand::rng()).copied();
        let chosen = first
            .into_iter()
            .chain(second.filter(|name| Some(*name) != first));
        chosen.map(|name| self.known[name].member.addr).collect()
    }

    fn addresses(&self, me: &Name) -> Vec<SocketAddr> {
        self.known
            .iter()
            .filter(|(name, _)| *name != me)
            .map(|(_, known)| known.member.addr)
            .collect()
    }
}

/// What entries send each other.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    Report(Box<Message>),
    Question(proof::Question),
    Answer(proof::Answer),
}

impl Datagram {
    /// The datagram's bytes: the format and the content.
    pub(crate) fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(&(FORMAT, self)).expect("messages serialize to MessagePack")
    }

    /// `None` if it has another format.
    fn decode(bytes: &[u8]) -> Result<Option<Self>, rmp_serde::decode::Error> {
        match rmp_serde::from_slice::<(u8, Self)>(bytes) {
            Ok((FORMAT, datagram)) => Ok(Some(datagram)),
            Ok(_) => Ok(None),
            Err(cause) => Err(cause),
        }
    }
}

/// All that an entry tells at intervals.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Message {
    from: Name,
    incarnation: u64,
    /// Milliseconds since the sender's process started.
    uptime_ms: u64,
    wall_ms: i64,
    spent: Vec<(Name, f64)>,
    begun: Vec<Counts>,
    loads: Vec<LoadReport>,
    demand: Vec<(Name, f64)>,
    leaving: Vec<UpstreamKey>,
    /// Upstreams whose entries are missing, and at which revision.
    gone: Vec<(UpstreamKey, u64)>,
    crashes: Vec<(Digest, UpstreamKey)>,
    /// Age in milliseconds of the last news of the lease's holder, 0 from itself.
    holder_age: Option<u64>,
    /// Version of the configuration in force there, 0 if none.
    version: u64,
    /// Age in milliseconds of the sender's last current answer about upstreams,
    /// if it follows the store.
    store_age: Option<u64>,
}

/// Registers this entry in the store, again whenever its object is missing.
pub(crate) async fn register(node: Rc<Node>) {
    let me = &node.settings.name;
    let member = Member {
        addr: node.settings.peer_listen,
        domain: node.settings.domain.clone(),
        incarnation: node.incarnation,
    };
    loop {
        if node.members.borrow().is_registered(me, node.incarnation) {
            pause(REGISTERED_MS).await;
            continue;
        }
        let created = node.store.create(MEMBERS, me, &member).await;
        let result = match created {
            Ok(crate::store::Written::Conflict) => {
                node.store.replace(MEMBERS, me, None, &member).await
            }
            other => other,
        };
        match result {
            Ok(_) => pause(REGISTERED_MS).await,
            Err(cause) => {
                let cause = cause.to_string();
                log::warn!(target: "lycheehaven", cause = cause.as_str(); "can't register with the store; retrying");
                pause(300).await;
            }
        }
    }
}

/// Sends this entry's counts to peers at intervals.
pub(crate) async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        let mut peers = node.members.borrow().addresses(&node.settings.name);
        if peers.len() > FAN_OUT {
            for index in 0..FAN_OUT {
                let other = rand::random_range(index..peers.len());
                peers.swap(index, other);
            }
            peers.truncate(FAN_OUT);
        }
        if !peers.is_empty() {
            let bytes = encode(&node);
            for peer in peers {
                send_to(&socket, &bytes, peer).await;
            }
        }
        pause(INTERVAL_MS).await;
    }
}

/// Sends a datagram; it may be lost.
pub(crate) async fn send_to(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    let sent = socket.send_to(bytes.to_vec(), peer).await;
    if let Err(cause) = sent.0 {
        log::debug!(target: "lycheehaven", peer = peer.to_string().as_str(), cause = cause.to_string().as_str(); "a peer can't be told");
    }
}

/// Takes over what peers send.
pub(crate) async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        buffer.clear();
        let result = socket.recv_from(buffer).await;
        buffer = result.1;
        match result.0 {
            Ok((_, peer)) => match Datagram::decode(&buffer) {
                Ok(Some(Datagram::Report(message))) => adopt(&node, *message),
                Ok(Some(Datagram::Question(question))) => {
                    proof::answer(&node, &socket, question, peer).await;
                }
                Ok(Some(Datagram::Answer(answer))) => proof::adopt(&node, &answer),
                Ok(None) => {}
                Err(cause) => {
                    let cause = cause.to_string();
                    log::warn!(target: "lycheehaven", cause = cause.as_str(); "a peer's message can't be decoded");
                }
            },
            Err(cause) => {
                let cause = cause.to_string();
                log::debug!(target: "lycheehaven", cause = cause.as_str(); "receiving from peers failed");
                pause(20).await;
            }
        }
    }
}

fn encode(node: &Node) -> Vec<u8> {
    let now = node.now();
    let wall_ms = node
        .clock
        .wall()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as i64);
    let directory = node.directory.borrow();
    let message = Message {
        from: node.settings.name.clone(),
        incarnation: node.incarnation,
        uptime_ms: now.saturating_duration_since(node.started).as_millis() as u64,
        wall_ms,
        spent: node.allotments.borrow_mut().report(now),
        begun: node.usage.borrow().report(),
        loads: node.book.borrow().report(),
        demand: node.demand.borrow_mut().report(now),
        leaving: directory.news(now).cloned().collect(),
        gone: directory.gone(now),
        crashes: node.suspects.borrow().report(),
        holder_age: node.holder_age(now).map(|age| age.as_millis() as u64),
        version: node.belief.borrow().version().unwrap_or(0),
        store_age: node
            .servers_read
            .get()
            .map(|read| now.saturating_duration_since(read).as_millis() as u64),
    };
    Datagram::Report(Box::new(message)).encode()
}

fn hear_spending(node: &Node, message: &Message, now: Instant) {
    let (from, run) = (&message.from, message.incarnation);
    let started = now.checked_sub(Duration::from_millis(message.uptime_ms));
    let mut allotments = node.allotments.borrow_mut();
    if node.recorded.get().is_some_and(|at| started < Some(at)) {
        allotments.cover(from, run, &message.spent);
    }
    allotments.hear(from, run, &message.spent, now);
}

fn adopt(node: &Rc<Node>, message: Message) {
    let now = node.now();
    let from = &message.from;
    if *from == node.settings.name {
        return;
    }
    node.members.borrow_mut().hear(from, now);
    node.wall
        .borrow_mut()
        .hear(from, message.wall_ms, node.clock.wall(), now);
    hear_spending(node, &message, now);
    node.usage
        .borrow_mut()
        .hear(from, message.incarnation, message.begun);
    node.book.borrow_mut().hear(from, message.loads, now);
    node.demand.borrow_mut().hear(from, message.demand, now);
    for key in &message.leaving {
        node.upstream_leaves(key, from);
    }
    for (key, revision) in &message.gone {
        node.upstream_gone(key, *revision, from);
    }
    for (digest, upstream) in &message.crashes {
        node.suspects.borrow_mut().accuse(*digest, upstream, now);
    }
    if let Some(age) = message.holder_age {
        node.hear_holder(Duration::from_millis(age), now);
    }
    node.hear_version(message.version);
    if let Some(age) = message.store_age {
        let age = Duration::from_millis(age);
        node.informed.borrow_mut().hear(age, now);
    }
}
