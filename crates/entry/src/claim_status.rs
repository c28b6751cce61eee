//! What entries know of claimed calls.

use std::rc::Rc;

use lycheehaven_claims::Claim;
use lycheehaven_claims::ClaimState;
use lycheehaven_claims::ShardId;

use crate::claim_shards;
use crate::node::Node;
use crate::peer_client;
use crate::replicate;
use crate::wire::ClaimQuery;
use crate::wire::ClaimStatus;

/// Records in the claim shard that the request of a claim of this entry was not
/// and will not be sent.
pub(crate) async fn release_claim(node: &Rc<Node>, shard: ShardId, claim: Claim) {
    let released = Claim {
        state: ClaimState::NotRun,
        ..claim
    };
    claim_shards::claim(node, shard, released).await;
}

/// Asks the holder of a claim, then every other live entry, for the status of
/// its call. Asks again for as long as the call runs.
pub(crate) async fn query_holder(node: &Rc<Node>, shard: ShardId, claim: Claim) -> ClaimStatus {
    let query = ClaimQuery { claim, shard };
    let holder = query.claim.holder.clone();
    let name = holder.split('.').next().unwrap_or_default();
    if *name == *node.settings.name {
        return local_status(node, query).await;
    }
    let mut others = peer_client::live_addresses(node);
    others.sort_by_key(|(peer, _)| **peer != *name);
    for (_, addr) in others {
        loop {
            match peer_client::claim_status(node, addr, &query).await {
                Ok(ClaimStatus::Running) => {}
                Ok(ClaimStatus::Unknown) | Err(_) => break,
                Ok(status) => return status,
            }
        }
    }
    ClaimStatus::Unknown
}

/// Returns the status of a claim of this incarnation of the entry or an earlier
/// one, once its call no longer runs.
async fn local_status(node: &Rc<Node>, query: ClaimQuery) -> ClaimStatus {
    loop {
        let repeated = ClaimQuery {
            claim: query.claim.clone(),
            shard: query.shard,
        };
        match claim_status(node, repeated).await {
            ClaimStatus::Running => {}
            status => return status,
        }
    }
}

/// Returns what this entry knows of a claimed call. Only the incarnation that
/// made the claim can tell that the call was not sent; it then releases the
/// claim.
pub(crate) async fn claim_status(node: &Rc<Node>, query: ClaimQuery) -> ClaimStatus {
    let claim = query.claim;
    let nonce = claim.nonce;
    if claim.holder == node.holder() {
        if let Some(record) = node.claim_shards.active(nonce) {
            let ended = record.wait_until(|record| record.answer_ready.get());
            if compio::time::timeout(peer_client::STATUS_POLL_TIMEOUT, ended)
                .await
                .is_err()
            {
                return ClaimStatus::Running;
            }
        }
        if !node.claim_shards.was_sent(nonce) && node.claim_shards.active(nonce).is_none() {
            release_claim(node, query.shard, claim).await;
            return ClaimStatus::NotRun;
        }
    }
    let id = node.by_key.borrow().get(&claim.key).cloned();
    let record = id.and_then(|id| node.records.borrow().get(&id).cloned());
    let answer = record.and_then(|record| record.answer.borrow().clone());
    match answer.or_else(|| replicate::replicated_answer(node, claim.key)) {
        Some(answer) => ClaimStatus::Answered(answer),
        None => ClaimStatus::Unknown,
    }
}
