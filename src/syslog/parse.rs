//! A strict parser of RFC 5424 messages. It accepts exactly what the grammar allows. An error names the byte at fault.

use super::Severity;
use std::borrow::Cow;
use std::fmt;

/// Error of a message that violates the grammar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// Offset of the byte at fault.
    pub at: usize,
    /// What the grammar requires there.
    pub what: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "byte {}: {}", self.at, self.what)
    }
}

impl std::error::Error for Malformed {}

/// A parsed message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Facility code, from 0 to 23.
    pub facility: u8,
    /// Severity.
    pub severity: Severity,
    /// TIMESTAMP as written. In this and the next four fields, `None` means NILVALUE.
    pub timestamp: Option<&'a str>,
    /// HOSTNAME.
    pub host: Option<&'a str>,
    /// APP-NAME.
    pub app: Option<&'a str>,
    /// PROCID.
    pub process: Option<&'a str>,
    /// MSGID.
    pub id: Option<&'a str>,
    /// Structured data elements, in order.
    pub elements: Vec<Element<'a>>,
    /// MSG without its byte order mark, or `None` if there is no MSG.
    pub text: Option<Cow<'a, str>>,
}

/// A structured data element.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element<'a> {
    /// SD-ID.
    pub id: &'a str,
    /// Names and unescaped values, in order.
    pub parameters: Vec<(&'a str, Cow<'a, str>)>,
}

impl<'a> Message<'a> {
    /// Returns the element with this id.
    pub fn element(&self, id: &str) -> Option<&Element<'a>> {
        self.elements.iter().find(|element| element.id == id)
    }

    /// Returns the first value of this name in the element with id `element`.
    pub fn parameter(&self, element: &str, name: &str) -> Option<&Cow<'a, str>> {
        self.element(element)?.parameter(name)
    }

    /// Returns the first value of this name in any element.
    pub fn any(&self, name: &str) -> Option<&Cow<'a, str>> {
        self.elements.iter().find_map(|element| element.parameter(name))
    }
}

impl<'a> Element<'a> {
    /// Returns the first value of this name.
    pub fn parameter(&self, name: &str) -> Option<&Cow<'a, str>> {
        self.parameters.iter().find(|(known, _)| *known == name).map(|(_, value)| value)
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

type ParseResult<T> = Result<T, Malformed>;

impl<'a> Parser<'a> {
    fn fail<T>(&self, what: &'static str) -> ParseResult<T> {
        Err(Malformed { at: self.at, what })
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8, what: &'static str) -> ParseResult<()> {
        if self.peek() != Some(byte) {
            return self.fail(what);
        }
        self.at += 1;
        Ok(())
    }

    fn digits(&mut self, most: usize) -> &'a [u8] {
        let rest = &self.bytes[self.at..];
        let count = rest.iter().take(most).take_while(|byte| byte.is_ascii_digit()).count();
        self.at += count;
        &rest[..count]
    }

    /// Reads a number of exactly `count` digits within `range`.
    fn number(
        &mut self,
        count: usize,
        range: std::ops::RangeInclusive<u32>,
        what: &'static str,
    ) -> ParseResult<u32> {
        let start = self.at;
        let digits = self.digits(count);
        let value = digits.iter().fold(0u32, |value, digit| value * 10 + u32::from(digit - b'0'));
        if digits.len() != count || !range.contains(&value) {
            self.at = start;
            return self.fail(what);
        }
        Ok(value)
    }

    /// Reads a header field of PRINTUSASCII characters and the space after it.
    fn field(&mut self, most: usize, what: &'static str) -> ParseResult<Option<&'a str>> {
        let rest = &self.bytes[self.at..];
        let length = rest.iter().take_while(|byte| (33..=126).contains(*byte)).count();
        if length == 0 || length > most {
            return self.fail(what);
        }
        let text = std::str::from_utf8(&rest[..length]).or_else(|_| self.fail(what))?;
        self.at += length;
        self.expect(b' ', what)?;
        Ok((text != "-").then_some(text))
    }

    fn timestamp(&mut self) -> ParseResult<Option<&'a str>> {
        let start = self.at;
        if self.bytes[self.at..].starts_with(b"- ") {
            self.at += 2;
            return Ok(None);
        }
        let year = self.number(4, 0..=9999, "a year of four digits is due")?;
        self.expect(b'-', "a - is due after the year")?;
        let month = self.number(2, 1..=12, "a month from 01 to 12 is due")?;
        self.expect(b'-', "a - is due after the month")?;
        let leap = year % 4 == 0 && (year % 100 != 0 || year % 400 == 0);
        let days = match month {
            4 | 6 | 9 | 11 => 30,
            2 => 28 + u32::from(leap),
            _ => 31,
        };
        self.number(2, 1..=days, "a day of its month is due")?;
        self.expect(b'T', "a T is due after the date")?;
        self.number(2, 0..=23, "an hour from 00 to 23 is due")?;
        self.expect(b':', "a : is due after the hour")?;
        self.number(2, 0..=59, "a minute from 00 to 59 is due")?;
        self.expect(b':', "a : is due after the minute")?;
        self.number(2, 0..=59, "a second from 00 to 59 is due")?;
        if self.peek() == Some(b'.') {
            self.at += 1;
            if self.digits(6).is_empty() {
                return self.fail("one to six digits are due after the point");
            }
        }
        match self.peek() {
            Some(b'Z') => self.at += 1,
            Some(b'+' | b'-') => {
                self.at += 1;
                self.number(2, 0..=23, "an offset's hours are due")?;
                self.expect(b':', "a : is due in an offset")?;
                self.number(2, 0..=59, "an offset's minutes are due")?;
            }
            _ => return self.fail("Z or an offset is due after the time"),
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).or_else(|_| self.fail("no time"))?;
        self.expect(b' ', "a space is due after the time")?;
        Ok(Some(text))
    }

