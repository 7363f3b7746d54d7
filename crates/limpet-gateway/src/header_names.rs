//! Header names that a deployment uses.

use http::HeaderName;

/// Header names of a deployment, provided by its adapter.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; forwarded unchanged and echoed by targets.
    pub request_id: HeaderName,
    /// Time that is left for a request, in milliseconds; sent by callers, and by the gateway to targets.
    pub deadline_ms: HeaderName,
    /// API key of the caller; never forwarded.
    pub api_key: HeaderName,
    /// Team of the caller; set on requests to targets.
    pub team: HeaderName,
    /// Id of the only target that may run the request.
    pub expected_target: HeaderName,
    /// Id of the target that replied.
    pub target_id: HeaderName,
    /// Set on the reply of a target that did not run the request.
    pub not_run: HeaderName,
    /// Set to `1` on the replies of a target that leaves.
    pub leaving: HeaderName,
    /// Signature of the target for its reply.
    pub signature: HeaderName,
    /// Remaining warm-up time of the target, in milliseconds.
    pub cold_ms: HeaderName,
    /// Signatures of the parts of a gathered answer, separated by commas.
    pub part_signatures: HeaderName,
    /// Number of shards that are missing from a gathered answer.
    pub missing_parts: HeaderName,
}
