//! Finds out which headers a request's head has while it is read, without keeping the head.

/// The header that is looked for.
const CONTENT_LENGTH: &[u8] = b"content-length";

/// What of the head comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// The request line.
    RequestLine,
    /// A header's name: how many of its bytes match [`CONTENT_LENGTH`]; `None`: it is another header.
    Name(Option<usize>),
    /// A header's value.
    Value,
    /// The head is complete.
    Over,
}

/// Follows the bytes of a head.
#[derive(Clone, Copy, Debug)]
pub struct HeadScanner {
    position: Position,
    /// Bytes of the current line but for its end.
    line_bytes: usize,
    length: usize,
    has_length: bool,
}

impl Default for HeadScanner {
    fn default() -> HeadScanner {
        HeadScanner { position: Position::RequestLine, line_bytes: 0, length: 0, has_length: false }
    }
}

impl HeadScanner {
    /// The bytes that were scanned.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Whether the head has a `Content-Length`.
    pub fn has_length(&self) -> bool {
        self.has_length
    }

    /// Takes the next bytes. What comes behind the head's end is passed over.
    pub fn scan(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        for byte in bytes {
            match (self.position, byte) {
                (Position::Over, _) => return,
                (_, b'\n') => self.end_line(),
                (_, b'\r') => {}
                (position, byte) => {
                    self.line_bytes += 1;
                    self.position = self.after(position, *byte);
                }
            }
        }
    }

    fn end_line(&mut self) {
        let is_empty = self.line_bytes == 0;
        self.line_bytes = 0;
        self.position = match self.position {
            // Empty lines before the request line are allowed.
            Position::RequestLine if is_empty => Position::RequestLine,
            _ if is_empty => Position::Over,
            _ => Position::Name(Some(0)),
        };
    }

    fn after(&mut self, position: Position, byte: u8) -> Position {
        match (position, byte) {
            (Position::Name(matched), b':') => {
                self.has_length |= matched == Some(CONTENT_LENGTH.len());
                Position::Value
            }
            // White space around a name does not hide it.
            (Position::Name(Some(0)), b' ' | b'\t') => Position::Name(Some(0)),
            (Position::Name(Some(matched)), b' ' | b'\t') if matched == CONTENT_LENGTH.len() => position,
            (Position::Name(Some(matched)), byte) => {
                let fits = CONTENT_LENGTH.get(matched) == Some(&byte.to_ascii_lowercase());
                Position::Name(fits.then_some(matched + 1))
            }
            (position, _) => position,
        }
    }
}

#[cfg(test)]
mod tests;
