//! Rules for the fields of each kind of object.

use super::{
    check::Findings,
    outlook::Outlook, //
};
use crate::{
    names::Name,
    version::{
        config::{
            Access,
            Key,
            Kind,
            Move,
            Object,
            ObjectId,
            Organisation,
            Route,
            Service,
            ServiceKind,
            Target,
            Version, //
        },
        rollout::plan::LONGEST_STEP_MS, //
    },
};

const MAX_NAME_BYTES: usize = 64;
const MAX_PREFIX_BYTES: usize = 256;
// The design scale needs 1.5 million tokens per second for the whole fleet;
// larger rates point to a wrong unit.
const MAX_RATE_TOKENS_PER_S: u64 = 1_000_000_000;
const MAX_BURST_TOKENS: u64 = 1_000_000_000_000;
const MAX_WEIGHT: u32 = 1_000;
const MAX_BLOCK_TOKENS: u32 = 1 << 20;
const MAX_LOAD_MS: u64 = 3_600_000;
const MAX_SETTLE_MS: u64 = 86_400_000;
// The design scale has 6,800 requests per second; larger rates point to a wrong
// unit.
const MAX_REQUESTS_PER_MIN: u64 = 60_000_000;
// No request finishes within less than 10 ms; smaller values are most likely
// seconds.
const MIN_TIMEOUT_MS: u64 = 10;
const MAX_TIMEOUT_MS: u64 = 86_400_000;
// The years 2001 and 5138. Unix seconds are below, microseconds above.
const MIN_UNIX_MS: u64 = 1_000_000_000_000;
const MAX_UNIX_MS: u64 = 100_000_000_000_000;

/// Checks the fields of an object as it will be after the ticket.
pub(super) fn check_object(outlook: &Outlook<'_>, object: &Object, findings: &mut Findings) {
    check_name(object.name(), "name", findings);
    match object {
        Object::Organisation(row) => check_organisation(row, findings),
        Object::Key(row) => check_key(outlook, row, findings),
        Object::Service(row) => check_service(row, findings),
        Object::Version(row) => check_version(row, findings),
        Object::Target(row) => check_target(outlook, row, findings),
        Object::Route(row) => check_route(outlook, row, findings),
        Object::Move(row) => check_move(outlook, row, findings),
    }
}

fn check_name(name: &str, field: &'static str, findings: &mut Findings) {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_valid) {
        let message = format!("`{name}` is not a valid name");
        let hint = "use 1 to 64 letters, digits, dots, dashes or underscores";
        findings.add(field, message, hint);
    }
}

fn check_text(text: &str, field: &'static str, findings: &mut Findings) {
    let is_valid = |c: char| c.is_ascii_graphic();
    if text.is_empty() || text.len() > MAX_PREFIX_BYTES || !text.chars().all(is_valid) {
        let message = format!("`{text}` is not a valid {field}");
        findings.add(field, message, "use 1 to 256 printable ASCII characters");
    }
}

fn check_range(
    value: u64,
    (min, max): (u64, u64),
    field: &'static str,
    hint: &'static str,
    findings: &mut Findings,
) {
    if value < min || value > max {
        let message = format!("`{field}` is {value}, but must be between {min} and {max}");
        findings.add(field, message, hint);
    }
}

fn check_organisation(row: &Organisation, findings: &mut Findings) {
    check_range(
        row.rate_tokens_per_s,
        (1, MAX_RATE_TOKENS_PER_S),
        "rate_tokens_per_s",
        "state tokens per second; withdraw the keys to stop an organisation",
        findings,
    );
    check_range(
        row.burst_tokens,
        (1, MAX_BURST_TOKENS),
        "burst_tokens",
        "state tokens; a request that costs more than the burst is never admitted",
        findings,
    );
    check_range(
        row.weight.into(),
        (1, MAX_WEIGHT.into()),
        "weight",
        "1 is the usual weight",
        findings,
    );
}

fn check_key(outlook: &Outlook<'_>, row: &Key, findings: &mut Findings) {
    if let Some(twin) = outlook.twin_key(row) {
        let message = format!("key `{twin}` has the same digest");
        findings.add("digest", message, "create a new key text for every key");
    }
}

fn check_service(row: &Service, findings: &mut Findings) {
    match (row.kind, &row.model) {
        (ServiceKind::Model, None) => {
            let message = "a model service has to name its model";
            findings.add("model", message, "add the field `model`");
        }
        (ServiceKind::Plain, Some(_)) => {
            let message = "a plain service has no model";
            findings.add(
                "model",
                message,
                "remove the field or set `kind` to `model`",
            );
        }
        (_, Some(model)) => check_text(model, "model", findings),
        (_, None) => {}
    }
    let min_block_tokens = u64::from(row.kind == ServiceKind::Model);
    check_range(
        row.block_tokens.into(),
        (min_block_tokens, MAX_BLOCK_TOKENS.into()),
        "block_tokens",
        "state the tokens in one cache block of the engines",
        findings,
    );
    check_range(
        row.parallel_loads.into(),
        (1, u32::MAX.into()),
        "parallel_loads",
        "state how many targets of one data centre may load at the same time",
        findings,
    );
    check_range(
        row.load_ms,
        (0, MAX_LOAD_MS),
        "load_ms",
        "state milliseconds",
        findings,
    );
}

fn check_version(row: &Version, findings: &mut Findings) {
    check_text(&row.weights, "weights", findings);
}

fn check_belongs(
    outlook: &Outlook<'_>,
    version: &Name,
    service: &Name,
    field: &'static str,
    findings: &mut Findings,
) {
    let id = ObjectId::new(Kind::Version, version.clone());
    if let Some(Object::Version(found)) = outlook.get(&id)
        && found.service != *service
    {
        let message = format!("{id} belongs to service `{}`", found.service);
        findings.add(field, message, "name a version of the same service");
    }
}

