//! Coordinators, rate tokens and target ownership.

use limpet_types::message::{
    GrantReply,
    GrantRequest,
    VoteReply,
    VoteRequest, //
};

use crate::{
    controllers::Controllers,
    daemon::{
        Context,
        StartError, //
    },
};

/// Starts the controllers of this module.
///
/// # Errors
///
/// Fails when a controller cannot start.
pub async fn start(_context: &Context, _controllers: &mut Controllers) -> Result<(), StartError> {
    Ok(())
}

/// Answers a vote request; `None` on an entry, which does not vote.
pub async fn handle_vote(_context: &Context, _request: VoteRequest) -> Option<VoteReply> {
    None
}

/// Answers a grant request; `None` on an entry, which never coordinates.
pub async fn handle_grant(_context: &Context, _request: GrantRequest) -> Option<GrantReply> {
    None
}

/// Gives back every right; called after the last work of a draining process has ended.
pub async fn release(_context: &Context) {}
