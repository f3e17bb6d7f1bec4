//! The log: RFC 5424 lines whose structured data are the record's key-value pairs, on standard error and, where
//! one is named, at a syslog receiver over TCP (RFC 6587, octet counting).

use log::kv::{Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use std::fmt::Write as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Facility 3, system daemons.
const FACILITY: u8 = 3;
/// The structured data's id; 32473 is the number that RFC 5612 sets aside for examples.
const SD_ID: &str = "pathbank@32473";
/// Lines that wait for the receiver; further ones go to standard error only.
const WAITING: usize = 1024;

struct Logger {
    host: String,
    level: LevelFilter,
    receiver: Option<mpsc::Sender<String>>,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= self.level && metadata.target().starts_with("pathbank")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = line(&self.host, SystemTime::now(), record);
        // A closed standard error or a slow receiver must not stop the head.
        let _ = writeln!(std::io::stderr(), "{line}");
        if let Some(receiver) = &self.receiver {
            let _ = receiver.try_send(line);
        }
    }

    fn flush(&self) {}
}

/// Must be called inside the runtime where a receiver is named: a task of its own writes to it.
pub fn start(
    host: &str,
    level: LevelFilter,
    receiver: Option<SocketAddr>,
) -> Result<(), log::SetLoggerError> {
    let receiver = receiver.map(|address| {
        let (sender, lines) = mpsc::channel(WAITING);
        tokio::spawn(send_lines(address, lines));
        sender
    });
    log::set_boxed_logger(Box::new(Logger { host: name(host), level, receiver }))?;
    log::set_max_level(level);
    Ok(())
}

/// A line that a broken connection may have swallowed is not sent again; the next one opens a new connection.
async fn send_lines(address: SocketAddr, mut lines: mpsc::Receiver<String>) {
    let mut stream = None;
    while let Some(line) = lines.recv().await {
        if stream.is_none() {
            stream = TcpStream::connect(address).await.ok();
        }
        if let Some(open) = &mut stream
            && open.write_all(frame(&line).as_bytes()).await.is_err()
        {
            stream = None;
        }
    }
}

/// One message as RFC 6587 frames it: its length in bytes, a space, the message.
pub fn frame(line: &str) -> String {
    format!("{} {line}", line.len())
}

fn line(host: &str, at: SystemTime, record: &Record) -> String {
    let severity = match record.level() {
        Level::Error => 3,
        Level::Warn => 4,
        Level::Info => 6,
        Level::Debug | Level::Trace => 7,
    };
    let mut pairs = Pairs(String::new());
    let _ = record.key_values().visit(&mut pairs);
    let data = if pairs.0.is_empty() { "-".to_string() } else { format!("[{SD_ID}{}]", pairs.0) };
    let part = name(record.target().rsplit("::").next().unwrap_or("-"));
    let text = record.args().to_string().replace(['\n', '\r'], " ");
    let (time, process) = (timestamp(at), std::process::id());
    format!("<{}>1 {time} {host} pathbank {process} {part} {data} {text}", FACILITY * 8 + severity)
}

/// A header field: printable ASCII without spaces, never empty.
fn name(text: &str) -> String {
    let kept: String = text.chars().filter(char::is_ascii_graphic).take(48).collect();
    if kept.is_empty() { "-".to_string() } else { kept }
}

struct Pairs(String);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let key: String =
            key.as_str().chars().filter(|c| c.is_ascii_graphic() && !"=]\"".contains(*c)).take(32).collect();
        let value = value.to_string().replace('\\', "\\\\").replace('"', "\\\"").replace(']', "\\]");
        write!(self.0, " {key}=\"{}\"", value.replace(['\n', '\r'], " "))?;
        Ok(())
    }
}

/// UTC with microseconds, as RFC 3339 writes it.
fn timestamp(at: SystemTime) -> String {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (days, second) = (since.as_secs() / 86_400, since.as_secs() % 86_400);
    // Days to a date of the Gregorian calendar, with years that start in March.
    let z = days + 719_468;
    let (era, of_era) = (z / 146_097, z % 146_097);
    let year_of_era = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted = (5 * of_year + 2) / 153;
    let (day, month) =
        (of_year - (153 * shifted + 2) / 5 + 1, if shifted < 10 { shifted + 3 } else { shifted - 9 });
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    let (hour, minute) = (second / 3600, second / 60 % 60);
    format!(
        "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}.{:06}Z",
        second % 60,
        since.subsec_micros()
    )
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn timestamps_are_utc_dates() {
        for (seconds, text) in [
            (0, "1970-01-01T00:00:00.000005Z"),
            (951_782_399, "2000-02-28T23:59:59.000005Z"),
            (951_782_400, "2000-02-29T00:00:00.000005Z"),
            (1_798_761_599, "2026-12-31T23:59:59.000005Z"),
        ] {
            assert_eq!(timestamp(UNIX_EPOCH + Duration::new(seconds, 5_000)), text);
        }
    }

    #[test]
    fn a_line_carries_its_pairs_as_escaped_structured_data() {
        let pairs: [(&str, &str); 2] = [("node", "s-1"), ("odd", "a\"b]c\\d\n")];
        let args = format_args!("two\nlines");
        let record = Record::builder()
            .level(Level::Warn)
            .target("pathbank::core")
            .args(args)
            .key_values(&pairs)
            .build();
        let line = line("n3", UNIX_EPOCH, &record);
        let (head, rest) = line.split_once(" pathbank ").unwrap();
        assert_eq!(head, "<28>1 1970-01-01T00:00:00.000000Z n3");
        let rest = rest.split_once(' ').unwrap().1;
        let data = r#"core [pathbank@32473 node="s-1" odd="a\"b\]c\\d "] two lines"#;
        assert_eq!(rest, data);
        assert_eq!(frame("abc"), "3 abc");
    }
}
