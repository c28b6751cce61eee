//! The division of connections to an upstream among the entries.

use lycheehaven_catalog::UpstreamKey;
use lycheehaven_permits::units_of;

fn key(index: usize) -> UpstreamKey {
    UpstreamKey {
        id: format!("i-{index}").into(),
        incarnation: 1_700_000_000_000 + index as u64,
    }
}

#[test]
fn entries_together_use_no_more_connections_than_an_upstream_takes() {
    for entries in [1, 7, 40, 295, 420] {
        for units in [0, 1, 6, 100, 360, 1900] {
            for upstream in 0..20 {
                let parts =
                    (0..entries).map(|index| units_of(units, &key(upstream), index, entries));
                assert_eq!(parts.sum::<usize>(), units, "{entries} entries");
            }
        }
    }
}

#[test]
fn entry_without_a_connection_to_one_upstream_has_one_to_another() {
    let upstreams = 60;
    for index in 0..295 {
        let parts = (0..upstreams).map(|upstream| units_of(100, &key(upstream), index, 295));
        assert!(parts.sum::<usize>() >= 5, "entry {index}");
    }
}
