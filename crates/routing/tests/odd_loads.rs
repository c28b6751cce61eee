//! Loads with any numbers.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_routing::Load;
use lycheehaven_routing::Policy;
use lycheehaven_routing::Query;
use lycheehaven_routing::Rules;
use lycheehaven_routing::Table;
use lycheehaven_routing::Upstream;
use lycheehaven_routing::UpstreamId;
use lycheehaven_types::Incarnation;
use lycheehaven_types::Name;
use proptest::num;
use proptest::prelude::*;

const POLICIES: [Policy; 3] = [Policy::Cost, Policy::RoundRobin, Policy::LeastLoaded];

fn count() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(u32::MAX), any::<u32>()]
}

fn tokens() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(u64::MAX), any::<u64>()]
}

prop_compose! {
    fn load()(
        counts in (count(), count(), count(), count()),
        prefill_tokens in tokens(),
        rates in (num::f32::ANY, num::f32::ANY),
    ) -> Load {
        let (running, waiting, step_us, batch_limit) = counts;
        let (prefill_rate, link_rate) = rates;
        Load {
            time: 1,
            running,
            waiting,
            prefill_tokens,
            prefill_rate,
            step_us,
            batch_limit,
            link_rate,
        }
    }
}

fn table(loads: &[Load]) -> Table {
    let mut table = Table::default();
    let upstreams: Vec<Upstream> = (0..loads.len())
        .map(|index| {
            let id = UpstreamId {
                vm: format!("engine-{index}").into(),
                incarnation: Incarnation(1),
            };
            let addr = "127.0.0.1:80".parse().expect("the address is valid");
            Upstream::new(id, "arima".into(), "llm".into(), addr)
        })
        .collect();
    table.sync(upstreams);
    for (index, load) in loads.iter().enumerate() {
        table.update_load(&format!("engine-{index}"), Incarnation(1), *load);
    }
    table
}

proptest! {
    /// Guards against a choice that panics on what an engine or a peer states.
    #[test]
    fn upstream_is_chosen_whatever_the_loads(
        loads in proptest::collection::vec(load(), 1..6),
        sent in tokens(),
        draw in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut table = table(&loads);
        let name: Name = "engine-0".into();
        for _ in 0..3 {
            table.record_open(&name, sent, &[], now);
        }
        for policy in POLICIES {
            let rules = Rules { policy, sample: 4, remote_cost: Duration::ZERO };
            for takes_over in [None, Some(Duration::from_secs(1))] {
                let query = Query {
                    service: "llm",
                    software: None,
                    domain: "arima",
                    tokens: sent,
                    blocks: &[],
                    excluded: &[],
                    without_suspects: false,
                    takes_over,
                };
                let choice = table.choose(&rules, &query, draw, now);
                prop_assert!(choice.is_some() || takes_over.is_some());
                let scores = choice.into_iter().flat_map(|choice| choice.candidates);
                for candidate in scores {
                    prop_assert!(candidate.score.is_finite());
                }
            }
        }
    }
}
