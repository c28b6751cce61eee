//! Parsing of the command line.

use std::net::SocketAddr;

use getopts::Matches;
use getopts::Options;

use crate::client::Client;
use crate::client::CtlError;
use crate::config_cmd;
use crate::load;
use crate::load::LoadOptions;
use crate::output;
use crate::output::ExitCode;
use crate::show;
use crate::verify;

const USAGE: &str = "\
Usage: lycheectl [OPTIONS] COMMAND

Commands:
  config get                      print the configuration in force
  config patch --base N FILE      apply a JSON merge patch (FILE - reads standard input)
  config history                  list the accepted patches
  status                          show the entry and its peers
  vms                             list VMs and their load
  drain                           stop the first entry after its open requests
  limits                          list the request rates that upstreams state
  quarantine                      list what is suspected or known to crash upstreams
  quarantine lift FEATURE         let requests with this feature run again
  explain REQUEST                 show the decisions about a request
  load FILE                       run a load scenario against the entries
  verify FILE                     check that a recorded history meets the guarantees
  key                             print a new idempotency key";

const ENTRY_VARIABLE: &str = "LYCHEEHAVEN_ENTRY";
const KEY_VARIABLE: &str = "LYCHEEHAVEN_OPERATOR_KEY";

/// Client and options of a command.
pub(crate) struct Context {
    pub(crate) client: Client,
    pub(crate) json: bool,
    pub(crate) base: Option<u64>,
    pub(crate) writer: Option<String>,
}

/// Runs the command given by `args`, which exclude the program name, and returns
/// its exit code.
pub async fn run(args: &[String]) -> ExitCode {
    match try_run(args).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("lycheectl: {}", error.message);
            error.code
        }
    }
}

async fn try_run(args: &[String]) -> Result<ExitCode, CtlError> {
    let options = options();
    let matches = options
        .parse(args)
        .map_err(|cause| CtlError::usage(cause.to_string()))?;
    if matches.opt_present("help") {
        output::line(options.usage(USAGE).trim_end());
        return Ok(ExitCode::Done);
    }
    if matches.opt_present("version") {
        output::line(concat!("lycheectl ", env!("CARGO_PKG_VERSION")));
        return Ok(ExitCode::Done);
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] => Err(CtlError::usage(format!("no command given\n{USAGE}"))),
        ["key"] => {
            output::line(uuid::Uuid::now_v7().to_string());
            Ok(ExitCode::Done)
        }
        ["config", "get"] => config_cmd::get(&context(&matches)?).await,
        ["config", "patch", file] => config_cmd::patch(&context(&matches)?, file).await,
        ["config", "history"] => config_cmd::history(&context(&matches)?).await,
        ["status"] => show::status(&context(&matches)?).await,
        ["vms"] => show::vms(&context(&matches)?).await,
        ["drain"] => show::drain(&context(&matches)?).await,
        ["limits"] => show::limits(&context(&matches)?).await,
        ["quarantine"] => show::quarantine(&context(&matches)?).await,
        ["quarantine", "lift", feature] => show::lift(&context(&matches)?, feature).await,
        ["explain", request] => show::explain(&context(&matches)?, request).await,
        ["load", file] => load::run(file, &load_options(&matches)?).await,
        ["verify", file] => verify::run(file, matches.opt_present("json")),
        _ => Err(CtlError::usage(format!(
            "unknown command: {}\n{USAGE}",
            words.join(" ")
        ))),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "e",
        "entry",
        "address of an entry; may be repeated",
        "ADDRESS",
    );
    options.optopt("k", "key", "the operators' key", "KEY");
    options.optopt(
        "b",
        "base",
        "number of the configuration that the patch was written against",
        "N",
    );
    options.optopt(
        "w",
        "writer",
        "identifier of the patch, to repeat it safely",
        "ID",
    );
    options.optopt("s", "seed", "seed of a load run", "N");
    options.optopt("o", "history", "file for a load run's history", "FILE");
    options.optflag("j", "json", "print JSON");
    options.optflag("v", "version", "print the version");
    options.optflag("h", "help", "print this help");
    options
}

fn load_options(matches: &Matches) -> Result<LoadOptions, CtlError> {
    let seed = matches
        .opt_get("seed")
        .map_err(|_| CtlError::usage("--seed is not a number"))?;
    Ok(LoadOptions {
        entries: entries(matches)?,
        seed,
        history: matches.opt_str("history"),
        json: matches.opt_present("json"),
    })
}

/// Returns the addresses given by options or else by the environment.
fn entries(matches: &Matches) -> Result<Vec<SocketAddr>, CtlError> {
    let given = matches.opt_strs("entry");
    let texts = match std::env::var(ENTRY_VARIABLE) {
        Ok(value) if given.is_empty() => value.split(',').map(str::to_owned).collect(),
        _ => given,
    };
    let entries: Result<Vec<SocketAddr>, CtlError> = texts
        .iter()
        .map(|text| {
            text.parse()
                .map_err(|_| CtlError::usage(format!("{text} is not a socket address")))
        })
        .collect();
    let entries = entries?;
    if entries.is_empty() {
        return Err(CtlError::usage(format!(
            "no entry address: use --entry or set {ENTRY_VARIABLE}"
        )));
    }
    Ok(entries)
}

fn context(matches: &Matches) -> Result<Context, CtlError> {
    let entries = entries(matches)?;
    let key = matches
        .opt_str("key")
        .or_else(|| std::env::var(KEY_VARIABLE).ok());
    let key = key.ok_or_else(|| {
        CtlError::usage(format!("no operator key: use --key or set {KEY_VARIABLE}"))
    })?;
    let base = matches
        .opt_get("base")
        .map_err(|_| CtlError::usage("--base is not a number"))?;
    Ok(Context {
        client: Client::new(entries, &key),
        json: matches.opt_present("json"),
        base,
        writer: matches.opt_str("writer"),
    })
}
