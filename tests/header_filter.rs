//! Credentials, hop-by-hop fields and internal fields are not forwarded.

use quickcheck::{
    Gen,
    QuickCheck, //
};
use yuccalatch::request::headers::{
    Direction,
    HeaderFilter,
    strip_key_parameters, //
};

const CREDENTIALS: [&str; 5] = [
    "authorization",
    "proxy-authorization",
    "x-api-key",
    "api-key",
    "cookie",
];

fn vary_case(text: &str, mask: u32) -> String {
    let vary = |(position, character): (usize, char)| match mask >> (position % 32) & 1 {
        1 => character.to_ascii_uppercase(),
        _ => character,
    };
    text.chars().enumerate().map(vary).collect()
}

/// Guards against a key that reaches a target in unusual letter case.
#[test]
fn credentials_in_any_case() {
    fn property(mask: u32) -> bool {
        let filter = HeaderFilter::new(Direction::ToTarget, []);
        !CREDENTIALS
            .iter()
            .any(|name| filter.forwards(&vary_case(name, mask)))
    }
    let random = Gen::from_size_and_seed(100, 21);
    QuickCheck::new()
        .rng(random)
        .quickcheck(property as fn(u32) -> bool);
}

/// Guards against connection fields and forged internal fields, both ways.
#[test]
fn connection_fields_stay() {
    for direction in [Direction::ToTarget, Direction::ToCaller] {
        let connection = [b"Close, X-Hop ,".as_slice(), b"\xff,other".as_slice()];
        let filter = HeaderFilter::new(direction, connection);
        for name in [
            "Connection",
            "Keep-Alive",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade",
            "Proxy-Connection",
            "x-hop",
            "Other",
            "X-YL-Organisation",
            "x_yl_weight",
        ] {
            assert!(!filter.forwards(name), "{name} {direction:?}");
        }
        for name in ["content-type", "x-request-id", "idempotency-key", "accept"] {
            assert!(filter.forwards(name), "{name} {direction:?}");
        }
    }
    assert!(!HeaderFilter::new(Direction::ToCaller, []).forwards("Set-Cookie"));
}

/// Guards against keys in the query and against changes to other parameters.
#[test]
fn queries_lose_only_keys() {
    for (path, expected) in [
        ("/a", "/a"),
        ("/a?b=1&c=2", "/a?b=1&c=2"),
        ("/a?key=1&c=2", "/a?c=2"),
        ("/a?b=1;API_KEY=2;c", "/a?b=1;c"),
        ("/a?b=1&%6B%65%79=2", "/a?b=1"),
        ("/a?api%5fkey", "/a"),
        ("/a?monkey=1&keys=2&b=key", "/a?monkey=1&keys=2&b=key"),
        ("/a?b=%&c=%zz", "/a?b=%&c=%zz"),
        ("/a?key=1?key=2", "/a"),
    ] {
        assert_eq!(strip_key_parameters(path), expected, "{path}");
    }
}

/// Guards against a key parameter at any place among arbitrary others.
#[test]
fn secrets_never_pass() {
    fn property(before: String, after: String, mask: u32) -> bool {
        let name = vary_case("api_key", mask);
        let path = format!("/a?{before}&{name}=SECRET-VALUE&{after}");
        !strip_key_parameters(&path).contains("SECRET-VALUE")
    }
    let random = Gen::from_size_and_seed(40, 22);
    QuickCheck::new()
        .rng(random)
        .quickcheck(property as fn(String, String, u32) -> bool);
}
