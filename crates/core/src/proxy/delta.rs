//! A text as its difference to a former one.
//!
//! Documents are rows of fields, and a change mostly touches one row of thousands. Both
//! texts are cut behind each closing brace; what the former one has as well is named by
//! its place, the rest is sent.

use prost::Message;

use crate::id::digest;

/// Where texts are cut.
const ROW_END: char = '}';

/// Makes the new text out of the former one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Delta {
    /// Steps, in order.
    #[prost(message, repeated, tag = "1")]
    pub steps: Vec<Step>,
    /// Hash of the new text.
    #[prost(fixed64, tag = "2")]
    pub sum: u64,
}

/// A piece of the former text, and what follows it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Step {
    /// First byte in the former text.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Bytes that are copied.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// What is new behind them.
    #[prost(string, tag = "3")]
    pub then: String,
}

impl Delta {
    /// The difference between two texts.
    pub fn between(former: &str, new: &str) -> Self {
        let rows = index(former);
        let mut steps = vec![Step::default()];
        for row in new.split_inclusive(ROW_END) {
            // There is always a last step.
            let Some(last) = steps.last_mut() else { continue };
            let end = (last.from + last.length) as usize;
            if last.then.is_empty() && former[end..].starts_with(row) {
                last.length += row.len() as u64;
            } else if let Some(from) = find(&rows, former, row) {
                steps.push(Step {
                    from,
                    length: row.len() as u64,
                    then: String::new(),
                });
            } else {
                last.then.push_str(row);
            }
        }
        Self {
            steps,
            sum: digest(new.as_bytes()),
        }
    }

    /// The new text; none if `former` is not the text that it was made for.
    pub fn apply(&self, former: &str) -> Option<String> {
        let mut new = String::new();
        for step in &self.steps {
            let end = step.from.checked_add(step.length)?;
            new.push_str(former.get(usize::try_from(step.from).ok()?..usize::try_from(end).ok()?)?);
            new.push_str(&step.then);
        }
        (digest(new.as_bytes()) == self.sum).then_some(new)
    }
}

/// Hash and place of each row, sorted.
fn index(text: &str) -> Vec<(u64, u64)> {
    let mut from = 0;
    let place = |row: &str| {
        let place = (digest(row.as_bytes()), from);
        from += row.len() as u64;
        place
    };
    let mut rows: Vec<(u64, u64)> = text.split_inclusive(ROW_END).map(place).collect();
    rows.sort_unstable();
    rows
}

fn find(rows: &[(u64, u64)], text: &str, row: &str) -> Option<u64> {
    let hash = digest(row.as_bytes());
    let at = rows.partition_point(|(have, _)| *have < hash);
    let (have, from) = rows.get(at)?;
    (*have == hash && text[*from as usize..].starts_with(row)).then_some(*from)
}
