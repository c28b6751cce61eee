//! Proofs of the configuration from peers.
//!
//! An entry that follows the store tells others, when asked, which version it
//! has and how long ago the store proved it. The answer is later than the
//! question, so the proof is no older than the question's time less that age,
//! whatever the network did to either.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::UdpSocket;
use lycheehaven_net::sleep_ms;
use serde::Deserialize;
use serde::Serialize;

use crate::exchange::Datagram;
use crate::exchange::send_to;
use crate::node::Node;

/// Interval between questions, in milliseconds.
const ASK_MS: u64 = 700;

/// Part of the time within which a configuration must be in force after which an
/// entry without news of its peers asks the store itself.
const CONFIG_PART: f64 = 0.8;

/// The same part of the time for which a proof is good.
const PROOF_PART: f64 = 0.63;

/// Time after a question in which a peer relies on this entry's proofs.
const RELIED_ON: Duration = Duration::from_secs(3);

/// Asks for a proof.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Question {
    /// Run of the asking process.
    incarnation: u64,
    /// Milliseconds since the asking process started.
    sent_ms: u64,
}

/// What a peer knows.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Answer {
    /// The question. A process that has restarted since did not ask it.
    question: Question,
    /// Version of the configuration.
    version: u64,
    /// Age of its proof in milliseconds.
    age_ms: u64,
}

/// Asks peers that follow the store, unless this entry does.
pub(crate) async fn ask(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        if !node.follows_store() {
            let sent_ms = node.uptime().as_millis() as u64;
            let incarnation = node.incarnation;
            let question = Question {
                incarnation,
                sent_ms,
            };
            let bytes = Datagram::Question(question).encode();
            let (me, domain) = (&node.settings.name, &node.settings.domain);
            let followers = node.members.borrow().followers(me, domain);
            for peer in followers {
                send_to(&socket, &bytes, peer).await;
            }
        }
        sleep_ms(ASK_MS).await;
    }
}

/// Answers a peer's question, if anything is known.
pub(crate) async fn answer(node: &Node, socket: &UdpSocket, question: Question, peer: SocketAddr) {
    node.asked.set(Some(node.now()));
    let known = {
        let belief = node.belief.borrow();
        belief.version().zip(belief.age(node.now()))
    };
    if let Some((version, age)) = known {
        let answer = Answer {
            question,
            version,
            age_ms: age.as_millis() as u64 + 1,
        };
        send_to(socket, &Datagram::Answer(answer).encode(), peer).await;
    }
}

/// Takes over a peer's answer.
pub(crate) fn adopt(node: &Node, answer: &Answer) {
    node.hear_version(answer.version);
    if answer.question.incarnation != node.incarnation {
        return;
    }
    let sent = Duration::from_millis(answer.question.sent_ms);
    let Some(asked) = node.started.checked_add(sent) else {
        return;
    };
    let age = Duration::from_millis(answer.age_ms);
    let mut belief = node.belief.borrow_mut();
    belief.confirm_by_peer(answer.version, asked, age, node.now());
}

/// Whether peers rely on this entry's proofs.
pub(crate) fn is_relied_on(node: &Node) -> bool {
    let now = node.now();
    let asked = node.asked.get();
    asked.is_some_and(|asked| now.saturating_duration_since(asked) < RELIED_ON)
}

/// Whether this entry may leave it to its peers to prove the configuration.
pub(crate) fn comes_from_peers(node: &Node) -> bool {
    let bounds = &node.settings.bounds;
    let apply = Duration::from_millis(bounds.config_ms).mul_f64(CONFIG_PART);
    let stale = bounds.stale_after();
    let bound = stale.map_or(apply, |stale| apply.min(stale.mul_f64(PROOF_PART)));
    !node.follows_store() && !node.is_behind() && node.belief.borrow().is_fresh(node.now(), bound)
}
