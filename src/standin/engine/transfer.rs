//! Export of cached blocks to a KV store and import from it.

use std::net::SocketAddr;

use error_stack::Report;
use ntex::{
    client::{
        Client,
        ClientResponse, //
    },
    util::Bytes,
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    process::client,
    request::prompt::{
        BlockHash,
        Namespace, //
    },
    standin::kv_store::{
        DIGEST_HEADER,
        Lookup,
        digest_of, //
    },
};

/// Order to move blocks between the cache and a store.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TransferOrder {
    /// Address of the store.
    pub store: SocketAddr,
    /// Cache namespace of the blocks.
    pub namespace: Namespace,
    /// Blocks in the order of the prompt.
    pub blocks: Vec<BlockHash>,
}

/// Data of a block. It names the block, so that a store which answers with
/// another one is noticed.
fn data_of(namespace: Namespace, block: BlockHash) -> Bytes {
    Bytes::from(format!("kv {namespace} {block}"))
}

fn path(namespace: Namespace, block: BlockHash) -> String {
    format!("/blocks/{namespace}/{block}")
}

fn failure(reason: impl ToString) -> Report<ErrorKind> {
    Report::new(ErrorKind::PeerUnavailable).attach(reason.to_string())
}

fn accepted(response: ClientResponse) -> Result<ClientResponse> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(failure(response.status()))
}

/// Fetches and checks every block of an order.
pub(super) async fn fetch(client: &Client, order: &TransferOrder) -> Result<()> {
    for &block in &order.blocks {
        let url = client::url(order.store, &path(order.namespace, block));
        let response = client.get(url).send().await.map_err(failure)?;
        let response = accepted(response)?;
        let digest = response.headers().get(DIGEST_HEADER);
        let digest = digest.and_then(|value| value.to_str().ok());
        let digest = digest.map(str::to_owned);
        let data = response.body().await.map_err(failure)?;
        let is_whole = digest == Some(digest_of(&data));
        if !is_whole || data != data_of(order.namespace, block) {
            return Err(failure("block data is damaged"));
        }
    }
    Ok(())
}

/// Sends the blocks that the store does not hold yet and returns their number.
pub(super) async fn send(client: &Client, order: &TransferOrder) -> Result<usize> {
    #[derive(Deserialize)]
    struct Found {
        leading: usize,
    }
    let lookup = Lookup {
        namespace: order.namespace,
        blocks: order.blocks.clone(),
    };
    let url = client::url(order.store, "/lookup");
    let response = client.post(url).send_json(&lookup).await.map_err(failure)?;
    let found: Found = client::read_json(&accepted(response)?).await?;
    let missing = order.blocks.iter().skip(found.leading);
    let mut sent = 0;
    for &block in missing {
        let data = data_of(order.namespace, block);
        let url = client::url(order.store, &path(order.namespace, block));
        let request = client.put(url).set_header(DIGEST_HEADER, digest_of(&data));
        let response = request.send_body(data).await.map_err(failure)?;
        accepted(response)?;
        sent += 1;
    }
    Ok(sent)
}
