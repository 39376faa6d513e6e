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

/// Guards against a caller's credentials that reach a target because the letter case
/// of the field's name is unusual.
#[test]
fn credentials_are_removed_in_any_case() {
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

/// Guards against forwarded connection fields and forged internal fields, in both
/// directions, and against other fields that are removed.
#[test]
fn connection_and_internal_fields_are_removed() {
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

/// Guards against a caller's key that reaches a target in the query, and against
/// changes to other parameters.
#[test]
fn only_keys_are_removed_from_queries() {
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

/// Guards against a key parameter that is forwarded because of the parameters before
/// or after it or its letter case.
#[test]
fn key_is_removed_among_any_parameters() {
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
