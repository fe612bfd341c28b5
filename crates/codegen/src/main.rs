//! Generates the gRPC client and server of the peer protocol into the wire crate.
//!
//! The messages are `prost` structs in the core crate, so no code is generated
//! for them. After a change to a method, run `cargo run -p radishstair-codegen`
//! and commit the result.

use tonic_build::manual::{Builder, Method, Service};

const OUT_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../wire/src/generated");
const CODEC_PATH: &str = "tonic_prost::ProstCodec";

fn main() -> anyhow::Result<()> {
    std::fs::create_dir_all(OUT_DIR)?;
    let service = Service::builder()
        .name("Peer")
        .package("radishstair.v1")
        .method(method("heartbeat", "Heartbeat", "Heartbeat", "Ack"))
        .method(method("pull", "Pull", "Pull", "Pulled"))
        .method(method("collect", "Collect", "Collect", "Collected"))
        .method(method("forward", "Forward", "Forward", "Forwarded"))
        .build();
    Builder::new().out_dir(OUT_DIR).compile(&[service]);
    Ok(())
}

fn method(name: &str, route: &str, input: &str, output: &str) -> Method {
    Method::builder()
        .name(name)
        .route_name(route)
        .input_type(format!("radishstair_core::peer::{input}"))
        .output_type(format!("radishstair_core::peer::{output}"))
        .codec_path(CODEC_PATH)
        .build()
}
