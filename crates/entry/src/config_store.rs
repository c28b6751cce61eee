//! Access to the declared configuration on the platform.

use lycheehaven_config::DeclaredConfig;
use lycheehaven_config::Patch;
use lycheehaven_config::PatchError;
use lycheehaven_platform::Condition;
use lycheehaven_platform::Object;
use lycheehaven_platform::PutOutcome;
use lycheehaven_platform::Unavailable;
use lycheehaven_platform::Version;
use lycheehaven_types::ErrorKind;
use lycheehaven_types::Failure;

use crate::metrics::kind;
use crate::node::Node;

/// Key of the configuration object.
pub(crate) const CONFIG_KEY: &str = "config";

/// Number of writes after which a patch is reported as uncertain.
const WRITE_ATTEMPTS: u32 = 4;

/// Reads the configuration. Returns `None` before the first patch.
pub(crate) async fn read(node: &Node) -> Result<Option<(DeclaredConfig, Version)>, Unavailable> {
    node.metrics
        .platform_calls
        .get_or_create(&kind("read"))
        .inc();
    match node.objects.get(CONFIG_KEY).await? {
        Some(object) => decode(node, &object).map(Some),
        None => Ok(None),
    }
}

/// Decodes the configuration object. Content that can't be used counts as an
/// unavailable platform.
pub(crate) fn decode(
    node: &Node,
    object: &Object,
) -> Result<(DeclaredConfig, Version), Unavailable> {
    let parsed = serde_json::from_slice(&object.body).map_err(|cause| cause.to_string());
    let checked = parsed.and_then(|declared: DeclaredConfig| match declared.find_problem() {
        Some(problem) => Err(problem),
        None => Ok(declared),
    });
    match checked {
        Ok(declared) => Ok((declared, object.version)),
        Err(cause) => {
            log::error!(
                target: "config",
                version = object.version.0, cause = cause.as_str();
                "the configuration is unusable; the last one stays in force"
            );
            node.metrics.unusable_configs.inc();
            Err(Unavailable(format!(
                "unusable configuration object: {cause}"
            )))
        }
    }
}

/// Applies a patch to the configuration on the platform. If the response to a
/// write is lost, the configuration is read again: the patch's `writer` shows
/// whether the write took effect. If not, the write is retried under the
/// condition that the configuration is unchanged since that read, so that the
/// patch takes effect at most once.
pub(crate) async fn patch(node: &Node, patch: &Patch) -> Result<DeclaredConfig, Failure> {
    let mut uncertain = false;
    for _ in 0..WRITE_ATTEMPTS {
        let current = read(node)
            .await
            .map_err(|cause| unavailable_failure(&cause, uncertain))?;
        let (declared, condition) = match current {
            Some((declared, version)) => (declared, Condition::At(version)),
            None => (DeclaredConfig::default(), Condition::Absent),
        };
        if patch.is_applied(&declared) {
            node.adopt_config(declared.clone());
            return Ok(declared);
        }
        let next = patch
            .apply(&declared, node.wall_millis() / 1000)
            .map_err(patch_failure)?;
        let body = serde_json::to_vec(&next).expect("configuration serializes");
        node.metrics
            .platform_calls
            .get_or_create(&kind("write"))
            .inc();
        match node.objects.put(CONFIG_KEY, condition, body).await {
            PutOutcome::Written(_) => {
                node.adopt_config(next.clone());
                return Ok(next);
            }
            PutOutcome::Conflict => {}
            PutOutcome::Uncertain => uncertain = true,
        }
    }
    let message = "the platform did not confirm whether the patch took effect";
    Err(Failure::new(ErrorKind::PlatformUncertain, message))
}

fn unavailable_failure(cause: &Unavailable, uncertain: bool) -> Failure {
    let kind = if uncertain {
        ErrorKind::PlatformUncertain
    } else {
        ErrorKind::PlatformUnavailable
    };
    Failure::new(kind, cause.to_string())
}

fn patch_failure(error: PatchError) -> Failure {
    let kind = match error {
        PatchError::Outdated(_) => ErrorKind::ConfigConflict,
        PatchError::Invalid(_) => ErrorKind::BadRequest,
    };
    Failure::new(kind, error.to_string())
}
