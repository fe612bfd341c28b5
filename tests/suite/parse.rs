//! Property tests of the parsers of external input.

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck, TestResult};
use radishstair_core::config::change::{self, Op, Section};
use radishstair_core::config::{Document, check};
use radishstair_core::id::Incarnation;
use radishstair_core::ticket::Ticket;
use radishstair_core::time::Moment;
use radishstair_core::units;
use radishstair_core::{claim, usage};
use radishstair_entry::front::sse::Splitter;

/// Seed of the random input, fixed so that every run uses the same.
const SEED: u64 = 20_261_203;

fn check(property: impl quickcheck::Testable) {
    let source = Gen::from_size_and_seed(64, SEED);
    QuickCheck::new().tests(2_000).rng(source).quickcheck(property);
}

/// The events of a stream do not depend on how it is split into chunks.
#[test]
fn events_do_not_depend_on_the_cuts() {
    fn property(texts: Vec<String>, cuts: Vec<u8>) -> bool {
        let clean = |text: &String| text.replace(['\n', '\r'], " ");
        let events: Vec<String> = texts.iter().map(clean).collect();
        let stream: Vec<u8> = events
            .iter()
            .flat_map(|text| format!("data: {text}\n\n").into_bytes())
            .collect();
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        let mut rest = &stream[..];
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let size = (usize::from(cuts.next().unwrap_or(7)) + 1).min(rest.len());
            splitter.push(&Bytes::copy_from_slice(&rest[..size]));
            rest = &rest[size..];
            while let Some(event) = splitter.next_event() {
                out.push(String::from_utf8_lossy(&event).into_owned());
            }
        }
        out == events
    }
    check(property as fn(Vec<String>, Vec<u8>) -> bool);
}

/// No text makes the parsers of keys panic, and only tickets are parsed as tickets.
#[test]
fn keys_of_any_text_are_read_or_refused() {
    fn property(text: String) -> bool {
        let now = Moment::at_ms(1_800_000_000_000);
        let _ = claim::validate_key(now, &text);
        Ticket::parse(&text).is_none() && Ticket::parse(&format!("rst1-{text}")).is_none()
    }
    check(property as fn(String) -> bool);
}

/// A ticket is parsed as it was written, and is valid for its customer only.
#[test]
fn tickets_read_back() {
    fn property(owner: u64, number: u64, customer: String, other: String) -> TestResult {
        if customer == other {
            return TestResult::discard();
        }
        let secret = [9; 32];
        let ticket = Ticket::issue(&secret, Incarnation(owner), number, &customer);
        let read = Ticket::parse(&ticket.to_string());
        let right = read.as_ref() == Some(&ticket) && ticket.verify(&secret, &customer);
        TestResult::from_bool(right && !ticket.verify(&secret, &other))
    }
    check(property as fn(u64, u64, String, String) -> TestResult);
}

/// A duration is parsed as it was written.
#[test]
fn spans_read_back() {
    fn property(millis: u32) -> bool {
        let duration = std::time::Duration::from_millis(u64::from(millis));
        units::parse_duration(&units::format_duration(duration)) == Some(duration)
    }
    check(property as fn(u32) -> bool);
}

/// The operations of `diff` turn one document into the other.
#[test]
fn differences_apply() {
    fn document(names: &[u8]) -> Document {
        let customers: Vec<_> = names
            .iter()
            .map(|name| serde_json::json!({ "name": format!("c{name}") }))
            .collect();
        let ops = customers.iter().map(|value| Op {
            section: Section::Customers,
            name: String::new(),
            value: Some(value.clone()),
        });
        let mut document = Document::default();
        change::apply(&mut document, &ops.collect::<Vec<_>>())
            .expect("a document with only customers is valid");
        document
    }
    fn property(from: Vec<u8>, to: Vec<u8>) -> bool {
        let (mut from, to) = (document(&from), document(&to));
        let ops = change::diff(&from, &to);
        change::apply(&mut from, &ops).is_ok() && from == to
    }
    check(property as fn(Vec<u8>, Vec<u8>) -> bool);
}

/// No text makes the parser of documents panic.
#[test]
fn documents_of_any_text_are_read_or_refused() {
    fn property(text: String, cut: u8) -> bool {
        let example = include_str!("../../examples/conciliar/configuration.json");
        let at = usize::from(cut) * example.len() / 256;
        let broken = format!("{}{text}{}", &example[..at], &example[at..]);
        let _ = check::parse(&text);
        let _ = check::parse(&broken);
        true
    }
    check(property as fn(String, u8) -> bool);
}

/// Merging rows gives the same figures in any order.
#[test]
fn usage_merges_in_any_order() {
    fn property(records: Vec<(u8, u16)>) -> bool {
        let row = |(customer, tokens): &(u8, u16)| radishstair_core::peer::UsageRow {
            customer: format!("c{customer}"),
            tokens: u64::from(*tokens),
            calls: 1,
            ..Default::default()
        };
        let (mut one, mut two) = (Vec::new(), Vec::new());
        records
            .iter()
            .for_each(|record| usage::merge_rows(&mut one, &[row(record)]));
        records
            .iter()
            .rev()
            .for_each(|record| usage::merge_rows(&mut two, &[row(record)]));
        one == two
    }
    check(property as fn(Vec<(u8, u16)>) -> bool);
}
