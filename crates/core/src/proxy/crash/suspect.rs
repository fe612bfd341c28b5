//! What may be guilty in a request that was on a crashing runner.

use std::fmt;

use super::super::placement::Segment;
use crate::id::digest;

/// Maximum number of parts of a prompt that are looked at; the first ones are shared by most requests.
pub(super) const MAX_PARTS: usize = 32;

plain! {
    /// What a suspect is.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash, Default)]
    pub enum Scope {
        /// A part of prompts that other requests may share.
        #[default]
        Part,
        /// One request, whatever id each attempt of its caller has.
        Request,
    }
}

plain! {
    /// What may crash the runners of one service.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash, Default)]
    pub struct Suspect {
        /// Hash of the service's name.
        pub service: u64,
        /// Whether it is a part or a request.
        pub scope: Scope,
        /// Id that callers give to the part, or hash of the request's content.
        pub id: u64,
    }
}

/// Mark of requests in the text of a suspect.
const REQUEST_MARK: &str = "request-";

impl Suspect {
    /// Part of prompts to a service.
    pub fn part(service: u64, id: u64) -> Self {
        let scope = Scope::Part;
        Self { service, scope, id }
    }

    /// Request to a service, by the hash of its content.
    pub fn request(service: u64, id: u64) -> Self {
        let scope = Scope::Request;
        Self { service, scope, id }
    }

    /// Suspect of a service by its text; `None` if it is none.
    pub fn parse(service: u64, text: &str) -> Option<Self> {
        let id = |text| u64::from_str_radix(text, 16).ok();
        match text.strip_prefix(REQUEST_MARK) {
            Some(text) => Some(Self::request(service, id(text)?)),
            None => Some(Self::part(service, id(text)?)),
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.scope {
            Scope::Part => write!(f, "{:x}", self.id),
            Scope::Request => write!(f, "{REQUEST_MARK}{:016x}", self.id),
        }
    }
}

/// Segments of a prompt that other requests may share: all but the last one, which belongs to the request itself
/// or to its session.
pub fn shared_parts(segments: &[Segment]) -> &[Segment] {
    segments.split_last().map_or(&[], |(_, shared)| shared)
}

/// What may be guilty in a request to a service: the parts of its prompt that other requests may share, each
/// once, and the request itself, by the hash of its content. Sorted, so that the request is last.
pub fn suspects(service: &str, segments: &[Segment], content: u64) -> Vec<Suspect> {
    let shared = shared_parts(segments);
    let of_end = &shared[shared.len().saturating_sub(MAX_PARTS)..];
    sorted_suspects(
        digest(service.as_bytes()),
        content,
        of_end.iter().map(|segment| segment.id),
    )
}

pub(super) fn sorted_suspects(service: u64, content: u64, parts: impl Iterator<Item = u64>) -> Vec<Suspect> {
    let mut suspects: Vec<Suspect> = parts.map(|id| Suspect::part(service, id)).collect();
    suspects.push(Suspect::request(service, content));
    suspects.sort_unstable();
    suspects.dedup();
    suspects
}
