//! Crashes of runners, and the requests under which they happen.

use super::placement::Segment;

/// Parts of a prompt that other requests may share: all but the last one, which belongs to the request itself or
/// to its session.
pub fn shared_parts(segments: &[Segment]) -> &[Segment] {
    segments.split_last().map_or(&[], |(_, shared)| shared)
}
