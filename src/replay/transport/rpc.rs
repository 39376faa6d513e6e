//! Streams as JSON-RPC subscriptions over WebSocket.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::Arc, //
};

use base64::prelude::*;
use error_stack::{
    Report,
    ResultExt, //
};
use futures_util::future::try_join_all;
use jsonrpsee::{
    core::client::{
        Subscription,
        SubscriptionClientT, //
    },
    server::{
        PendingSubscriptionSink,
        RpcModule,
        ServerBuilder, //
    },
    ws_client::{
        WsClient,
        WsClientBuilder, //
    },
};
use tokio::sync::Notify;

use super::{
    Ages,
    CHUNK_EVERY,
    Plan,
    Transport,
    no_ages, //
};
use crate::error::{
    ErrorKind,
    Result, //
};

/// Notifications that wait for one subscriber, as many as an agent would retain.
const MAX_WAITING: usize = 1_024;

pub(super) struct Subscriptions;

impl Transport for Subscriptions {
    const NAME: &'static str = "rpc subscription";

    async fn serve(listener: TcpListener, plan: Plan, stop: Arc<Notify>) -> Result<()> {
        let mut module = RpcModule::new(plan);
        module
            .register_subscription("stream", "chunk", "stop", async |_, pending, plan, _| {
                let _ = send(pending, *plan).await;
            })
            .change_context(ErrorKind::Internal)?;
        let server = ServerBuilder::default()
            .build_from_tcp(listener)
            .change_context(ErrorKind::Io)?;
        let handle = server.start(module);
        stop.notified().await;
        // It has stopped already when this fails.
        let _ = handle.stop();
        Ok(())
    }

    async fn read(address: SocketAddr, plan: Plan) -> Result<Ages> {
        let client = WsClientBuilder::new()
            .max_buffer_capacity_per_subscription(MAX_WAITING)
            .build(format!("ws://{address}"))
            .await
            .change_context(ErrorKind::PeerUnavailable)?;
        let streams = (0..plan.streams).map(|_| read_one(&client, plan));
        let mut ages = no_ages();
        for each in try_join_all(streams).await? {
            // Both have the same shape.
            let _ = ages.add(each);
        }
        Ok(ages)
    }
}

async fn send(pending: PendingSubscriptionSink, plan: Plan) -> Result<()> {
    let sink = pending
        .accept()
        .await
        .change_context(ErrorKind::PeerUnavailable)?;
    let mut ticks = tokio::time::interval(CHUNK_EVERY);
    for _ in 0..plan.chunks {
        ticks.tick().await;
        let text = BASE64_STANDARD.encode(plan.chunk());
        let message = serde_json::value::to_raw_value(&text).change_context(ErrorKind::Internal)?;
        sink.send(message)
            .await
            .change_context(ErrorKind::PeerUnavailable)?;
    }
    Ok(())
}

async fn read_one(client: &WsClient, plan: Plan) -> Result<Ages> {
    let parameters = jsonrpsee::rpc_params![];
    let mut chunks: Subscription<String> = client
        .subscribe("stream", parameters, "stop")
        .await
        .change_context(ErrorKind::PeerUnavailable)?;
    let mut ages = no_ages();
    for _ in 0..plan.chunks {
        let ended = || Report::new(ErrorKind::PeerUnavailable).attach("a stream ended early");
        let text = chunks.next().await.ok_or_else(ended)?;
        let text = text.change_context(ErrorKind::PeerUnavailable)?;
        let chunk = BASE64_STANDARD
            .decode(text)
            .change_context(ErrorKind::PeerUnavailable)?;
        // The histogram grows by itself.
        let _ = ages.record(plan.age_us(&chunk));
    }
    Ok(ages)
}
