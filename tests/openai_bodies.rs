//! Guards against request bodies and generated streams that are checked, charged or
//! continued wrongly.

use quickcheck::{
    Gen,
    QuickCheck,
    Testable, //
};
use serde_json::json;
use yuccalatch::{
    error::ErrorKind,
    request::openai::{
        BodyLimits, CompletionRequest, Endpoint,
        continuation::Continuation,
        sse::SseParser,
        stream::{
            CompletionStream,
            StreamEnd, //
        },
    },
};

fn parse(endpoint: Endpoint, body: &[u8]) -> Result<CompletionRequest, ErrorKind> {
    let parsed = CompletionRequest::parse(endpoint, body.to_vec().into(), &BodyLimits::default());
    parsed.map_err(|report| *report.current_context())
}

fn chat(body: &serde_json::Value) -> CompletionRequest {
    parse(Endpoint::ChatCompletions, body.to_string().as_bytes()).unwrap()
}

fn check(seed: u64, property: impl Testable) {
    let random = Gen::from_size_and_seed(100, seed);
    QuickCheck::new().rng(random).quickcheck(property);
}

const SAMPLE: &str = r#"{"model":"m","n":1,"tools":[{"a":1}],"prompt":["a\u00e9"],"messages":
    [{"role":"user","content":[{"type":"text","text":"hi"},{"type":"image_url"}]}]}"#;

/// Guards against input that crashes a parser: random bytes, and valid bodies into
/// which a few random bytes are inserted.
#[test]
fn arbitrary_bytes_never_panic() {
    fn property(noise: Vec<u8>, at: usize) -> bool {
        let mut almost = SAMPLE.as_bytes().to_vec();
        let at = at % almost.len();
        almost.splice(at..at, noise.iter().copied().take(3));
        for body in [noise.as_slice(), almost.as_slice()] {
            for endpoint in [Endpoint::ChatCompletions, Endpoint::Completions] {
                if let Ok(parsed) = parse(endpoint, body) {
                    drop(parsed.build_continuation("more", 1));
                }
            }
            let event = [b"data: ", body, b"\n\n"].concat();
            drop(CompletionStream::new().push(&event));
            drop(CompletionStream::new().push(body));
        }
        true
    }
    check(51, property as fn(Vec<u8>, usize) -> bool);
}

