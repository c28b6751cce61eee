//! Agreement between entries on trying suspected requests.

use std::rc::Rc;

use futures_util::future::join_all;
use lycheehaven_streams::Phase;
use lycheehaven_types::Digest;
use lycheehaven_types::Name;

use crate::node::Node;
use crate::peer_client;
use crate::record::Record;
use crate::wire::SuspectNews;
use crate::wire::SuspectReply;

/// Tells the live peers that a suspect is about to be tried at `target`, which
/// is reserved for it here, and says whether nothing stands against it.
pub(crate) async fn may_try(node: &Rc<Node>, record: &Record, target: &Name) -> bool {
    let digest = record.request.digest;
    let replies = tell(node, digest, Some(target.clone())).await;
    let refused = node.suspicion.borrow().is_quarantined(digest, node.now());
    let suspects = node
        .table
        .borrow()
        .get(target)
        .map_or(0, |upstream| upstream.suspects);
    let contended = suspects > 1;
    !refused && !contended && replies.iter().all(|reply| *reply == SuspectReply::Free)
}

/// Tells the live peers that a request is refused, before anyone can send it
/// again because of the answer.
pub(crate) async fn tell_verdict(node: &Rc<Node>, digest: Digest) {
    if node.suspicion.borrow().is_suspect(digest) {
        tell(node, digest, None).await;
    }
}

/// Answers a peer's news.
pub(crate) fn hear(node: &Node, news: &SuspectNews) -> SuspectReply {
    let mut suspicion = node.suspicion.borrow_mut();
    if news.refused {
        suspicion.quarantine(news.digest, &news.losses, node.now());
    } else {
        suspicion.merge(news.digest, &news.losses, node.now());
    }
    drop(suspicion);
    let Some(target) = &news.target else {
        return SuspectReply::Free;
    };
    if node
        .table
        .borrow()
        .get(target)
        .is_some_and(|upstream| upstream.suspects > 0)
    {
        return SuspectReply::Occupied;
    }
    let records = node.records.borrow();
    let same = records
        .values()
        .filter(|record| record.request.digest == news.digest);
    let mut contending = same.filter(|record| match record.stream.borrow().phase() {
        Phase::Running(_) => true,
        Phase::Waiting => node.settings.name < news.entry && record.is_attended(),
        Phase::Finished(_) | Phase::Failed(..) => false,
    });
    if contending.next().is_some() {
        SuspectReply::Running
    } else {
        SuspectReply::Free
    }
}

async fn tell(node: &Rc<Node>, digest: Digest, target: Option<Name>) -> Vec<SuspectReply> {
    let news = {
        let suspicion = node.suspicion.borrow();
        SuspectNews {
            digest,
            losses: suspicion.losses(digest).unwrap_or_default().to_vec(),
            refused: suspicion.is_quarantined(digest, node.now()),
            entry: node.settings.name.clone(),
            target,
        }
    };
    let addresses = peer_client::live_addresses(node);
    let told = addresses
        .iter()
        .map(|(_, addr)| peer_client::suspect(node, *addr, &news));
    // A peer that can't be reached can't contend for the same upstreams either.
    join_all(told).await.into_iter().flatten().collect()
}
