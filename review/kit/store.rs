//! The platform's store: objects by kind and name, with revisions and watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Exchange},
    json::Json,
};

#[derive(Clone)]
struct Object {
    rev: u64,
    spec: Json,
    status: Json,
    is_removed: bool,
}

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Object>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

fn show(name: &str, object: &Object) -> Json {
    let meta = vec![
        ("name".to_owned(), Json::Text(name.to_owned())),
        ("rev".to_owned(), Json::Number(object.rev.to_string())),
        ("created".to_owned(), Json::Number("1".to_owned())),
        ("finalizers".to_owned(), Json::List(vec![])),
        ("deleting".to_owned(), Json::Bool(false)),
    ];
    Json::Table(vec![
        ("meta".to_owned(), Json::Table(meta)),
        ("spec".to_owned(), object.spec.clone()),
        ("status".to_owned(), object.status.clone()),
    ])
}

impl Store {
    /// Opens the store on a free port of an address.
    pub fn start(ip: &str) -> (Store, SocketAddr) {
        let store = Store::default();
        store.state.0.lock().unwrap().rev = 10;
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let served = store.clone();
        http::serve(listener, move |exchange| served.handle(exchange));
        (store, address)
    }

    /// Writes the spec of an object, as the operator and the servers do. Returns the
    /// revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let spec = Json::parse(spec).expect("spec is JSON");
        self.change(kind, name, |object| object.spec = spec)
    }

    pub fn remove(&self, kind: &str, name: &str) -> u64 {
        self.change(kind, name, |object| object.is_removed = true)
    }

    fn change(&self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let rev = state.rev + 1;
        state.rev = rev;
        let key = (kind.to_owned(), name.to_owned());
        let object = state.objects.entry(key).or_insert(Object {
            rev,
            spec: Json::Null,
            status: Json::Null,
            is_removed: false,
        });
        object.rev = rev;
        object.is_removed = false;
        change(object);
        changed.notify_all();
        rev
    }

    /// Returns the number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        let objects = state.objects.iter();
        objects.filter(|(key, object)| key.0 == kind && !object.is_removed).count()
    }

    fn handle(&self, mut exchange: Exchange) -> bool {
        let target = exchange.request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut segments = path.trim_start_matches("/objects/").split('/');
        let kind = segments.next().unwrap_or_default().to_owned();
        let name = segments.next().map(str::to_owned);
        let is_status = segments.next() == Some("status");
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == wanted)?.1.parse::<u64>().ok()
        };
        let method = exchange.request.method().to_owned();
        let (status, body) = match (method.as_str(), name) {
            ("GET", None) => match parameter("watch") {
                Some(since) => ("200 OK", self.watch(&kind, since, parameter("wait-ms"))),
                None => ("200 OK", self.list(&kind)),
            },
            ("GET", Some(name)) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(object) if !object.is_removed => ("200 OK", show(&name, object)),
                    _ => ("404 Not Found", Json::Null),
                }
            }
            (_, name) => self.write(&method, &kind, name, is_status, &exchange.request.text()),
        };
        let body = body.to_string();
        let fields = [("content-type", "application/json".to_owned())];
        exchange.answer(status, &fields, body.as_bytes())
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<String>,
        is_status: bool,
        body: &str,
    ) -> (&'static str, Json) {
        let Some(body) = Json::parse(body) else {
            return ("400 Bad Request", Json::Null);
        };
        let meta = body.get("meta");
        let meta_name = meta.and_then(|meta| meta.get("name")?.text().map(str::to_owned));
        let Some(name) = name.or(meta_name) else {
            return ("400 Bad Request", Json::Null);
        };
        let wanted_rev = meta.and_then(|meta| meta.get("rev")?.number());
        let key = (kind.to_owned(), name.clone());
        let known = self.state.0.lock().unwrap().objects.get(&key).cloned();
        let known = known.filter(|object| !object.is_removed);
        match (&known, method) {
            (Some(object), "POST") => return ("409 Conflict", show(&name, object)),
            (Some(object), _) if wanted_rev.is_some_and(|rev| rev != object.rev) => {
                return ("409 Conflict", show(&name, object));
            }
            (None, "PUT") => return ("404 Not Found", Json::Null),
            _ => {}
        }
        self.change(kind, &name, |object| {
            if is_status {
                object.status = body.get("status").cloned().unwrap_or(Json::Null);
            } else {
                object.spec = body.get("spec").cloned().unwrap_or(Json::Null);
            }
        });
        let state = self.state.0.lock().unwrap();
        ("200 OK", show(&name, &state.objects[&key]))
    }

    fn list(&self, kind: &str) -> Json {
        let state = self.state.0.lock().unwrap();
        let objects = state.objects.iter();
        let items = objects
            .filter(|(key, object)| key.0 == kind && !object.is_removed)
            .map(|(key, object)| show(&key.1, object));
        Json::Table(vec![
            ("items".to_owned(), Json::List(items.collect())),
            ("has-more".to_owned(), Json::Bool(false)),
            ("current-rev".to_owned(), Json::Number(state.rev.to_string())),
        ])
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: Option<u64>) -> Json {
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0).min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let objects = state.objects.iter();
            let mut later: Vec<_> = objects
                .filter(|(key, object)| key.0 == kind && object.rev > since)
                .collect();
            let now = Instant::now();
            if !later.is_empty() || now >= until {
                later.sort_by_key(|(_, object)| object.rev);
                let events = later.iter().map(|(key, object)| {
                    Json::Table(vec![
                        ("object".to_owned(), show(&key.1, object)),
                        ("tombstone".to_owned(), Json::Bool(object.is_removed)),
                    ])
                });
                return Json::Table(vec![
                    ("events".to_owned(), Json::List(events.collect())),
                    ("current-rev".to_owned(), Json::Number(state.rev.to_string())),
                ]);
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}
