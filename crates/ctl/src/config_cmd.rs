//! `lycheectl config`: reads and patches the configuration.

use std::io::Read;

use serde_json::Value;
use serde_json::json;

use crate::client::CtlError;
use crate::command::Context;
use crate::output;
use crate::output::ExitCode;

pub(crate) async fn get(context: &Context) -> Result<ExitCode, CtlError> {
    let mut config = context.client.get("/admin/config").await?;
    if !context.json
        && let Some(members) = config.as_object_mut()
    {
        members.remove("history");
    }
    output::json(&config);
    Ok(ExitCode::Done)
}

pub(crate) async fn patch(context: &Context, file: &str) -> Result<ExitCode, CtlError> {
    let base = context
        .base
        .ok_or_else(|| CtlError::usage("config patch requires --base N"))?;
    let text = read(file).map_err(|cause| CtlError::usage(format!("{file}: {cause}")))?;
    let change: Value = serde_json::from_str(&text)
        .map_err(|cause| CtlError::usage(format!("{file} is not valid JSON: {cause}")))?;
    let writer = context.writer.clone();
    let writer = writer.unwrap_or_else(|| uuid::Uuid::new_v4().to_string());
    let patch = json!({"base": base, "writer": writer, "change": change});
    let answer = context
        .client
        .post("/admin/config", &patch)
        .await
        .map_err(|mut error| {
            if error.code == ExitCode::NoAnswer {
                let hint = "the patch may have been applied; to repeat it safely, use";
                error.message =
                    format!("{}\n{hint} --base {base} --writer {writer}", error.message);
            }
            error
        })?;
    if context.json {
        output::json(&answer);
    } else {
        output::line(format!("accepted as number {}", answer["number"]));
    }
    Ok(ExitCode::Done)
}

pub(crate) async fn history(context: &Context) -> Result<ExitCode, CtlError> {
    let config = context.client.get("/admin/config").await?;
    if context.json {
        output::json(&config["history"]);
        return Ok(ExitCode::Done);
    }
    let changes = config["history"].as_array().cloned().unwrap_or_default();
    let keys = ["number", "time", "writer", "patch"];
    let rows: Vec<Vec<String>> = changes
        .iter()
        .map(|change| keys.iter().map(|key| output::cell(&change[*key])).collect())
        .collect();
    output::table(&["NUMBER", "TIME", "WRITER", "PATCH"], &rows);
    Ok(ExitCode::Done)
}

fn read(file: &str) -> std::io::Result<String> {
    if file != "-" {
        return std::fs::read_to_string(file);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}
