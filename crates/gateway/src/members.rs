//! Registration of entries in the store.

use std::rc::Rc;

use lycheehaven_adapter::store::Object;
use lycheehaven_fleet::Member;
use lycheehaven_net::sleep_ms;
use lycheehaven_types::Name;
use serde::Deserialize;

use crate::node::Node;
use crate::store::WriteOutcome;

/// Kind of the objects in the store that register entries.
pub(crate) const MEMBERS: &str = "lycheehaven-entries";

/// Interval between checks of this entry's registration, in milliseconds. The
/// known state may lag behind the store by seconds.
const CHECK_INTERVAL_MS: u64 = 3000;

/// Decodes the registration of an entry. Returns `None` if it can't be decoded.
pub(crate) fn decode(object: &Object) -> Option<(Name, Member)> {
    match Member::deserialize(&object.spec) {
        Ok(member) => Some((object.name.as_str().into(), member)),
        Err(cause) => {
            let cause = cause.to_string();
            log::warn!(target: "lycheehaven", entry = object.name.as_str(), cause = cause.as_str(); "can't decode the registration of an entry; ignoring it");
            None
        }
    }
}

/// Registers this entry in the store, and again whenever its registration is
/// missing.
pub(crate) async fn register(node: Rc<Node>) {
    let own_name = &node.settings.name;
    let member = Member {
        addr: node.settings.peer_listen,
        domain: node.settings.domain.clone(),
        incarnation: node.incarnation,
        capacity: node.settings.capacity.capacity(),
    };
    loop {
        if node.roster.borrow().is_registered(node.incarnation) {
            sleep_ms(CHECK_INTERVAL_MS).await;
            continue;
        }
        let created = node.store.create(MEMBERS, own_name, &member).await;
        let result = match created {
            Ok(WriteOutcome::Conflict) => {
                node.store.replace(MEMBERS, own_name, None, &member).await
            }
            other => other,
        };
        match result {
            Ok(_) => sleep_ms(CHECK_INTERVAL_MS).await,
            Err(cause) => {
                let cause = cause.to_string();
                log::warn!(target: "lycheehaven", cause = cause.as_str(); "can't register this entry in the store; retrying");
                sleep_ms(300).await;
            }
        }
    }
}
