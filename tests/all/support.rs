//! Helpers shared by the integration tests.

use std::time::Duration;

use hyper::Method;
use lycheehaven_net::Reply;
use lycheehaven_standins::Client;
use lycheehaven_standins::Cluster;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::WORKSPACE_KEY;

/// Path of the daemon under test.
pub(crate) const DAEMON: &str = env!("CARGO_BIN_EXE_lycheehaven");

/// Time limit of each test.
const TEST_TIMEOUT: Duration = Duration::from_secs(45);

/// Runs an asynchronous test on its own event loop.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().expect("event loop can be created");
    let limited = compio::time::timeout(TEST_TIMEOUT, test);
    runtime
        .block_on(limited)
        .expect("the test ends before its timeout")
}

/// Creates a caller of workspace `riigi`.
pub(crate) fn client() -> Client {
    Client::new(WORKSPACE_KEY)
}

/// Starts a cluster and waits until it is ready: entries `(name, domain)`,
/// engines `(name, domain)` of the model service, and one plain service.
/// `extra_settings` is TOML appended to the entries' settings.
pub(crate) async fn cluster(
    extra_settings: &str,
    entries: &[(&str, &str)],
    engines: &[(&str, &str)],
    params: EngineParams,
) -> Cluster {
    let mut cluster = Cluster::new(DAEMON);
    cluster.extra_settings = extra_settings.into();
    for (name, domain) in engines {
        cluster.add_engine(name, domain, "poleer-llm", params.clone());
    }
    cluster.add_service("price-1", entries[0].1, "hinnalaud");
    for (name, domain) in entries {
        cluster.add_entry(name, domain);
    }
    cluster.wait_until_joined().await;
    cluster.declare_default().await;
    cluster
}

/// Starts two entries, one engine and one plain service in one failure domain.
pub(crate) async fn small_cluster() -> Cluster {
    let entries = [("entry-a", "arima"), ("entry-b", "arima")];
    let engines = [("engine-1", "arima")];
    cluster("", &entries, &engines, EngineParams::default()).await
}

/// Calls the plain service through an entry.
pub(crate) async fn look_up(cluster: &Cluster, entry: usize) -> Reply {
    let addr = cluster.entries[entry].listen;
    client()
        .call(addr, Method::GET, "hinnalaud/price/1", None, "")
        .await
        .unwrap()
}
