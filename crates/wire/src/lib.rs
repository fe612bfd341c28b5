//! Protocols between processes, and what every program needs to start.

pub mod http;
pub mod log;
pub mod platform;
pub mod settings;

/// Clients and servers of the peers' protocol; written by the codegen crate.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod generated {
    include!("generated/radishstair.v1.Peer.rs");
}

/// Metadata that carries the peers' shared token.
pub const PEER_TOKEN: &str = "x-peer-token";
