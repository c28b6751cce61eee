//! Invalid settings files, each with the text that its error must contain, and
//! the sample settings and declarations, which must be accepted.

use std::path::Path;

use lycheehaven_config::DeclaredConfig;
use lycheehaven_config::Patch;
use lycheehaven_config::Settings;

fn refused(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = text
        .lines()
        .next()
        .and_then(|line| line.strip_prefix("# expect: "));
    let expected = expected.expect("the first line begins with `# expect: `");
    let message = Settings::load(path)
        .expect_err("the file is invalid")
        .to_string();
    assert!(message.contains(expected), "{message}");
    assert!(message.contains(&*path.to_string_lossy()), "{message}");
    Ok(())
}

fn sample(path: &Path) -> datatest_stable::Result<()> {
    Settings::load(path)?;
    Ok(())
}

fn declaration(path: &Path) -> datatest_stable::Result<()> {
    let change = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let patch = Patch {
        base: 0,
        writer: "sample".into(),
        change,
    };
    let declared = patch.apply(&DeclaredConfig::default(), 0)?;
    assert_eq!((declared.number, declared.workspaces.len()), (1, 5));
    Ok(())
}

datatest_stable::harness! {
    { test = refused, root = "tests/refused", pattern = r".*\.toml$" },
    { test = sample, root = "../../settings", pattern = r"^[^/]*\.toml$" },
    { test = declaration, root = "../../settings", pattern = r".*\.json$" },
}
