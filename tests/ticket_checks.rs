//! Ticket checks: every rule names the place of the value that breaks it.

mod support;

use quickcheck::{
    Gen,
    QuickCheck, //
};
use support::base_text;
use yuccalatch::{
    error::ErrorKind,
    version::{
        config::{
            Applied,
            Fold,
            Object, //
        },
        rollout::plan::{
            self,
            PICKUP_MS, //
        },
        ticket::{
            Ticket,
            TicketFile,
            Violation,
            check,
            check_deadlines,
            plan_request, //
        },
    },
};

fn base() -> Fold {
    let file = TicketFile::parse("base.json", base_text()).unwrap();
    let mut fold = Fold::default();
    assert_eq!(fold.apply(1, file.ticket()), Applied::Changed);
    fold
}

fn file(set: &str, remove: &str) -> TicketFile {
    let text = format!(
        "{{\n\"ticket\": 9, \"author\": \"ines\", \"comment\": \"c\",\n\
         \"set\": [\n{set}\n],\n\"remove\": [\n{remove}\n]}}"
    );
    TicketFile::parse("t.json", &text).unwrap()
}

fn violations(set: &str, remove: &str) -> Vec<Violation> {
    check(&base(), file(set, remove).ticket())
}

fn first_message(set: &str, remove: &str) -> String {
    violations(set, remove)[0].to_string()
}

/// Guards against messages without the place or the advice.
#[test]
fn parse_problems() {
    let problem = |text: &str| {
        let report = TicketFile::parse("t.json", text).unwrap_err();
        report.current_context().to_string()
    };
    let wrong_unit = base_text().replace("rate_tokens_per_s", "rate_tokens_per_min");
    assert_eq!(
        problem(&wrong_unit),
        "t.json:7:39: unknown field `rate_tokens_per_min`, expected one of `name`, \
         `rate_tokens_per_s`, `burst_tokens`, `weight` \
         (hint: state the value in the unit of `rate_tokens_per_s`)"
    );
    let text_value = base_text().replace("30000", "\"30s\"");
    assert!(problem(&text_value).contains("write a plain number"));
    let misspelt = base_text().replace("\"burst_tokens\"", "\"burst_token\"");
    assert!(problem(&misspelt).contains("did you mean `burst_tokens`?"));
    let unknown_kind = base_text().replace("{\"key\":", "{\"keys\":");
    assert!(problem(&unknown_kind).contains("t.json:9:6: unknown variant `keys`"));
    let missing = base_text().replace("\"author\": \"ines\",", "");
    assert!(problem(&missing).contains("hint: add `author`"));
    let negative = base_text().replace("100, \"burst", "-1, \"burst");
    assert!(problem(&negative).contains("whole number from 0 up"));
    assert!(problem("{\"ticket\": 1,}").starts_with("t.json:1:"));
    assert!(problem("{\"ticket\": 1} /* open").starts_with("t.json:1:"));
    let twice = base_text().replace("\"weight\": 1}", "\"weight\": 1, \"weight\": 1}");
    assert!(problem(&twice).contains("duplicate field `weight`"));
}

/// Guards against refusals that point at the wrong line.
#[test]
fn positions() {
    let set = "{\"organisation\": {\"name\": \"acme\", \"rate_tokens_per_s\": 5,\n\
               \"burst_tokens\": 0, \"weight\": 1}}";
    let file = file(set, "");
    let found = check(&base(), file.ticket());
    assert_eq!(found.len(), 1);
    let problem = file.problem(&found[0]);
    assert_eq!((problem.position.line, problem.position.column), (5, 17));
}

/// Guards against a zero or absurd rate, burst, weight or time.
#[test]
fn number_ranges() {
    let organisation = |rate: u64, burst: u64, weight: u64| {
        format!(
            "{{\"organisation\": {{\"name\": \"o\", \"rate_tokens_per_s\": {rate}, \
             \"burst_tokens\": {burst}, \"weight\": {weight}}}}}"
        )
    };
    assert!(violations(&organisation(1, 1, 1), "").is_empty());
    assert!(first_message(&organisation(0, 1, 1), "").contains("`rate_tokens_per_s` is 0"));
    assert!(first_message(&organisation(1, 0, 1), "").contains("`burst_tokens` is 0"));
    assert!(first_message(&organisation(1, 1, 0), "").contains("`weight` is 0"));
    let huge = u64::MAX;
    assert!(first_message(&organisation(huge, 1, 1), "").contains("per second"));
    let seconds = "{\"move\": {\"name\": \"m\", \"service\": \"draft\", \"from\": \"oak-1\", \
                   \"to\": \"oak-2\", \"finish_by_unix_ms\": 1900000000}}";
    assert!(first_message(seconds, "").contains("not seconds"));
}

