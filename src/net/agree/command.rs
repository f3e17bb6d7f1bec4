//! `pathbank agree`: what operators ask voters, and what they do with a voter's disk while it is stopped.

use super::archive::Archive;
use super::backup::{self, Backup, MAX_DISK_BYTES};
use super::call::{CallError, Caller};
use super::database::{DatabaseError, Record, VoterDatabase};
use super::wire::{
    PROPOSE_PATH, ProposalOutcome, RECORDS_PATH, RecordsReply, RecordsRequest, STATE_PATH, STATUS_PATH,
    StateReply, StateRequest, VERIFY_PATH, VOTERS_PATH, VoterStatus,
};
use crate::agree::archive::{DigestChain, Verification};
use crate::agree::document::Edit;
use crate::agree::document_state::DocumentState;
use crate::agree::{Index, VoterId, report};
use crate::command_line;
use crate::config::agree::Agreement;
use clap::{Parser, Subcommand};
use serde::Serialize;
use serde_json::json;
use std::fmt;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{Duration, Instant, sleep};

/// One call to one voter, and how long a leader is looked for.
const CALL_TIME: Duration = Duration::from_secs(8);
const LEADER_TIME: Duration = Duration::from_secs(10);
/// A voter that does not say by then how far it is is not waited for.
const STATUS_TIME: Duration = Duration::from_secs(2);
const AGAIN: Duration = Duration::from_millis(100);
const RECORDS_PER_REQUEST: usize = 1_000;

/// What the heads agree on. Voters are those of the file that PATHBANK_AGREE names (deploy/agree.toml), or of
/// `--at`.
#[derive(Parser)]
#[command(name = "pathbank agree")]
struct Line {
    #[command(subcommand)]
    what: What,
    /// Voters to ask, in place of the file's: ADDRESS, several times.
    #[arg(long, global = true)]
    at: Vec<String>,
    /// The fleet's name, with `--at`.
    #[arg(long, global = true)]
    cluster: Option<String>,
    /// One JSON object a line.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum What {
    /// Makes a new voter's disk and prints its number.
    Init {
        #[arg(long)]
        directory: PathBuf,
    },
    /// How each voter stands.
    Status,
    /// Documents in force, or one of them, with what is prepared; as the leader has it, or as any voter does.
    Show {
        document: Option<String>,
        /// As the first voter that answers has it, maybe old.
        #[arg(long)]
        any: bool,
    },
    /// Edits and what came into force, from the first on.
    History {
        document: Option<String>,
        #[arg(long, default_value_t = 0)]
        after: Index,
    },
    /// What changed between two versions of a document.
    Diff { document: String, before: u64, after: u64 },
    /// Changes fields of one document, or of several by a file of JSON.
    Propose {
        document: Option<String>,
        /// FIELD=VALUE: limit:RATE[,LEAST], attempts:N, repeats:never|keyed|always, node:in|out, plain:TEXT,
        /// none.
        changes: Vec<String>,
        /// The version that was seen; without it the one that is read now.
        #[arg(long)]
        base: Option<u64>,
        #[arg(long)]
        why: String,
        #[arg(long)]
        who: Option<String>,
        /// Parts of an edit: {"DOCUMENT": {"base": N, "changes": {"FIELD": VALUE}}}.
        #[arg(long)]
        file: Option<PathBuf>,
        /// The same number as before, where it is not known what became of an edit.
        #[arg(long)]
        id: Option<u64>,
        /// Returns once it is in force, not once it counts.
        #[arg(long)]
        wait: bool,
    },
    /// Tells each entry as it counts.
    Watch {
        #[arg(long)]
        after: Option<Index>,
    },
    /// Follows the digests of the whole log, at each voter or on a stopped one's disk.
    Verify {
        #[arg(long)]
        directory: Option<PathBuf>,
    },
    /// Adds or removes a voter.
    Voters {
        /// NUMBER=ADDRESS.
        #[arg(long)]
        add: Option<String>,
        #[arg(long)]
        remove: Option<VoterId>,
    },
    /// Writes all that counts to a file.
    Backup {
        #[arg(long)]
        to: PathBuf,
    },
    /// Makes a new voter's disk from a backup, as the only voter of a new cluster.
    Restore {
        #[arg(long)]
        from: PathBuf,
        #[arg(long)]
        directory: PathBuf,
        /// Where the others will reach it.
        #[arg(long)]
        address: String,
    },
}