/// Guards against bodies that are invalid, ambiguous or larger, deeper or wider than
/// the bounds allow.
#[test]
fn bad_bodies_are_refused() {
    let deep = format!(
        r#"{{"model":"m","prompt":"a","x":{}1{}}}"#,
        "[".repeat(100),
        "]".repeat(100)
    );
    let wide = format!(r#"{{"model":"m","prompt":"a"{}}}"#, r#","x":1"#.repeat(300));
    for body in [
        "",
        "[]",
        r#"{"model":"m"}"#,
        r#"{"model":"","prompt":"a"}"#,
        r#"{"model":"m","prompt":[]}"#,
        r#"{"model":"m","prompt":7}"#,
        r#"{"model":"m","prompt":[1,"a"]}"#,
        r#"{"model":"m","model":"n","prompt":"a"}"#,
        r#"{"model":"m","prompt":"a","max_tokens":-1}"#,
        r#"{"model":"m","prompt":"a","max_tokens":1,"max_completion_tokens":2}"#,
        r#"{"model":"m","prompt":"a","n":0}"#,
        r#"{"model":"m","prompt":"a","n":4000000000}"#,
        r#"{"model":"m","prompt":"a"} x"#,
        &deep,
        &wide,
    ] {
        let shown = body.get(..60).unwrap_or(body);
        let refusal = parse(Endpoint::Completions, body.as_bytes()).err();
        assert_eq!(refusal, Some(ErrorKind::BadRequest), "{shown}");
    }
    let parts = r#"{"type":"text","text":""},"#.repeat(20_000);
    let messages = format!(
        r#"[{{"role":"user","content":[{}]}}]"#,
        parts.trim_end_matches(',')
    );
    let many = format!(r#"{{"model":"m","messages":{messages}}}"#);
    let refusal = parse(Endpoint::ChatCompletions, many.as_bytes()).err();
    assert_eq!(refusal, Some(ErrorKind::BadRequest));
    let limits = BodyLimits {
        max_body_bytes: 10,
        ..BodyLimits::default()
    };
    let body = SAMPLE.as_bytes().into();
    let refusal = CompletionRequest::parse(Endpoint::Completions, body, &limits).unwrap_err();
    assert_eq!(*refusal.current_context(), ErrorKind::BodyTooLarge);
    let invalid = parse(Endpoint::Completions, b"{\"model\":\"\xff\"}").err();
    assert_eq!(invalid, Some(ErrorKind::BadRequest));
}

/// Guards against wrong token counts: the bound for the output applies to each
/// sequence, and an image counts as a fixed number of tokens.
#[test]
fn costs_count_sequences_and_images() {
    let parsed = parse(Endpoint::Completions, SAMPLE.as_bytes()).unwrap();
    assert_eq!((&*parsed.model, parsed.stream), ("m", false));
    let body = json!({
        "model": "m", "stream": true, "n": 2, "max_completion_tokens": 30,
        "messages": [{"role": "user", "content": [
            {"type": "image_url", "image_url": {"url": "x".repeat(1_000_000)}},
        ]}],
    });
    let parsed = chat(&body);
    assert!(parsed.stream);
    assert_eq!(parsed.max_total_output_tokens(1_000), 60);
    assert_eq!(parsed.prompt_tokens(), 1_026);
    let tokens = br#"{"model":"m","prompt":[[1,2,3],[4]],"max_tokens":null}"#;
    let parsed = parse(Endpoint::Completions, tokens).unwrap();
    assert_eq!(parsed.max_total_output_tokens(7), 14);
    assert!(parsed.build_continuation("a", 1).is_err());
}

/// Guards against equal prompts that miss the cache because their JSON is laid out
/// differently, and against different prompts with equal canonical bytes.
#[test]
fn prompt_bytes_ignore_json_layout() {
    let texts = [
        r#"{"model":"m","messages":[{"role":"user","content":"A b"}],"tools":[{"x":[1,"a b"]}]}"#,
        "{\"tools\": [ {\"x\" :\n[1, \"a b\"]} ], \"messages\":[{\"content\":\"\\u0041 b\",\"role\":\"user\"}],\"model\":\"m\"}",
        r#"{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"A b"}]}],"tools":[{"x":[1,"a b"]}]}"#,
    ];
    let prompts = texts.map(|text| parse(Endpoint::ChatCompletions, text.as_bytes()).unwrap());
    assert!(
        prompts
            .iter()
            .all(|parsed| parsed.canonical_prompt == prompts[0].canonical_prompt)
    );
    let of = |messages| chat(&json!({"model": "m", "messages": messages})).canonical_prompt;
    let joined = of(json!([{"role": "user", "content": "ab"}]));
    let split = of(json!([{"role": "user", "content": "a"}, {"role": "", "content": "b"}]));
    let roles = |content, role| {
        let last = json!({"role": role, "content": "b"});
        of(json!([{"role": "user", "content": content}, last]))
    };
    assert_ne!(roles("a", "x"), roles("ax", ""));
    let image = |url| of(json!([{"role": "user", "content": [{"type": "image_url", "u": url}]}]));
    assert_ne!(joined, split);
    assert_ne!(image("a"), image("b"));
}

/// Guards against a conversation that loses its cached prefix when it grows, by a new
/// message or by a continuation after the loss of an engine.
#[test]
fn longer_conversations_keep_their_prefix() {
    fn property(texts: Vec<String>, emitted: String, rest: String) -> bool {
        let message = |text: &String| json!({"role": "user", "content": text});
        let mut messages: Vec<_> = texts.iter().map(message).collect();
        messages.push(message(&rest));
        let whole = chat(&json!({"model": "m", "messages": messages}));
        let mut longer = messages.clone();
        longer.push(json!({"role": "assistant", "content": format!("{emitted}{rest}")}));
        let longer = chat(&json!({"model": "m", "messages": longer}));
        let mut next = whole.clone();
        for text in [&emitted, &rest] {
            let Continuation::Body(body) = next.build_continuation(text, 1).unwrap() else {
                return false;
            };
            next = parse(Endpoint::ChatCompletions, &body).unwrap();
        }
        longer.canonical_prompt.starts_with(&whole.canonical_prompt)
            && (longer.canonical_prompt == next.canonical_prompt
                || emitted.is_empty() && rest.is_empty())
    }
    check(52, property as fn(Vec<String>, String, String) -> bool);
}

/// Guards against a continuation that changes other fields or exceeds the caller's
/// bound for the output.
#[test]
fn continuations_keep_fields() {
    let body =
        r#"{"model":"m","prompt":["a"],"max_tokens":5,"seed":123456789012345678901,"t":1.0}"#;
    let parsed = parse(Endpoint::Completions, body.as_bytes()).unwrap();
    let Continuation::Body(next) = parsed.build_continuation("b", 2).unwrap() else {
        panic!("exhausted");
    };
    let expected =
        r#"{"max_tokens":3,"model":"m","prompt":["ab"],"seed":123456789012345678901,"t":1.0}"#;
    assert_eq!(next, expected.as_bytes());
    assert_eq!(
        parsed.build_continuation("b", 5).unwrap(),
        Continuation::Exhausted
    );
    let echo = br#"{"model":"m","prompt":"a","echo":true}"#;
    assert!(
        parse(Endpoint::Completions, echo)
            .unwrap()
            .build_continuation("b", 1)
            .is_err()
    );
}

/// Guards against events that depend on how the bytes are split between reads.
#[test]
fn events_ignore_read_boundaries() {
    fn property(letters: Vec<u8>, cuts: Vec<u8>) -> bool {
        let pieces: [&[u8]; 7] = [b"data:", b" a", b"\n", b"\r", b"\r\n", b":c", b"\n\n"];
        let pick = |letter: &u8| pieces[usize::from(*letter) % pieces.len()];
        let stream: Vec<u8> = letters.iter().flat_map(pick).copied().collect();
        let whole = SseParser::new().push(&stream).unwrap();
        let mut parser = SseParser::new();
        let mut rest = stream.as_slice();
        let mut events = Vec::new();
        for cut in cuts {
            let (now, later) = rest.split_at(usize::from(cut % 4).min(rest.len()));
            events.extend(parser.push(now).unwrap());
            rest = later;
        }
        events.extend(parser.push(rest).unwrap());
        let data = |events: &[_]| -> Vec<_> {
            let events: &[yuccalatch::request::openai::sse::SseEvent] = events;
            events.iter().map(|event| event.data.clone()).collect()
        };
        let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.clone()).collect();
        data(&events) == data(&whole)
            && stream.starts_with(&raw)
            && (parser.has_partial_event() || stream.len() - raw.len() <= 1)
    }
    check(53, property as fn(Vec<u8>, Vec<u8>) -> bool);
}

/// Guards against events that are split or joined because the lines end in CR or
/// CR LF instead of LF.
#[test]
fn all_line_ends_separate_events() {
    for end in ["\n", "\r", "\r\n"] {
        let lines = ["\u{feff}data: a", "data:b", ":note", "", "data: c", "", ""];
        let mut parser = SseParser::new();
        let mut events = Vec::new();
        for byte in lines.join(end).bytes() {
            events.extend(parser.push(&[byte]).unwrap());
        }
        let data: Vec<_> = events.into_iter().map(|event| event.data).collect();
        assert_eq!(data, [Some("a\nb".into()), Some("c".into())], "{end:?}");
        assert!(!parser.has_partial_event());
    }
}

/// Guards against an incomplete stream that counts as complete, and against text that
/// is lost or repeated where the stream ends early.
#[test]
fn incomplete_streams_are_continuable() {
    let mut whole = Vec::new();
    for word in ["One ", "more ", "\u{e9}\\n"] {
        whole.extend_from_slice(b": ping\r\n\r\ndata: ");
        let chunk = format!(r#"{{"choices":[{{"index":0,"delta":{{"content":"{word}"}}}}]}}"#);
        whole.extend_from_slice(chunk.as_bytes());
        whole.extend_from_slice(b"\n\n");
    }
    let generated = whole.len();
    whole.extend_from_slice(b"data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n");
    let finished = whole.len();
    whole.extend_from_slice(b"data: [DONE]\n\n");
    for cut in 0..=whole.len() {
        let mut stream = CompletionStream::new();
        let events = stream.push(&whole[..cut]).unwrap();
        let expected = match cut {
            _ if cut == whole.len() => StreamEnd::Complete,
            _ if cut >= finished => StreamEnd::DoneMissing,
            _ => StreamEnd::Continuable,
        };
        assert_eq!(stream.end_state(), expected, "cut at {cut}");
        let chunks = events.iter().filter(|event| event.data.is_some()).count();
        assert_eq!(stream.emitted_tokens() as usize, chunks.min(3));
        if cut >= generated {
            assert_eq!(stream.emitted_text(), "One more \u{e9}\n");
        }
    }
}

/// Guards against continuing a generation whose text does not determine its state,
/// such as one with tool calls, and against forwarding data after an error or the
/// end.
#[test]
fn hidden_state_prevents_continuation() {
    for choice in [
        r#"{"delta":{"tool_calls":[{}]}}"#,
        r#"{"delta":{"reasoning_content":"a"}}"#,
        r#"{"index":1,"text":"a"}"#,
    ] {
        let mut stream = CompletionStream::new();
        let event = format!("data: {{\"choices\":[{choice}]}}\n\n");
        stream.push(event.as_bytes()).unwrap();
        assert_eq!(stream.end_state(), StreamEnd::NotContinuable, "{choice}");
    }
    let mut stream = CompletionStream::new();
    let refusal = stream
        .push(b"data: {\"error\":{\"message\":\"x\"}}\n\n")
        .unwrap_err();
    assert_eq!(*refusal.current_context(), ErrorKind::TargetFailed);
    let mut stream = CompletionStream::new();
    stream.push(b"data: [DONE]\n\n").unwrap();
    assert!(stream.push(b"data: {}\n\n").is_err());
}