fn check_target(outlook: &Outlook<'_>, row: &Target, findings: &mut Findings) {
    check_name(&row.data_centre, "data_centre", findings);
    check_belongs(outlook, &row.version, &row.service, "version", findings);
    if let Some(other) = outlook.rival_target(row) {
        let message = format!("target `{other}` has the same address");
        findings.add("address", message, "every agent has its own listeners");
    }
    if row.address == row.control_address {
        let message = "both listeners have the same address";
        findings.add("control_address", message, "use two ports");
    }
}

fn check_route(outlook: &Outlook<'_>, row: &Route, findings: &mut Findings) {
    check_prefix(&row.path_prefix, findings);
    check_methods(&row.methods, findings);
    check_organisations(row, findings);
    check_route_model(outlook, row, findings);
    check_range(
        row.timeout_ms,
        (MIN_TIMEOUT_MS, MAX_TIMEOUT_MS),
        "timeout_ms",
        "state milliseconds",
        findings,
    );
    if let Some(rival) = outlook.rival_route(row) {
        let message = format!("route `{rival}` matches the same requests");
        findings.add("path_prefix", message, "change the path, model or methods");
    }
}

fn check_prefix(prefix: &str, findings: &mut Findings) {
    let is_root = prefix == "/";
    let has_bad_segment = prefix
        .split('/')
        .skip(1)
        .any(|segment| matches!(segment, "" | "." | ".."));
    let has_bad_character = prefix
        .chars()
        .any(|c| !c.is_ascii_graphic() || "?#%\\".contains(c));
    let is_valid = prefix.starts_with('/') && !has_bad_segment && !has_bad_character;
    if !is_root && (!is_valid || prefix.len() > MAX_PREFIX_BYTES) {
        let message = format!("`{prefix}` is not a valid path prefix");
        let hint = "start with `/`, and use no empty, dot or encoded segments and no final `/`";
        findings.add("path_prefix", message, hint);
    }
}

fn check_methods(methods: &[String], findings: &mut Findings) {
    let is_valid = |method: &String| {
        !method.is_empty() && method.len() <= 16 && method.chars().all(|c| c.is_ascii_uppercase())
    };
    let mut unique = methods.to_vec();
    unique.sort_unstable();
    unique.dedup();
    if methods.is_empty() || !methods.iter().all(is_valid) || unique.len() != methods.len() {
        let message = "`methods` is not a list of different methods in upper case";
        findings.add("methods", message, "for example [\"GET\", \"POST\"]");
    }
}

fn check_organisations(row: &Route, findings: &mut Findings) {
    let Some(names) = &row.organisations else {
        return;
    };
    if row.access == Access::Public {
        let message = "a public route cannot be limited to organisations";
        findings.add(
            "organisations",
            message,
            "remove the field or set `access` to `keyed`",
        );
    }
    let mut unique = names.clone();
    unique.sort_unstable();
    unique.dedup();
    if names.is_empty() || unique.len() != names.len() {
        let message = "`organisations` is empty or names one twice";
        findings.add(
            "organisations",
            message,
            "remove the field to admit all of them",
        );
    }
}

fn check_route_model(outlook: &Outlook<'_>, row: &Route, findings: &mut Findings) {
    let id = ObjectId::new(Kind::Service, row.service.clone());
    let Some(Object::Service(service)) = outlook.get(&id) else {
        return;
    };
    if row.model.is_some() && row.model != service.model {
        let message = format!("{id} does not serve this model");
        findings.add("model", message, "name the model of the service, or none");
    }
}

fn check_move(outlook: &Outlook<'_>, row: &Move, findings: &mut Findings) {
    check_belongs(outlook, &row.from, &row.service, "from", findings);
    check_belongs(outlook, &row.to, &row.service, "to", findings);
    if row.from == row.to {
        let message = "the move leads to the version that is in use";
        findings.add("to", message, "name another version");
    }
    check_range(
        row.finish_by_unix_ms,
        (MIN_UNIX_MS, MAX_UNIX_MS),
        "finish_by_unix_ms",
        "state milliseconds since 1970, not seconds",
        findings,
    );
    check_range(
        row.quietest_requests_per_min,
        (1, MAX_REQUESTS_PER_MIN),
        "quietest_requests_per_min",
        "state requests per minute of the quietest route",
        findings,
    );
    for (value, max) in [
        (row.pace.shortest_step_ms, LONGEST_STEP_MS),
        (row.pace.step_overhead_ms, LONGEST_STEP_MS),
        (row.pace.settle_ms, MAX_SETTLE_MS),
    ] {
        check_range(value, (1, max), "pace", "state milliseconds", findings);
    }
    check_has_new_target(outlook, row, findings);
    if let Some(rival) = outlook.rival_move(row) {
        let message = format!("move `{rival}` already moves service `{}`", row.service);
        findings.add("service", message, "remove that move first");
    }
}

/// A plain server cannot load another release, so that each release has targets
/// of its own.
fn check_has_new_target(outlook: &Outlook<'_>, row: &Move, findings: &mut Findings) {
    let id = ObjectId::new(Kind::Service, row.service.clone());
    let is_plain = matches!(outlook.get(&id),
        Some(Object::Service(service)) if service.kind == ServiceKind::Plain);
    let is_new = |object: &Object| {
        matches!(object,
            Object::Target(target) if target.service == row.service && target.version == row.to)
    };
    if is_plain && !outlook.of_kind(Kind::Target).any(is_new) {
        let message = format!(
            "plain service `{}` has no target of the version",
            row.service
        );
        findings.add("to", message, "create its targets in the same ticket");
    }
}
