//! Bundles: their contents, validation, signatures and rolls.

mod check;
mod document;
mod roll;
mod signature;

pub use check::parse;
pub use document::{Account, Class, Document, Group, Kind, Model, Price, Service};
pub use roll::{Action, Adoption, Roll, adopt, next_number};
pub use signature::{Signature, digest, parse_signing_key, sign, verify};