#[derive(Debug)]
enum Problem {
    MessageEnvelope(String),
    Call(String, CallError),
    VoterDatabase(DatabaseError),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::MessageEnvelope(what) => f.write_str(what),
            Problem::Call(address, problem) => write!(f, "{address}: {problem}"),
            Problem::VoterDatabase(problem) => write!(f, "{problem}"),
        }
    }
}

impl From<DatabaseError> for Problem {
    fn from(problem: DatabaseError) -> Self {
        Problem::VoterDatabase(problem)
    }
}

fn said(what: impl fmt::Display) -> Problem {
    Problem::MessageEnvelope(what.to_string())
}

type Done<T = ()> = Result<T, Problem>;

/// `args` begin with the program's name.
pub fn run(args: impl IntoIterator<Item = String>) -> ExitCode {
    let line: Line = match command_line::read(args) {
        Ok(line) => line,
        Err(end) => return end,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = runtime.map_err(said).and_then(|runtime| runtime.block_on(carry_out(line)));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pathbank agree: {problem}");
            ExitCode::FAILURE
        }
    }
}

async fn carry_out(line: Line) -> Done {
    match &line.what {
        What::Init { directory } => {
            let id = new_voter_id();
            VoterDatabase::create(directory, id)?;
            say(&line, &id.to_string(), &json!({"voter": id}))
        }
        What::Verify { directory: Some(directory) } => {
            let (disk, _) = VoterDatabase::open(directory, MAX_DISK_BYTES)?;
            let mut chain = DigestChain::default();
            Archive::beside(directory).follow(&mut chain)?;
            tell_verified(&line, &directory.display().to_string(), &disk.verify(chain)?.done())
        }
        What::Restore { from, directory, address } => restore(&line, from, directory, address),
        _ => Desk::new(&line)?.carry_out(&line).await,
    }
}

/// A few digits are easier to read out; two of one number are refused by the file that lists them.
fn new_voter_id() -> VoterId {
    fastrand::u64(1..1 << 48)
}

fn say(line: &Line, text: &str, value: &impl Serialize) -> Done {
    let out =
        if line.json { serde_json::to_string(value).map_err(said)? } else { text.trim_end().to_string() };
    let mut stdout = std::io::stdout().lock();
    // Whoever has read enough closes the pipe: that is no fault.
    match writeln!(stdout, "{out}").and_then(|()| stdout.flush()) {
        Err(problem) if problem.kind() == std::io::ErrorKind::BrokenPipe => std::process::exit(0),
        done => done.map_err(said),
    }
}