/// Guards against references to nothing and removal of what is in use.
#[test]
fn references() {
    let key = "{\"key\": {\"name\": \"k\", \"organisation\": \"nobody\", \"digest\": \
               \"00000000000000000000000000000000000000000000000000000000000000ff\"}}";
    assert!(first_message(key, "").contains("organisation `nobody`, which does not exist"));
    let used = "{\"kind\": \"organisation\", \"name\": \"acme\"}";
    assert!(first_message("", used).contains("still used by key `acme-1`"));
    let absent = "{\"kind\": \"route\", \"name\": \"none\"}";
    assert!(first_message("", absent).contains("does not exist"));
    let both = "{\"kind\": \"key\", \"name\": \"acme-1\"},\n\
                {\"kind\": \"route\", \"name\": \"chat\"},\n\
                {\"kind\": \"organisation\", \"name\": \"acme\"}";
    assert!(violations("", both).is_empty());
}

/// Guards against one object with two states and against two equal keys.
#[test]
fn duplicates() {
    let version = "{\"version\": {\"name\": \"v\", \"service\": \"draft\", \"weights\": \"w\"}}";
    let twice = format!("{version},\n{version}");
    assert!(first_message(&twice, "").contains("version `v` is set twice"));
    let remove = "{\"kind\": \"version\", \"name\": \"v\"}";
    let found = violations(version, remove);
    assert!(found.iter().any(|v| v.message.contains("occurs twice")));
    let twin = "{\"key\": {\"name\": \"twin\", \"organisation\": \"brazos\", \"digest\": \
                \"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\"}}";
    assert!(first_message(twin, "").contains("key `acme-1` has the same digest"));
}

/// Guards against routes that shadow each other or match paths in two ways.
#[test]
fn routes() {
    let route = |prefix: &str, access: &str, rest: &str| {
        format!(
            "{{\"route\": {{\"name\": \"r\", \"path_prefix\": \"{prefix}\", \
             \"methods\": [\"GET\"], \"service\": \"files\", \"access\": \"{access}\", \
             \"idempotent\": true, \"timeout_ms\": 100{rest}}}}}"
        )
    };
    assert!(violations(&route("/", "public", ""), "").is_empty());
    for prefix in ["", "x", "/a//b", "/a/../b", "/a/", "/%2e", "/a?b"] {
        let message = first_message(&route(prefix, "public", ""), "");
        assert!(message.contains("not a valid path prefix"), "{prefix}");
    }
    assert!(first_message(&route("/files", "keyed", ""), "").contains("same requests"));
    let limited = route("/x", "public", ", \"organisations\": [\"acme\"]");
    assert!(first_message(&limited, "").contains("public route"));
    let nobody = route("/x", "keyed", ", \"organisations\": []");
    assert!(first_message(&nobody, "").contains("empty"));
    let model = route("/x", "keyed", ", \"model\": \"oak\"");
    assert!(first_message(&model, "").contains("does not serve this model"));
}

/// Guards against a change of a service that breaks the routes to it.
#[test]
fn changed_service() {
    let renamed = "{\"service\": {\"name\": \"draft\", \"kind\": \"model\", \"model\": \"elm\", \
                   \"block_tokens\": 1000, \"parallel_loads\": 2, \"load_ms\": 500}}";
    assert!(first_message(renamed, "").contains("conflicts with route `chat`"));
    let moved = "{\"version\": {\"name\": \"oak-1\", \"service\": \"files\", \"weights\": \"w\"}}";
    assert!(first_message(moved, "").contains("conflicts with target `t1`"));
}

/// Guards against moves that cannot finish in time or compete.
#[test]
fn moves() {
    let text = |name: &str, to: &str| {
        format!(
            "{{\"move\": {{\"name\": \"{name}\", \"service\": \"draft\", \"from\": \"oak-1\", \
             \"to\": \"{to}\", \"finish_by_unix_ms\": 1900000000000}}}}"
        )
    };
    let two = format!("{},\n{}", text("m", "oak-2"), text("n", "oak-2"));
    assert!(first_message(&two, "").contains("already moves service `draft`"));
    assert!(first_message(&text("m", "oak-1"), "").contains("in use"));
    assert!(first_message(&text("m", "files-1"), "").contains("belongs to service `files`"));
    let file = file(&text("m", "oak-2"), "");
    let at = |now| check_deadlines(&base(), file.ticket(), now);
    // Loading takes 4 s, each of five steps without a stated rate 603 s, the
    // settling period 63 s, the longest request 33 s, planning 8 s.
    let latest = 1_900_000_000_000 - 4_000 - 5 * 603_000 - 63_000 - 33_000 - 8_000;
    assert!(at(latest).is_empty());
    let refused = &at(latest + 1)[0];
    assert_eq!(refused.kind, ErrorKind::MoveInfeasible);
    assert!(refused.message.contains("before 1900000000001"));
}

