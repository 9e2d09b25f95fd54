//! Writes the committed code of the peer protocol anew from `proto/peer.proto`.
//!
//! It is not part of the build: run it with `make codegen` after the protocol changes.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let proto = root.join("proto");
    let set = protox::compile([proto.join("peer.proto")], [&proto])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(root.join("crates/keeljunction/src/peer/generated"))
        .compile_fds(set)?;
    Ok(())
}