    /// Reads an SD-NAME.
    fn name(&mut self, what: &'static str) -> ParseResult<&'a str> {
        let rest = &self.bytes[self.at..];
        let fits = |byte: &&u8| (33..=126).contains(*byte) && !matches!(**byte, b'=' | b']' | b'"');
        let length = rest.iter().take_while(fits).count();
        if !(1..=32).contains(&length) {
            return self.fail(what);
        }
        let text = std::str::from_utf8(&rest[..length]).or_else(|_| self.fail(what))?;
        self.at += length;
        Ok(text)
    }

    fn value(&mut self) -> ParseResult<Cow<'a, str>> {
        self.expect(b'"', "a value's opening quote is due")?;
        let start = self.at;
        let (mut from, mut unescaped) = (start, String::new());
        loop {
            match self.peek() {
                None => return self.fail("a value has no closing quote"),
                Some(b'"') => break,
                Some(b']') => return self.fail("a ] in a value is not escaped"),
                Some(b'\\') => {
                    if let Some(b'"' | b'\\' | b']') = self.bytes.get(self.at + 1) {
                        unescaped.push_str(self.text(from, self.at)?);
                        from = self.at + 1;
                        self.at += 2;
                    } else {
                        self.at += 1; // a backslash that escapes nothing is an ordinary character
                    }
                }
                Some(_) => self.at += 1,
            }
        }
        let last = self.text(from, self.at)?;
        self.at += 1;
        Ok(if from == start {
            Cow::Borrowed(last)
        } else {
            unescaped.push_str(last);
            Cow::Owned(unescaped)
        })
    }

    fn text(&self, from: usize, to: usize) -> ParseResult<&'a str> {
        std::str::from_utf8(&self.bytes[from..to])
            .map_err(|error| Malformed { at: from + error.valid_up_to(), what: "no UTF-8" })
    }

    fn elements(&mut self) -> ParseResult<Vec<Element<'a>>> {
        let mut elements: Vec<Element> = Vec::new();
        if self.peek() == Some(b'-') {
            self.at += 1;
            return Ok(elements);
        }
        while self.peek() == Some(b'[') {
            self.at += 1;
            let at = self.at;
            let id = self.name("an element's id is due")?;
            if elements.iter().any(|known| known.id == id) {
                return Err(Malformed { at, what: "an element's id is there twice" });
            }
            let mut parameters = Vec::new();
            while self.peek() == Some(b' ') {
                self.at += 1;
                let name = self.name("a parameter's name is due")?;
                self.expect(b'=', "a = is due after a parameter's name")?;
                parameters.push((name, self.value()?));
            }
            self.expect(b']', "a ] is due after an element")?;
            elements.push(Element { id, parameters });
        }
        if elements.is_empty() { self.fail("structured data or - is due") } else { Ok(elements) }
    }
}

/// Parses one message, without a frame or line end.
///
/// # Errors
///
/// Returns [`Malformed`] if the message violates the grammar of RFC 5424.
pub fn parse(bytes: &[u8]) -> Result<Message<'_>, Malformed> {
    let mut parser = Parser { bytes, at: 0 };
    parser.expect(b'<', "a < is due first")?;
    let digits = parser.digits(3);
    let leading_zero = digits.len() > 1 && digits[0] == b'0';
    let priority = digits.iter().fold(0u32, |value, digit| value * 10 + u32::from(digit - b'0'));
    if digits.is_empty() || leading_zero || priority > 191 {
        return Err(Malformed { at: 1, what: "a priority from 0 to 191 is due" });
    }
    parser.expect(b'>', "a > is due after the priority")?;
    parser.expect(b'1', "version 1 is due")?;
    parser.expect(b' ', "version 1 and a space are due")?;
    let timestamp = parser.timestamp()?;
    let host = parser.field(255, "a host of 1 to 255 printable characters is due")?;
    let app = parser.field(48, "an application's name of 1 to 48 printable characters is due")?;
    let process = parser.field(128, "a process's id of 1 to 128 printable characters is due")?;
    let id = parser.field(32, "a message's id of 1 to 32 printable characters is due")?;
    let elements = parser.elements()?;
    let text = match parser.peek() {
        None => None,
        Some(b' ') => {
            let from = parser.at + 1;
            let rest = &bytes[from..];
            Some(match rest.strip_prefix("\u{feff}".as_bytes()) {
                // A byte order mark declares that the text is UTF-8, so any other encoding is an error.
                Some(_) => Cow::Borrowed(parser.text(from + 3, bytes.len())?),
                None => String::from_utf8_lossy(rest),
            })
        }
        Some(_) => return parser.fail("a space or the end is due after structured data"),
    };
    let severity = Severity::ALL[(priority % 8) as usize];
    Ok(Message {
        facility: (priority / 8) as u8,
        severity,
        timestamp,
        host,
        app,
        process,
        id,
        elements,
        text,
    })
}

#[cfg(test)]
mod tests;
