//! The text of a label, which may contain any characters.

use std::fmt::{Error, Write};

use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};

/// The text of a label. It is escaped as the OpenMetrics text format requires, which the library does
/// not do.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
pub struct LabelText(String);

impl From<&str> for LabelText {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl EncodeLabelValue for LabelText {
    fn encode(&self, encoder: &mut LabelValueEncoder) -> Result<(), Error> {
        for character in self.0.chars() {
            match character {
                '\\' => encoder.write_str("\\\\")?,
                '"' => encoder.write_str("\\\"")?,
                '\n' => encoder.write_str("\\n")?,
                other => encoder.write_char(other)?,
            }
        }
        Ok(())
    }
}
