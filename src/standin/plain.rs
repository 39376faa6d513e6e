//! Stand-in of a plain service whose calls must not be repeated.
//!
//! It counts executions by request body, so that tests can compare the count
//! with what callers were told.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    net::TcpListener,
    rc::Rc,
    time::Duration, //
};

use futures_util::stream;
use ntex::{
    http::StatusCode,
    server::Server,
    util::Bytes,
    web::{
        self,
        App,
        HttpRequest,
        HttpResponse, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;

use super::http::{
    header_texts,
    injected_break,
    payload_config, //
};
use crate::{
    error::Result,
    process::http_server, //
};

/// Bytes of one part of a large answer.
const PART_BYTES: usize = 16 << 10;

/// Faults that a stand-in plain service injects, set with `PUT /faults`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlainFaults {
    /// Executes and then breaks the connection instead of answering.
    pub break_after_execution: bool,
    /// Executes and never answers.
    pub hang_after_execution: bool,
    /// Answers with this status without executing.
    pub refuse_status: Option<u16>,
    /// Adds to the time of an execution, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Default)]
struct Service {
    work_ms: u64,
    faults: RefCell<PlainFaults>,
    executions: RefCell<BTreeMap<String, u64>>,
    total: Cell<u64>,
    headers: RefCell<Vec<String>>,
}

type State = web::types::State<Rc<Service>>;

/// Starts the server inside the running ntex `System`.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`](crate::error::ErrorKind::Io) when the listener cannot be used.
pub fn serve(work_ms: u64, listener: TcpListener) -> Result<Server> {
    let config = http_server::config("target");
    http_server::start(listener, config, 1, async move || {
        let service = Rc::new(Service {
            work_ms,
            ..Service::default()
        });
        App::new()
            .state(service)
            .state(payload_config())
            .route("/faults", web::put().to(faults))
            .route("/executions", web::get().to(executions))
            .route("/received", web::get().to(received))
            .default_service(web::route().to(execute))
    })
}

#[derive(Default, Deserialize)]
struct ExecuteQuery {
    /// Size of the answer, in bytes.
    answer_bytes: Option<usize>,
}

async fn execute(
    service: State,
    request: HttpRequest,
    query: web::types::Query<ExecuteQuery>,
    body: Bytes,
) -> HttpResponse {
    let faults = service.faults.borrow().clone();
    if let Some(status) = faults.refuse_status {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return HttpResponse::build(status).finish();
    }
    service.note_headers(&request);
    tokio::time::sleep(Duration::from_millis(service.work_ms + faults.slow_ms)).await;
    let number = service.count(&body);
    if faults.hang_after_execution {
        std::future::pending::<()>().await;
    }
    if faults.break_after_execution {
        let broken = Err::<Bytes, _>(injected_break());
        return HttpResponse::Ok().streaming(Box::pin(stream::once(async { broken })));
    }
    if let Some(length) = query.answer_bytes {
        return HttpResponse::Ok().streaming(large_answer(length));
    }
    HttpResponse::Ok().json(&json!({
        "execution": number,
        "method": request.method().as_str(),
        "path": request.path(),
        "body_bytes": body.len(),
    }))
}

fn large_answer(length: usize) -> impl stream::Stream<Item = std::io::Result<Bytes>> + Unpin {
    Box::pin(stream::unfold(0, move |sent| async move {
        if sent >= length {
            return None;
        }
        let part: Vec<u8> = (sent..length.min(sent + PART_BYTES))
            .map(large_answer_byte)
            .collect();
        let next = sent + part.len();
        Some((Ok(Bytes::from(part)), next))
    }))
}

/// Returns the byte at a position of a large answer.
///
/// ```
/// assert_eq!(yuccalatch::standin::plain::large_answer_byte(0), b'a');
/// ```
pub fn large_answer_byte(position: usize) -> u8 {
    // A period that does not divide any buffer size makes misplaced parts visible.
    const ALPHABET: &[u8] = b"abcdefghijklmnopqrstuvw";
    ALPHABET[position % ALPHABET.len()]
}

impl Service {
    fn count(&self, body: &[u8]) -> u64 {
        self.total.set(self.total.get() + 1);
        let body = String::from_utf8_lossy(body).into_owned();
        let mut executions = self.executions.borrow_mut();
        let count = executions.entry(body).or_insert(0);
        *count += 1;
        *count
    }

    fn note_headers(&self, request: &HttpRequest) {
        let mut seen = self.headers.borrow_mut();
        seen.push(request.uri().to_string());
        seen.extend(header_texts(request).map(|(name, value)| format!("{name}: {value}")));
    }
}

async fn faults(service: State, faults: web::types::Json<PlainFaults>) -> HttpResponse {
    *service.faults.borrow_mut() = faults.into_inner();
    HttpResponse::build(StatusCode::NO_CONTENT).finish()
}

async fn executions(service: State) -> HttpResponse {
    HttpResponse::Ok().json(&json!({
        "total": service.total.get(),
        "by_body": *service.executions.borrow(),
    }))
}

async fn received(service: State) -> HttpResponse {
    HttpResponse::Ok().json(&*service.headers.borrow())
}
