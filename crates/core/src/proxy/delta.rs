//! Difference between two versions of a text.
//!
//! Documents consist of rows, and most changes affect one row of thousands. Both texts are split
//! after each closing brace. Rows of the old text are referenced by their offset; other rows are
//! included.

use prost::Message;

use crate::id::digest;

/// Last character of a row.
const ROW_END: char = '}';

/// Instructions that build the new text from the old one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Delta {
    /// Instructions in order.
    #[prost(message, repeated, tag = "1")]
    pub steps: Vec<Step>,
    /// Hash of the new text.
    #[prost(fixed64, tag = "2")]
    pub checksum: u64,
}

/// Copies a range of the old text and then appends a literal.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Step {
    /// Offset of the range in the old text, in bytes.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Length of the range, in bytes.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// Text to append after the range.
    #[prost(string, tag = "3")]
    pub literal: String,
}

impl Delta {
    /// Computes the difference between two texts.
    pub fn between(old: &str, new: &str) -> Self {
        let rows = index(old);
        let mut steps = vec![Step::default()];
        for row in new.split_inclusive(ROW_END) {
            // `steps` is never empty.
            let Some(last) = steps.last_mut() else { continue };
            let end = (last.offset + last.length) as usize;
            if last.literal.is_empty() && old[end..].starts_with(row) {
                last.length += row.len() as u64;
            } else if let Some(offset) = find(&rows, old, row) {
                steps.push(Step {
                    offset,
                    length: row.len() as u64,
                    literal: String::new(),
                });
            } else {
                last.literal.push_str(row);
            }
        }
        Self {
            steps,
            checksum: digest(new.as_bytes()),
        }
    }

    /// Builds the new text; `None` if `old` is not the text that the difference was made for.
    pub fn apply(&self, old: &str) -> Option<String> {
        let mut new = String::new();
        for step in &self.steps {
            let end = step.offset.checked_add(step.length)?;
            new.push_str(old.get(usize::try_from(step.offset).ok()?..usize::try_from(end).ok()?)?);
            new.push_str(&step.literal);
        }
        (digest(new.as_bytes()) == self.checksum).then_some(new)
    }
}

/// Hash and offset of each row, sorted by hash.
fn index(text: &str) -> Vec<(u64, u64)> {
    let mut offset = 0;
    let locate = |row: &str| {
        let position = (digest(row.as_bytes()), offset);
        offset += row.len() as u64;
        position
    };
    let mut rows: Vec<(u64, u64)> = text.split_inclusive(ROW_END).map(locate).collect();
    rows.sort_unstable();
    rows
}

fn find(rows: &[(u64, u64)], text: &str, row: &str) -> Option<u64> {
    let hash = digest(row.as_bytes());
    let at = rows.partition_point(|(have, _)| *have < hash);
    let (have, offset) = rows.get(at)?;
    (*have == hash && text[*offset as usize..].starts_with(row)).then_some(*offset)
}
