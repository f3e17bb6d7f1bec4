//! A syslog receiver's stand-in: RFC 5424 messages over TCP, framed as RFC 6587 counts octets.

use super::Outcome;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    pub facility: u8,
    pub severity: u8,
    pub timestamp: String,
    pub host: String,
    pub app: String,
    pub process: String,
    pub id: String,
    /// Parameters by the id of their element.
    pub data: BTreeMap<String, BTreeMap<String, String>>,
    pub text: String,
}

pub struct Syslog {
    pub address: SocketAddr,
    /// Each message as it came: read, or the text that could not be.
    pub messages: Receiver<Result<Message, String>>,
}

impl Syslog {
    pub fn start() -> Outcome<Syslog> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (sender, messages) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                thread::spawn(move || receive(stream, &sender));
            }
        });
        Ok(Syslog { address, messages })
    }
}

/// Reads until the connection ends or its framing is lost.
fn receive(stream: TcpStream, messages: &Sender<Result<Message, String>>) {
    let mut stream = BufReader::new(stream);
    loop {
        let mut length = Vec::new();
        // No message is longer than its length in seven digits.
        let count = stream.by_ref().take(8).read_until(b' ', &mut length);
        let length = String::from_utf8_lossy(&length).trim_end().parse::<usize>();
        let (Ok(1..), Ok(length)) = (count, length) else { return };
        let mut bytes = vec![0; length];
        if stream.read_exact(&mut bytes).is_err() {
            return;
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if messages.send(read(&text).ok_or(text)).is_err() {
            return;
        }
    }
}

/// `None`: not as RFC 5424 has it.
pub fn read(line: &str) -> Option<Message> {
    let (priority, rest) = line.strip_prefix('<')?.split_once('>')?;
    let priority: u8 = priority.parse().ok().filter(|p| *p < 192)?;
    let mut fields = rest.splitn(7, ' ');
    if fields.next()? != "1" {
        return None;
    }
    let mut field = || fields.next().filter(|f| !f.is_empty()).map(str::to_string);
    let (timestamp, host, app) = (field()?, field()?, field()?);
    let (process, id, rest) = (field()?, field()?, field()?);
    let (data, text) = match rest.strip_prefix('-') {
        Some(text) => (BTreeMap::new(), text),
        None => elements(&rest)?,
    };
    let text = if text.is_empty() { "" } else { text.strip_prefix(' ')? };
    let (facility, severity, text) = (priority / 8, priority % 8, text.to_string());
    Some(Message { facility, severity, timestamp, host, app, process, id, data, text })
}

type Elements = BTreeMap<String, BTreeMap<String, String>>;

/// `[id name="value" ...][...]`, then what follows.
fn elements(mut rest: &str) -> Option<(Elements, &str)> {
    let mut all = Elements::new();
    while let Some(inside) = rest.strip_prefix('[') {
        let end = inside.find([' ', ']'])?;
        let id = inside[..end].to_string();
        let mut parameters = BTreeMap::new();
        rest = &inside[end..];
        while let Some(parameter) = rest.strip_prefix(' ') {
            let (name, quoted) = parameter.split_once("=\"")?;
            let (mut value, mut characters) = (String::new(), quoted.char_indices());
            let end = loop {
                match characters.next()? {
                    (at, '"') => break at,
                    (_, '\\') => match characters.next()?.1 {
                        escaped @ ('"' | '\\' | ']') => value.push(escaped),
                        other => value.extend(['\\', other]),
                    },
                    (_, ']') => return None,
                    (_, other) => value.push(other),
                }
            };
            parameters.insert(name.to_string(), value);
            rest = &quoted[end + 1..];
        }
        rest = rest.strip_prefix(']')?;
        all.insert(id, parameters);
    }
    (!all.is_empty()).then_some((all, rest))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_read_with_their_structured_data_unescaped() {
        let got =
            read(r#"<28>1 2026-01-02T03:04:05.000006Z n3 app 7 core [a@1 x="1" y="\"\]\\\n"][b] hi there"#)
                .unwrap();
        assert_eq!(
            (got.facility, got.severity, got.host.as_str(), got.text.as_str()),
            (3, 4, "n3", "hi there")
        );
        assert_eq!(got.data["a@1"]["y"], r#""]\\n"#);
        assert!(got.data["b"].is_empty());
        assert_eq!(read("<30>1 - - - - - -").unwrap().text, "");
    }

    #[test]
    fn what_is_no_message_is_not_read() {
        for line in [
            "",
            "<192>1 - - - - - -",
            "<30>2 - - - - - -",
            "<30>1 - - - - -",
            "<30>1 - - - - - [a x=\"1\" text",
            "<30>1 - - - - - [a x=\"]\"] text",
            "<30>1 - - - - - nothing",
        ] {
            assert_eq!(read(line), None, "{line}");
        }
    }
}
