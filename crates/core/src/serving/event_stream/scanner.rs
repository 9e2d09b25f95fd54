//! Finds the boundaries between the events of a stream.

/// The state of an event stream after the bytes read so far.
///
/// A blank line ends an event. Lines end with LF, CRLF or CR. A comment line belongs to no event
/// unless it is between two lines of the event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scanner {
    line: Line,
    /// Whether a line of the current event has ended.
    has_field: bool,
    /// Whether the last byte was a CR. An LF after it belongs to the same line end.
    is_after_cr: bool,
    /// Whether the stream's lines end with a CR alone.
    is_cr_alone: bool,
    has_event: bool,
    /// The number of bytes read since the start of the stream or the end of the last event.
    pending_bytes: usize,
}

/// The content of the current line so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl Scanner {
    /// Reads all bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.push_byte(*byte);
        }
    }

    /// Reads bytes up to the next position that is outside of any event, and returns their number.
    /// Returns `None` if there is no such position, after reading all bytes.
    pub fn read_to_boundary(&mut self, bytes: &[u8]) -> Option<usize> {
        let end = bytes.iter().position(|byte| {
            self.push_byte(*byte);
            !self.is_inside_event()
        });
        end.map(|last| last + 1)
    }

    /// Returns `true` if the last event, comment or line end is incomplete.
    pub fn is_inside_event(&self) -> bool {
        // Unless a CR alone ends the lines of this stream, its LF may be missing.
        let is_line_end_open = self.is_after_cr && !self.is_cr_alone;
        self.line != Line::Empty || self.has_field || is_line_end_open
    }

    /// Returns `true` if a field of the current event has begun.
    pub fn has_open_field(&self) -> bool {
        self.has_field || self.line == Line::Field
    }

    /// Returns `true` if an event has ended.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns the number of bytes read since the start of the stream or the end of the last event.
    pub fn count_pending(&self) -> usize {
        self.pending_bytes
    }

    /// Returns `true` if the last byte has ended an event.
    pub fn is_after_event(&self) -> bool {
        self.has_event && self.pending_bytes == 0
    }

    fn push_byte(&mut self, byte: u8) {
        let is_after_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
        match byte {
            b'\n' if is_after_cr => self.is_cr_alone = false,
            _ => {
                self.is_cr_alone |= is_after_cr;
                self.pending_bytes += 1;
                self.push_content(byte);
            }
        }
    }

    fn push_content(&mut self, byte: u8) {
        match (byte, self.line) {
            (b'\n' | b'\r', line) => self.end_line(line),
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => self.line = Line::Field,
            _ => {}
        }
    }

    fn end_line(&mut self, line: Line) {
        match line {
            Line::Empty => {
                if self.has_field {
                    self.has_event = true;
                    self.pending_bytes = 0;
                }
                self.has_field = false;
            }
            Line::Comment => {}
            Line::Field => self.has_field = true,
        }
        self.line = Line::Empty;
    }
}
