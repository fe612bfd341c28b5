//! Stand-ins and cases of the review. `review-standin CASE RECORD FOLDER` plays a case: it starts the stand-ins in
//! this process and the hosts as processes of their own, and writes to RECORD what was sent, answered and run.
//! It ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod early_answer;
mod host;
mod http;
mod json;
mod late_refusal;
mod record;
mod slow_reader;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// A case's end.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// What a case is given.
pub struct Setup {
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path, folder] = args.as_slice() else {
        eprintln!("review-standin CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let setup = Setup {
        folder: PathBuf::from(folder),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let record = std::sync::Arc::new(record::Record::new());
    record.note(format!("case {case}, with the disruption: {}", setup.trouble));
    let verdict = match case.as_str() {
        "early-answer" => early_answer::play(&setup, &record),
        "slow-reader" => slow_reader::play(&setup, &record),
        "late-refusal" => late_refusal::play(&setup, &record),
        _ => Verdict::CouldNotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("THE RULE WAS BROKEN", 1),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    record.note(text);
    println!("{case}: {text}");
    record.write(path);
    ExitCode::from(code)
}
