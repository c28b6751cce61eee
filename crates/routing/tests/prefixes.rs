//! Tests of the prefix blocks that upstreams cache.

use lycheehaven_routing::Table;
use lycheehaven_routing::Upstream;
use lycheehaven_routing::UpstreamId;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;

/// Blocks that are recorded for one upstream before they are discarded.
const MAX_BLOCKS: u64 = 4096;

#[test]
fn discarded_blocks_have_no_holder() {
    let name: Name = "engine-1".into();
    let id = UpstreamId {
        vm: name.clone(),
        incarnation: Incarnation(1),
    };
    let addr = "127.0.0.1:80".parse().expect("the address is valid");
    let mut table = Table::default();
    table.sync([Upstream::new(id, "arima".into(), "llm".into(), addr)]);
    for block in 0..=MAX_BLOCKS {
        table.record_cached(&name, block);
    }
    assert_eq!(table.holder_count(0), 0);
    assert_eq!(table.holder_count(MAX_BLOCKS), 1);
}
