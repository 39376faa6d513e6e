//! Transfer of large answers over slow links.
//!
//! A limit on the whole time of a transfer is missed on a slow link however often the
//! transfer is repeated, and each repetition takes from the link what the others need. So
//! only a transfer that has stopped is given up.

use std::{
    fmt,
    time::Duration, //
};

use futures_util::StreamExt;
use ntex::client::ClientResponse;
use tokio::time::{
    Instant,
    timeout,
    timeout_at, //
};

/// Longest time without a further byte of an answer.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time of a whole transfer. The largest object of the store takes a tenth of it
/// on the slowest link.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an answer was not received as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransferError {
    /// The connection ended or was reset; holds the reason.
    Broken(String),
    /// No byte arrived for [`PROGRESS_TIMEOUT`], or the whole took too long.
    Stalled,
    /// The answer exceeds the limit.
    TooLong,
}

impl fmt::Display for TransferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(reason) => write!(f, "connection broke: {reason}"),
            Self::Stalled => f.write_str("the answer stopped arriving"),
            Self::TooLong => f.write_str("the answer is too long"),
        }
    }
}

/// Reads the body of an answer of at most `max_bytes`.
///
/// # Errors
///
/// Returns [`TransferError`] when the body does not arrive as a whole.
pub async fn read_body(
    response: &mut ClientResponse,
    max_bytes: usize,
) -> Result<Vec<u8>, TransferError> {
    let until = Instant::now() + TRANSFER_TIMEOUT;
    let read = async {
        let mut body = Vec::new();
        loop {
            match timeout(PROGRESS_TIMEOUT, response.next()).await {
                Err(_) => return Err(TransferError::Stalled),
                Ok(None) => return Ok(body),
                Ok(Some(Err(error))) => return Err(TransferError::Broken(error.to_string())),
                Ok(Some(Ok(part))) if body.len() + part.len() > max_bytes => {
                    return Err(TransferError::TooLong);
                }
                Ok(Some(Ok(part))) => body.extend_from_slice(&part),
            }
        }
    };
    let read = timeout_at(until, read).await;
    read.unwrap_or(Err(TransferError::Stalled))
}
