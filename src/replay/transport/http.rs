//! Streams as bodies of HTTP responses.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::Arc, //
};

use error_stack::Report;
use futures_util::{
    StreamExt,
    future::try_join_all,
    stream, //
};
use ntex::{
    util::Bytes,
    web::{
        self,
        App,
        HttpResponse, //
    },
};
use tokio::sync::Notify;

use super::{
    Ages,
    CHUNK_BYTES,
    CHUNK_EVERY,
    Plan,
    Transport,
    no_ages, //
};
use crate::{
    error::{
        ErrorKind,
        Result, //
    },
    process::{
        client,
        http_server, //
    },
};

pub(super) struct HttpBodies;

impl Transport for HttpBodies {
    const NAME: &'static str = "http body";

    async fn serve(listener: TcpListener, plan: Plan, stop: Arc<Notify>) -> Result<()> {
        let config = http_server::config("transport");
        let server = http_server::start(listener, config, 1, async move || {
            App::new().state(plan).route("/", web::get().to(paced))
        })?;
        stop.notified().await;
        server.stop(false).await;
        Ok(())
    }

    async fn read(address: SocketAddr, plan: Plan) -> Result<Ages> {
        let client = client::build("transport").await?;
        let streams = (0..plan.streams).map(|_| read_one(&client, address, plan));
        let mut ages = no_ages();
        for each in try_join_all(streams).await? {
            // Both have the same shape.
            let _ = ages.add(each);
        }
        Ok(ages)
    }
}

async fn paced(plan: web::types::State<Plan>) -> HttpResponse {
    let plan = *plan.get_ref();
    let ticks = (tokio::time::interval(CHUNK_EVERY), 0);
    let chunks = stream::unfold(ticks, move |(mut ticks, sent)| async move {
        if sent == plan.chunks {
            return None;
        }
        ticks.tick().await;
        let chunk = Ok::<_, std::io::Error>(Bytes::from(plan.chunk()));
        Some((chunk, (ticks, sent + 1)))
    });
    HttpResponse::Ok().streaming(Box::pin(chunks))
}

async fn read_one(client: &ntex::client::Client, address: SocketAddr, plan: Plan) -> Result<Ages> {
    let failed = |error: String| Report::new(ErrorKind::PeerUnavailable).attach(error);
    let response = client.get(client::url(address, "/")).send().await;
    let mut response = response.map_err(|error| failed(error.to_string()))?;
    let mut ages = no_ages();
    let mut rest: Vec<u8> = Vec::new();
    while let Some(part) = response.next().await {
        let part = part.map_err(|error| failed(error.to_string()))?;
        rest.extend_from_slice(&part);
        let whole_bytes = rest.len() - rest.len() % CHUNK_BYTES;
        for chunk in rest[..whole_bytes].chunks_exact(CHUNK_BYTES) {
            // The histogram grows by itself.
            let _ = ages.record(plan.age_us(chunk));
        }
        rest.drain(..whole_bytes);
    }
    if ages.len() != plan.chunks as u64 {
        return Err(failed("a stream ended early".to_owned()));
    }
    Ok(ages)
}
