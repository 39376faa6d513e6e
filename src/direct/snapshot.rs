//! Transfer of the configuration and the list of targets between processes.
//!
//! Exchanges only announce which versions a process has. One that lacks a version fetches
//! it from one other process at a time, so that no more than one copy is on its way over
//! its link.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use error_stack::ResultExt;
use ntex::client::Client;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::timeout;

use super::{
    peers::{
        MAX_MESSAGE_BYTES,
        post,
        unavailable, //
    },
    platform_state::PlatformState,
    routing::Configuration,
    target::TargetRecord,
    transfer::{
        PROGRESS_TIMEOUT,
        read_body, //
    },
};
use crate::error::{
    ErrorKind,
    Result, //
};

/// Path of snapshot requests on the control listener.
pub(super) const PATH: &str = "/snapshot";

/// Snapshots that a process sends at once. Others are refused, so that those under way
/// have enough of its link.
pub(super) const MAX_UPLOADS: usize = 2;

/// A version of the configuration that a process has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Announcement {
    pub(super) version: u64,
    /// For how long the version has existed at least.
    pub(super) age_us: u64,
}

/// Request for what is later than the versions that the sender has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct SnapshotRequest {
    /// Version of the sender's configuration, `None` when it wants no other one.
    pub(super) configuration_version: Option<u64>,
    /// Revision of the sender's list of targets, `None` when it wants no other one.
    pub(super) targets_revision: Option<u64>,
}

impl SnapshotRequest {
    /// Returns whether the request asks for nothing.
    pub(super) const fn is_empty(&self) -> bool {
        self.configuration_version.is_none() && self.targets_revision.is_none()
    }
}

/// Answer to a [`SnapshotRequest`]; what is not later is left out.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Snapshot {
    configuration: Option<Arc<Configuration>>,
    /// List of targets with its revision.
    targets: Option<(u64, Vec<Arc<TargetRecord>>)>,
}

impl Snapshot {
    /// Builds the answer to a request.
    pub(super) fn new(request: &SnapshotRequest, platform_state: &PlatformState) -> Self {
        let configuration = platform_state.configuration.as_ref();
        let targets_revision = platform_state.targets_revision;
        let has_later_targets = |known| platform_state.has_targets && targets_revision > known;
        Self {
            configuration: request.configuration_version.and_then(|known| {
                let later = configuration.filter(|configuration| configuration.version > known);
                later.map(Arc::clone)
            }),
            targets: request
                .targets_revision
                .filter(|known| has_later_targets(*known))
                .map(|_| {
                    let records = platform_state.targets.values();
                    (targets_revision, records.map(Arc::clone).collect())
                }),
        }
    }

    /// Returns the version of the configuration, `None` without one.
    pub(super) fn configuration_version(&self) -> Option<u64> {
        let configuration = self.configuration.as_ref();
        configuration.map(|configuration| configuration.version)
    }

    /// Applies the snapshot. Returns whether anything was new.
    pub(super) fn apply(self, platform_state: &mut PlatformState) -> bool {
        let mut is_new = false;
        if let Some(configuration) = self.configuration {
            is_new |= platform_state.adopt_configuration(configuration);
        }
        if let Some((revision, records)) = self.targets
            && revision > platform_state.targets_revision
        {
            platform_state.targets_revision = revision;
            platform_state.has_targets = true;
            platform_state.deferred_removals.clear();
            platform_state.targets = records
                .into_iter()
                .map(|record| (record.id.clone(), record))
                .collect();
            is_new = true;
        }
        is_new
    }
}

/// Fetches a snapshot from an entry. Returns it with its size in bytes.
///
/// # Errors
///
/// Returns [`ErrorKind::PeerUnavailable`] when the entry does not answer, is busy with
/// other snapshots, or the answer stops arriving.
pub(super) async fn fetch(
    client: &Client,
    address: SocketAddr,
    request: SnapshotRequest,
) -> Result<(Snapshot, usize)> {
    let call = post(client, address, PATH, &request);
    let mut response = match timeout(PROGRESS_TIMEOUT, call).await {
        Ok(response) => response?,
        Err(_) => return Err(unavailable("no answer in time".to_owned())),
    };
    let body = read_body(&mut response, MAX_MESSAGE_BYTES)
        .await
        .map_err(|error| unavailable(error.to_string()))?;
    let snapshot = postcard::from_bytes(&body).change_context(ErrorKind::PeerUnavailable)?;
    Ok((snapshot, body.len()))
}
