//! Names of the headers that a deployment uses.

use http::HeaderName;

/// Header names of one deployment; the adapter of the deployment fills them in.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one caller attempt; forwarded unchanged and repeated by targets.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender of a request waits.
    pub deadline_ms: HeaderName,
    /// API key of a caller; never forwarded.
    pub api_key: HeaderName,
    /// Team of a request, for targets.
    pub team: HeaderName,
    /// Id of the only target that may run a request.
    pub expected_target: HeaderName,
    /// Id of the target that replied.
    pub target_id: HeaderName,
    /// Present in a reply of a target that did not run the request.
    pub not_run: HeaderName,
    /// Signature of a target under its reply.
    pub signature: HeaderName,
    /// Milliseconds for which a target stays cold.
    pub cold_ms: HeaderName,
    /// Signatures of the parts of a gathered answer, separated by commas.
    pub part_signatures: HeaderName,
    /// Number of shards that a gathered answer leaves out.
    pub missing_parts: HeaderName,
}