/// Returns a ticket with a move, and with more targets and another timeout.
fn move_ticket(targets: u64, rate: u64, pace: &str, finish_by_unix_ms: u64) -> Ticket {
    let mut set: Vec<String> = (0..targets)
        .map(|number| {
            let port = 9_000 + 2 * number;
            format!(
                "{{\"target\": {{\"name\": \"more-{number}\", \"service\": \"draft\", \
                 \"data_centre\": \"b\", \"address\": \"127.0.0.1:{port}\", \
                 \"control_address\": \"127.0.0.1:{}\", \"version\": \"oak-1\"}}}}",
                port + 1
            )
        })
        .collect();
    set.push(format!(
        "{{\"move\": {{\"name\": \"m\", \"service\": \"draft\", \"from\": \"oak-1\", \
         \"to\": \"oak-2\", \"finish_by_unix_ms\": {finish_by_unix_ms}, \
         \"quietest_requests_per_min\": {rate}, \"pace\": {pace}}}}}"
    ));
    file(&set.join(",\n"), "").ticket().clone()
}

/// Guards against a time that is accepted although the holder of the move cannot
/// meet it, and against a refusal that names a time which is refused as well.
#[test]
fn accepted_times_are_planned() {
    fn property(targets: u8, rate: u16, settle_ms: u16, delay_ms: u16, slack_ms: u16) -> bool {
        let now_unix_ms = 1_800_000_000_000;
        let pace = format!("{{\"settle_ms\": {}}}", u64::from(settle_ms) + 1);
        let ticket = |finish_by_unix_ms| {
            let targets = u64::from(targets % 16);
            move_ticket(targets, u64::from(rate) + 1, &pace, finish_by_unix_ms)
        };
        let too_early = check_deadlines(&base(), &ticket(now_unix_ms), now_unix_ms);
        let words = too_early[0].message.rsplit(' ').next().unwrap();
        let earliest_unix_ms: u64 = words.parse().unwrap();
        let just_before = ticket(earliest_unix_ms - 1);
        let finish_by_unix_ms = earliest_unix_ms + u64::from(slack_ms);
        let accepted = ticket(finish_by_unix_ms);
        let mut fold = base();
        fold.apply(2, &accepted);
        let Some(Object::Move(row)) = accepted.set.last() else {
            return false;
        };
        let planned_unix_ms = now_unix_ms + u64::from(delay_ms) % (PICKUP_MS + 1);
        let request = plan_request(&fold, row, planned_unix_ms).unwrap();
        check(&base(), &accepted).is_empty()
            && !check_deadlines(&base(), &just_before, now_unix_ms).is_empty()
            && check_deadlines(&base(), &accepted, now_unix_ms).is_empty()
            && plan::accept(&request).is_ok_and(|plan| {
                plan == plan::schedule(&request) && plan.load_at_unix_ms >= planned_unix_ms
            })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .tests(300)
        .quickcheck(property as fn(u8, u16, u16, u16, u16) -> bool);
}

/// Guards against a plan of a move without bounds for what its ticket states.
#[test]
fn move_ranges() {
    let message = |rate, pace| {
        let ticket = move_ticket(0, rate, pace, 1_900_000_000_000);
        check(&base(), &ticket).first().map(ToString::to_string)
    };
    assert_eq!(message(1, "{}"), None);
    assert!(
        message(0, "{}")
            .unwrap()
            .contains("`quietest_requests_per_min` is 0")
    );
    let step = message(1, "{\"shortest_step_ms\": 600001}");
    assert!(step.unwrap().contains("`pace` is 600001"));
    assert!(
        message(1, "{\"settle_ms\": 0}")
            .unwrap()
            .contains("`pace` is 0")
    );
}

/// Guards against the move of a plain service to a release that no target runs:
/// nothing could be loaded.
#[test]
fn plain_moves() {
    let release = "{\"version\": {\"name\": \"files-2\", \"service\": \"files\", \
                   \"weights\": \"release-2\"}}";
    let target = "{\"target\": {\"name\": \"f2\", \"service\": \"files\", \
                  \"data_centre\": \"a\", \"address\": \"127.0.0.1:7011\", \
                  \"control_address\": \"127.0.0.1:7012\", \"version\": \"files-2\"}}";
    let moved = "{\"move\": {\"name\": \"m\", \"service\": \"files\", \
                 \"from\": \"files-1\", \"to\": \"files-2\", \
                 \"finish_by_unix_ms\": 1900000000000}}";
    let without = first_message(&format!("{release},\n{moved}"), "");
    assert!(
        without.contains("has no target of the version"),
        "{without}"
    );
    assert!(violations(&format!("{release},\n{target},\n{moved}"), "").is_empty());
}
