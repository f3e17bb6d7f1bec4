//! Runs `pathbank-log` and checks its output and exit codes.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use std::io::Write;
use std::process::{Command, Stdio};

const LINES: &str = concat!(
    r#"<30>1 2026-12-01T00:00:00.1Z n3 pathbank 7 ATTEMPT [request@32473 request="5" volume="00" attempt="0" why="first" node="s-1" ending="error" took_us="1000"][meta sequenceId="1"]"#,
    "\n",
    r#"<30>1 2026-12-01T00:00:00.2Z n3 pathbank 7 ATTEMPT [request@32473 request="5" volume="00" attempt="1" why="another after error" node="s-2" ending="served" took_us="2000"][meta sequenceId="2"]"#,
    "\n",
    r#"<30>1 2026-12-01T00:00:00.2Z n3 pathbank 7 REQUEST [request@32473 request="5" volume="00" plan="p" class="c" units="1" attempts="2" held_us="10" out_us="3000" outcome="served" late="no" one_in="1"][meta sequenceId="3"]"#,
    "\n",
    r#"<28>1 2026-12-01T00:00:00.3Z n3 pathbank 7 WATCH_BROKE [node@32473 version="1" reason="x"][meta sequenceId="5"]"#,
    "\n",
);

/// Runs `pathbank-log`; returns the exit code, standard output and standard error.
fn run(arguments: &[&str], input: &str) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pathbank-log"));
    command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut stdin = child.stdin.take().unwrap();
    // With invalid arguments the program may end before it has read all input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let result = child.wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (result.status.code(), text(result.stdout), text(result.stderr))
}

#[test]
fn lines_are_shown_followed_and_summarized() {
    let count = |arguments: &[&str]| run(arguments, LINES).1.lines().count();
    assert_eq!(count(&["show"]), 4);
    assert_eq!(count(&["show", "-s", "warning"]), 1);
    assert_eq!(count(&["show", "--where", "msgid=ATTEMPT", "--where", "took_us>=2000"]), 1);
    let (code, output, _) = run(&["follow", "5"], LINES);
    assert_eq!((code, output.lines().count()), (Some(0), 3));
    assert!(output.lines().nth(1).unwrap().contains("attempt 1 at s-2: another after error"), "{output}");
    let (_, table, _) = run(&["sum", "node"], LINES);
    let rows: Vec<&str> = table.lines().skip(1).filter_map(|row| row.split_whitespace().next()).collect();
    assert_eq!(rows, ["s-1", "s-2"]);
}

#[test]
fn malformed_lines_are_reported_with_their_position_and_by_the_exit_code() {
    let (code, output, _) = run(&["check"], &format!("{LINES}{LINES}"));
    assert_eq!((code, output.as_str()), (Some(0), "4 lines, 0 malformed, 4 repeated, 1 missing\n"));
    let (code, _, errors) = run(&["check"], &format!("{LINES}<30>2 - - - - - -\n"));
    assert_eq!(code, Some(1));
    assert!(errors.contains("standard input, line 5, byte 4: version 1 is due"), "{errors}");
    assert_eq!(run(&["show", "--where", "nothing"], "").0, Some(2));
    assert_eq!(run(&["show", "-s", "loud"], "").0, Some(2));
    assert_eq!(run(&["show", "/nowhere/at.all"], "").0, Some(2));
}
