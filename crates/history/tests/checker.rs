//! Histories in files: those in `accepted` violate no rule, those in `refused`
//! violate exactly the rule that the file is named after.

use std::path::Path;

use lycheehaven_history::Bounds;
use lycheehaven_history::check;
use lycheehaven_history::parse;

fn violated_rules(path: &Path) -> datatest_stable::Result<Vec<String>> {
    let history = parse(&std::fs::read_to_string(path)?)?;
    let violations = check(&history, Bounds::default());
    let mut rules: Vec<String> = violations
        .iter()
        .map(|violation| {
            serde_json::to_value(violation.rule)
                .expect("rules serialize")
                .to_string()
        })
        .collect();
    rules.dedup();
    Ok(rules)
}

fn accepted(path: &Path) -> datatest_stable::Result<()> {
    assert_eq!(violated_rules(path)?, Vec::<String>::new());
    Ok(())
}

fn refused(path: &Path) -> datatest_stable::Result<()> {
    let name = path.file_stem().expect("file has a name").to_string_lossy();
    assert_eq!(violated_rules(path)?, [format!("\"{name}\"")]);
    Ok(())
}

datatest_stable::harness! {
    { test = accepted, root = "tests/accepted", pattern = r".*\.jsonl$" },
    { test = refused, root = "tests/refused", pattern = r".*\.jsonl$" },
}
