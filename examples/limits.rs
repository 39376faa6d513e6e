//! Prints the comparison of limit policies: `limits SEED DURATION_S`.

use std::process::ExitCode;

use yuccalatch::{
    clock::US_PER_S,
    replay::{
        evaluate::limits::evaluate,
        report::{
            Measurement,
            markdown, //
        },
    },
};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<u64>());
    let (Some(Ok(seed)), Some(Ok(duration_s))) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: limits SEED DURATION_S");
        return ExitCode::from(2);
    };
    let measurements = evaluate(seed, duration_s.saturating_mul(US_PER_S));
    print!("{}", markdown(&measurements));
    match measurements.iter().all(Measurement::is_met) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
