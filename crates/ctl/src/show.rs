//! Commands that show the state of an entry or drain it.

use serde_json::Value;
use serde_json::json;

use crate::client::CtlError;
use crate::command::Context;
use crate::output;
use crate::output::ExitCode;

pub(crate) async fn status(context: &Context) -> Result<ExitCode, CtlError> {
    let status = context.client.get("/admin/status").await?;
    if context.json {
        output::json(&status);
        return Ok(ExitCode::Done);
    }
    for key in [
        "name", "domain", "region", "version", "ready", "config", "requests", "open",
    ] {
        output::line(format!("{key:<9} {}", output::cell(&status[key])));
    }
    output::line("");
    print_rows(&status["peers"], &["name", "domain", "leaving", "heard_ms"]);
    Ok(ExitCode::Done)
}

pub(crate) async fn vms(context: &Context) -> Result<ExitCode, CtlError> {
    let vms = context.client.get("/admin/vms").await?;
    if context.json {
        output::json(&vms);
        return Ok(ExitCode::Done);
    }
    let keys = [
        "name", "domain", "service", "class", "addr", "leaving", "open", "running", "waiting",
    ];
    print_rows(&vms, &keys);
    Ok(ExitCode::Done)
}

pub(crate) async fn drain(context: &Context) -> Result<ExitCode, CtlError> {
    let client = &context.client;
    let answer = client.post_to_first("/admin/drain", &json!({})).await?;
    if context.json {
        output::json(&answer);
    } else {
        output::line("draining");
    }
    Ok(ExitCode::Done)
}

pub(crate) async fn limits(context: &Context) -> Result<ExitCode, CtlError> {
    let limits = context.client.get("/admin/limits").await?;
    if context.json {
        output::json(&limits);
        return Ok(ExitCode::Done);
    }
    print_rows(&limits, &["upstream", "per_second", "stated_ms", "wait_ms"]);
    Ok(ExitCode::Done)
}

pub(crate) async fn quarantine(context: &Context) -> Result<ExitCode, CtlError> {
    let features = context.client.get("/admin/quarantine").await?;
    if context.json {
        output::json(&features);
        return Ok(ExitCode::Done);
    }
    let keys = [
        "feature",
        "quarantined",
        "weight",
        "threshold",
        "upstreams",
        "crash_age_ms",
        "trial_ms",
    ];
    print_rows(&features, &keys);
    Ok(ExitCode::Done)
}

pub(crate) async fn lift(context: &Context, feature: &str) -> Result<ExitCode, CtlError> {
    let call = json!({ "feature": feature });
    let answer = context.client.post("/admin/quarantine/lift", &call).await?;
    if context.json {
        output::json(&answer);
    } else {
        output::line("lifted");
    }
    Ok(ExitCode::Done)
}

pub(crate) async fn explain(context: &Context, request: &str) -> Result<ExitCode, CtlError> {
    let decisions = context
        .client
        .get(&format!("/admin/explain/{request}"))
        .await?;
    if context.json {
        output::json(&decisions);
        return Ok(ExitCode::Done);
    }
    for decision in decisions.as_array().into_iter().flatten() {
        let part = |key: &str| output::cell(&decision[key]);
        output::line(format!(
            "{} {} -> {} ({})",
            part("time"),
            part("action"),
            part("choice"),
            part("reason")
        ));
        for candidate in decision["candidates"].as_array().into_iter().flatten() {
            let part = |key: &str| output::cell(&candidate[key]);
            output::line(format!(
                "    {:<24} score {:>10} cached {}",
                part("vm"),
                part("score"),
                part("cached")
            ));
        }
    }
    Ok(ExitCode::Done)
}

fn print_rows(values: &Value, keys: &[&str]) {
    let values = values.as_array().cloned().unwrap_or_default();
    let rows: Vec<Vec<String>> = values
        .iter()
        .map(|value| keys.iter().map(|key| output::cell(&value[*key])).collect())
        .collect();
    let header: Vec<String> = keys.iter().map(|key| key.to_uppercase()).collect();
    let header: Vec<&str> = header.iter().map(String::as_str).collect();
    output::table(&header, &rows);
}
