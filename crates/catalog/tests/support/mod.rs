//! Upstreams for the tests of the directory.

use lycheehaven_catalog::Upstream;
use lycheehaven_catalog::UpstreamKey;
use lycheehaven_catalog::UpstreamState;

/// Returns an upstream whose registration was written at `revision`.
pub(crate) fn upstream(
    id: &str,
    incarnation: u64,
    state: UpstreamState,
    revision: u64,
) -> Upstream {
    Upstream {
        key: UpstreamKey {
            id: id.into(),
            incarnation,
        },
        service: "llm".into(),
        software: "v1".into(),
        addr: "127.0.0.1:80".parse().expect("the address is valid"),
        domain: "keila".into(),
        slots: 4,
        state,
        reclaimable: true,
        revision,
    }
}
