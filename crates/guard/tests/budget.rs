//! Tests of the retry budget, shared by several entries.

use std::time::Duration;
use std::time::Instant;

use lycheehaven_guard::RetryBudget;
use lycheehaven_guard::RetryBudgetConfig;
use lycheehaven_types::Name;
use proptest::prelude::*;

const CONFIG: RetryBudgetConfig = RetryBudgetConfig {
    window: Duration::from_secs(10),
    ratio: 0.2,
    slack: 54.0,
};

#[test]
fn idle_entry_gets_its_part_of_the_slack() {
    let mut budget = RetryBudget::new(CONFIG);
    let service: Name = "app".into();
    let now = Instant::now();
    let taken = (0..100)
        .filter(|_| budget.try_take(&service, 6, now))
        .count();
    assert_eq!(
        taken, 7,
        "54 / 6 entries, of which the fraction 0.8 is used"
    );
}

#[test]
fn budget_grows_with_requests_and_recovers_after_the_window() {
    let mut budget = RetryBudget::new(CONFIG);
    let service: Name = "app".into();
    let start = Instant::now();
    for _ in 0..100 {
        budget.record_request(&service, start);
    }
    let taken = (0..100)
        .filter(|_| budget.try_take(&service, 6, start))
        .count();
    assert_eq!(taken, 23, "(0.2 * 100 + 9) * 0.8");
    assert!(!budget.has_remaining(&service, 6, start));
    let later = start + Duration::from_secs(11);
    assert!(budget.has_remaining(&service, 6, later));
}

proptest! {
    /// The parts of all entries never add up to more than the configured budget.
    #[test]
    fn parts_do_not_exceed_the_configured_budget(
        steps in proptest::collection::vec((0_usize..7, 0_u32..6, 0_u32..12), 1..200),
    ) {
        let start = Instant::now();
        let service: Name = "app".into();
        let mut entries: Vec<RetryBudget> = (0..7).map(|_| RetryBudget::new(CONFIG)).collect();
        let mut requests: Vec<(Instant, u32)> = Vec::new();
        let mut retries: Vec<(Instant, u32)> = Vec::new();
        for (index, (entry, arrived, wanted)) in steps.iter().enumerate() {
            let now = start + Duration::from_millis(100) * index as u32;
            for _ in 0..*arrived {
                entries[*entry].record_request(&service, now);
            }
            requests.push((now, *arrived));
            let taken = (0..*wanted)
                .filter(|_| entries[*entry].try_take(&service, 7, now))
                .count();
            retries.push((now, taken as u32));
            let since = now.checked_sub(CONFIG.window).unwrap_or(start);
            let sum = |list: &[(Instant, u32)]| -> u32 {
                list.iter().filter(|(at, _)| *at >= since).map(|(_, count)| count).sum()
            };
            let allowed = CONFIG.ratio * f64::from(sum(&requests)) + CONFIG.slack;
            prop_assert!(f64::from(sum(&retries)) <= allowed);
        }
    }
}
