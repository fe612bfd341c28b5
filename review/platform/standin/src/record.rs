//! What was sent, answered and run.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
    /// Number of runs by request.
    runs: Mutex<BTreeMap<String, u32>>,
    /// Status that the client got, by request; 0 if none came.
    answers: Mutex<BTreeMap<String, u16>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
            answers: Mutex::default(),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.seconds(), text.as_ref());
        self.lines.lock().expect("not poisoned").push(line);
    }

    pub fn run(&self, id: &str, runner: &str) {
        self.note(format!("request {id} runs at {runner}"));
        *self
            .runs
            .lock()
            .expect("not poisoned")
            .entry(id.to_string())
            .or_default() += 1;
    }

    pub fn answer(&self, id: &str, status: u16, detail: &str) {
        self.note(format!("request {id}: the client gets {status} {detail}"));
        self.answers
            .lock()
            .expect("not poisoned")
            .insert(id.to_string(), status);
    }

    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.lock().expect("not poisoned").clone()
    }

    pub fn answers(&self) -> BTreeMap<String, u16> {
        self.answers.lock().expect("not poisoned").clone()
    }

    pub fn write(&self, path: &str) {
        let lines = self.lines.lock().expect("not poisoned");
        let Ok(mut file) = std::fs::File::create(path) else {
            return;
        };
        for line in lines.iter() {
            let _ = writeln!(file, "{line}");
        }
    }
}
