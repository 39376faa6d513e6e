//! Prints the evaluation of version moves: `evaluate_moves small|full [SEED]`.

use yuccalatch::replay::{
    evaluate::{
        Size,
        moves, //
    },
    report::markdown,
};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let size = match arguments.next().as_deref() {
        Some("full") => Size::Full,
        _ => Size::Small,
    };
    let seed = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    println!("{}", markdown(&moves::run(seed, size)));
}