fn tell_verified(line: &Line, at: &str, found: &Verification) -> Done {
    let gaps: Vec<String> = found.gaps.iter().map(|(from, to)| format!("{from} to {to}")).collect();
    let gaps = if gaps.is_empty() { String::new() } else { format!(", without {}", gaps.join(", ")) };
    let word = match found.wrong {
        Some(wrong) => format!("entry {wrong} is not what was written"),
        None => "sound".to_string(),
    };
    say(
        line,
        &format!("{at}: {} entries up to {}{gaps}: {word}", found.entries, found.last),
        &json!({"at": at, "found": found}),
    )?;
    match found.wrong {
        Some(wrong) => Err(said(format!("{at}: entry {wrong} is not what was written"))),
        None => Ok(()),
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

struct Desk {
    caller: Caller,
    cluster: String,
    addresses: Vec<String>,
}

impl Desk {
    fn new(line: &Line) -> Done<Desk> {
        let file = || match Agreement::from_environment() {
            Ok(Some(agreement)) => Ok(agreement),
            Ok(None) => Err(said("the agreement's file is off; name voters with --at and --cluster")),
            Err(problem) => Err(said(problem)),
        };
        let (cluster, addresses) = match (&line.cluster, &line.at[..]) {
            (Some(cluster), [_, ..]) => (cluster.clone(), line.at.clone()),
            (None, []) => {
                let file = file()?;
                (file.cluster, file.voters.into_values().collect())
            }
            (None, at) => (file()?.cluster, at.to_vec()),
            (Some(_), []) => return Err(said("--cluster goes with --at")),
        };
        Ok(Desk { caller: Caller::new(&cluster), cluster, addresses })
    }

    async fn carry_out(&self, line: &Line) -> Done {
        match &line.what {
            What::Status => self.status(line).await,
            What::Show { document, any } => self.show(line, document.as_deref(), *any).await,
            What::History { document, after } => {
                let records = self.all_records(*after).await?;
                if let Some(first) = records.first().filter(|first| first.index != after + 1) {
                    eprintln!(
                        "pathbank agree: entries {} to {} are not at this voter",
                        after + 1,
                        first.index - 1
                    );
                }
                self.tell_records(line, &records, document.as_deref())
            }
            What::Diff { document, before, after } => {
                let records = self.all_records(0).await?;
                if records.first().is_some_and(|record| record.index != 1) {
                    return Err(said(
                        "this voter has no entries from before it came, or they were moved away; ask another one",
                    ));
                }
                let versions = report::versions(records.iter().map(|record| &record.entry), document);
                let of = |version: &u64| {
                    let found = versions.iter().find(|document| document.version == *version);
                    found.ok_or_else(|| said(format!("{document} has no version {version}")))
                };
                let (before, after) = (of(before)?, of(after)?);
                say(line, &report::diff(before, after), &json!({"before": before, "after": after}))
            }
            What::Propose { .. } => self.propose(line).await,
            What::Watch { after } => self.watch(line, *after).await,
            What::Verify { .. } => {
                let mut wrong = None;
                for address in &self.addresses {
                    match self.call::<Verification>(address, VERIFY_PATH, &()).await {
                        Ok(found) => {
                            wrong = tell_verified(line, address, &found).err().or(wrong);
                        }
                        Err(problem) => wrong = Some(problem),
                    }
                }
                wrong.map_or(Ok(()), Err)
            }
            What::Voters { add, remove } => self.voters(line, add.as_deref(), *remove).await,
            What::Backup { to } => self.backup(line, to).await,
            What::Init { .. } | What::Restore { .. } => Ok(()),
        }
    }

    async fn call<A: serde::de::DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        asked: &impl Serialize,
    ) -> Done<A> {
        let told = self.caller.call(address, path, asked, CALL_TIME).await;
        told.map_err(|problem| Problem::Call(address.to_string(), problem))
    }

    /// How each voter stands that says so within that time.
    async fn statuses(&self, within: Duration) -> Vec<(String, Done<VoterStatus>)> {
        let asked = self.addresses.iter().map(|address| async move {
            let told = self.caller.call(address, STATUS_PATH, &(), within).await;
            (address.clone(), told.map_err(|problem| Problem::Call(address.clone(), problem)))
        });
        futures_util::future::join_all(asked).await
    }

    async fn status(&self, line: &Line) -> Done {
        let mut validation_error = None;
        for (address, status) in self.statuses(CALL_TIME).await {
            match status {
                Ok(status) => {
                    let leader = status.leader.map_or("none".to_string(), |id| id.to_string());
                    let text = format!(
                        "{address}: voter {} start {} term {} leader {leader} last {} counts {} prepared {} in force {} disk {} bytes of {} voters",
                        status.id,
                        status.incarnation,
                        status.term,
                        status.last,
                        status.commit,
                        status.prepared,
                        status.active,
                        status.disk_bytes,
                        status.voters.len()
                    );
                    say(line, &text, &json!({"at": address, "status": status}))?;
                }
                Err(problem) => {
                    say(line, &problem.to_string(), &json!({"at": address, "problem": problem.to_string()}))?;
                    validation_error = Some(said("not every voter answers"));
                }
            }
        }
        validation_error.map_or(Ok(()), Err)
    }

    /// Asks whoever leads. `none`: the one asked does not, and may know who does.
    async fn of_leader<A>(&self, path: &str, asked: &impl Serialize, none: impl Fn(&A) -> bool) -> Done<A>
    where
        A: serde::de::DeserializeOwned,
    {
        let (until, mut last) = (Instant::now() + LEADER_TIME, said("no voter answers"));
        loop {
            for address in &self.addresses {
                match self.call::<A>(address, path, asked).await {
                    Ok(told) if none(&told) => last = said("no voter leads now: ask again, or see `status`"),
                    Ok(told) => return Ok(told),
                    Err(problem) => last = problem,
                }
            }
            if Instant::now() >= until {
                return Err(last);
            }
            sleep(AGAIN).await;
        }
    }

    async fn state(&self, linearizable: bool) -> Done<DocumentState> {
        let none = |told: &StateReply| !matches!(told, StateReply::State(_));
        match self.of_leader(STATE_PATH, &StateRequest { linearizable }, none).await? {
            StateReply::State(state) => Ok(*state),
            _ => Err(said("no voter leads now")),
        }
    }

    async fn show(&self, line: &Line, only: Option<&str>, any: bool) -> Done {
        let state = self.state(!any).await?;
        let mut names: Vec<&str> =
            state.names().filter(|name| only.is_none_or(|only| only == *name)).collect();
        names.sort_unstable();
        names.dedup();
        if let (Some(only), []) = (only, &names[..]) {
            return Err(said(format!("there is no document {only}")));
        }
        for name in names {
            let in_force = state.document(name);
            let latest =
                state.latest(name).filter(|latest| in_force.is_none_or(|now| now.version < latest.version));
            if let Some(document) = in_force {
                let told = json!({"name": name, "state": "in force", "document": document});
                say(line, &report::document(name, document, ", in force"), &told)?;
            }
            if let Some(document) = latest {
                let told = json!({"name": name, "state": "prepared", "document": document});
                say(line, &report::document(name, document, ", prepared"), &told)?;
            }
        }
        Ok(())
    }

    /// How far the furthest voter that answers is: the others may not have heard yet of the last entries that
    /// count.
    async fn furthest(&self, of: impl Fn(&VoterStatus) -> Index) -> Done<Index> {
        let until = Instant::now() + LEADER_TIME;
        loop {
            let (mut furthest, mut last) = (None, said("no voter answers"));
            for (_, status) in self.statuses(STATUS_TIME).await {
                match status {
                    Ok(status) => furthest = furthest.max(Some(of(&status))),
                    Err(problem) => last = problem,
                }
            }
            if let Some(furthest) = furthest {
                return Ok(furthest);
            }
            if Instant::now() >= until {
                return Err(last);
            }
            sleep(AGAIN).await;
        }
    }

    /// All records after one that count at any voter that answers.
    async fn all_records(&self, after: Index) -> Done<Vec<Record>> {
        let through = self.furthest(|status| status.commit).await?;
        self.records(after, through).await
    }

    /// The records after one, at least up to another, from the first voter that has them all.
    async fn records(&self, after: Index, through: Index) -> Done<Vec<Record>> {
        let until = Instant::now() + LEADER_TIME;
        loop {
            let mut last = said("no voter answers");
            for address in &self.addresses {
                match self.records_of(address, after, through).await {
                    Ok(Some(records)) => return Ok(records),
                    Ok(None) => last = said(format!("no voter that answers has all entries up to {through}")),
                    Err(problem) => last = problem,
                }
            }
            if Instant::now() >= until {
                return Err(last);
            }
            sleep(AGAIN).await;
        }
    }

    /// `None`: that voter lags, and does not have all of them yet.
    async fn records_of(&self, address: &str, after: Index, through: Index) -> Done<Option<Vec<Record>>> {
        let (mut records, mut at) = (Vec::new(), after);
        while at < through {
            let asked = RecordsRequest { after: at, most: RECORDS_PER_REQUEST };
            let told = self.call::<RecordsReply>(address, RECORDS_PATH, &asked).await?;
            let Some(last) = told.records.last().filter(|_| told.commit >= through) else { return Ok(None) };
            at = last.index;
            records.extend(told.records);
        }
        Ok(Some(records))
    }

    fn tell_records(&self, line: &Line, records: &[Record], only: Option<&str>) -> Done {
        for record in records {
            if let Some(text) = report::entry(record.index, &record.entry, only) {
                say(line, &text, record)?;
            }
        }
        Ok(())
    }

    async fn watch(&self, line: &Line, after: Option<Index>) -> Done {
        let mut at = match after {
            Some(after) => after,
            None => self.state(false).await?.applied(),
        };
        loop {
            // Voters that are gone for a while are no end of the watch.
            if let Ok(records) = self.all_records(at).await {
                at = records.last().map_or(at, |record| record.index);
                self.tell_records(line, &records, None)?;
            }
            sleep(AGAIN).await;
        }
    }

    async fn propose(&self, line: &Line) -> Done {
        let What::Propose { document, changes, base, why, who, file, id, wait } = &line.what else {
            return Ok(());
        };
        let who = who.clone().or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "unknown".to_string());
        let id = id.unwrap_or_else(|| fastrand::u64(1..));
        let edit = match (document, file) {
            (None, Some(file)) => {
                let text =
                    std::fs::read_to_string(file).map_err(|e| said(format!("{}: {e}", file.display())))?;
                let parts =
                    serde_json::from_str(&text).map_err(|e| said(format!("{}: {e}", file.display())))?;
                Edit { id, parts, who, why: why.clone(), at_ms: now_ms() }
            }
            (Some(name), None) => {
                let base = match base {
                    Some(base) => *base,
                    None => self.state(true).await?.latest(name).map_or(0, |document| document.version),
                };
                report::edit(id, name, base, changes, (&who, why, now_ms())).map_err(said)?
            }
            _ => return Err(said("either a document with its changes is due, or --file")),
        };
        let none = |told: &ProposalOutcome| matches!(told, ProposalOutcome::NotLeader(_));
        let told = self.of_leader(PROPOSE_PATH, &edit, none).await;
        let entry = match told {
            Ok(ProposalOutcome::Entry(entry)) => entry,
            Ok(ProposalOutcome::Rejected(rejected)) => return Err(said(format!("refused: {rejected}"))),
            // It may have been taken by a voter that was lost before it could say so.
            Ok(_) | Err(Problem::Call(..)) => {
                return Err(said(format!(
                    "it is not known whether it counts: send the same again with --id {id}"
                )));
            }
            Err(problem) => return Err(problem),
        };
        if *wait {
            while self.furthest(|status| status.active).await? < entry {
                sleep(AGAIN).await;
            }
        }
        let state = if *wait { "in force" } else { "counts" };
        say(line, &format!("entry {entry} {state}"), &json!({"entry": entry, "id": id, "state": state}))
    }

    async fn voters(&self, line: &Line, add: Option<&str>, remove: Option<VoterId>) -> Done {
        let known = self.statuses(CALL_TIME).await.into_iter().find_map(|(_, status)| {
            status.ok().filter(|status| status.leader == Some(status.id)).map(|status| status.voters)
        });
        let Some(mut voters) = known else { return Err(said("no voter leads now")) };
        match (add, remove) {
            (Some(add), None) => {
                let (number, address) =
                    add.split_once('=').ok_or_else(|| said("--add NUMBER=ADDRESS is due"))?;
                let number = number.parse().map_err(|_| said(format!("{number} is no voter's number")))?;
                voters.insert(number, address.to_string());
            }
            (None, Some(remove)) => {
                if voters.remove(&remove).is_none() {
                    return Err(said(format!("{remove} is no voter")));
                }
            }
            (None, None) => {
                let text: String = voters.iter().map(|(id, at)| format!("{id} at {at}\n")).collect();
                return say(line, &text, &voters);
            }
            _ => return Err(said("one change at a time")),
        }
        let none = |told: &ProposalOutcome| matches!(told, ProposalOutcome::NotLeader(_));
        match self.of_leader(VOTERS_PATH, &voters, none).await? {
            ProposalOutcome::Entry(entry) => {
                say(line, &format!("entry {entry} counts"), &json!({"entry": entry}))
            }
            ProposalOutcome::NotNow(why) => Err(said(why)),
            _ => Err(said("it is not known whether it counts: see `voters`")),
        }
    }

    async fn backup(&self, line: &Line, to: &Path) -> Done {
        let state = self.state(true).await?;
        let read = state.applied();
        // The leader has told the documents; a voter that lags behind it does not have their last entries.
        let mut records = self.records(0, read).await?;
        records.retain(|record| record.index <= read);
        let count = records.len();
        backup::write(to, &self.cluster, state, &records)
            .map_err(|problem| said(format!("{}: {problem}", to.display())))?;
        say(line, &format!("up to entry {read}, {count} entries"), &json!({"entry": read, "entries": count}))
    }
}

fn restore(line: &Line, from: &Path, directory: &Path, address: &str) -> Done {
    let backup = Backup::read(from).map_err(|problem| said(format!("{}: {problem}", from.display())))?;
    let (id, cluster) = (new_voter_id(), backup.cluster.clone());
    let last = backup.restore(directory, id, address)?;
    let text = format!("voter {id} with {last} entries; give the cluster another name than {cluster}");
    say(line, &text, &json!({"voter": id, "entries": last}))
}
