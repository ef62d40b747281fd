//! What a server must not forget over a restart: its vote and its log.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use nanoserde::{DeBin, SerBin};
use spurpier_core::identity::ServerName;
use spurpier_core::position::Position;

use super::record::Record;

const VOTE_FILE: &str = "vote";
const VOTE_DRAFT_FILE: &str = "vote.draft";
const LOG_FILE: &str = "log";
const LENGTH_BYTES: usize = size_of::<u32>();

/// The newest term that a server knows and its vote in that term.
#[derive(Debug, Clone, PartialEq, Eq, Default, SerBin, DeBin)]
pub struct Vote {
    /// The term.
    pub term: u64,
    /// Whom the server voted for in it.
    pub candidate: Option<ServerName>,
}

/// Vote and log of one server, kept in memory and, if asked, in files.
#[derive(Debug, Default)]
pub(crate) struct Durable {
    vote: Vote,
    log: Vec<Arc<Record>>,
    files: Option<Files>,
}

impl Durable {
    /// State without files: it lives as long as its owner.
    pub(crate) fn in_memory() -> Self {
        Durable::default()
    }

    /// State kept in `directory`, read back from there if it exists.
    pub(crate) fn in_directory(directory: &Path) -> io::Result<Self> {
        fs::create_dir_all(directory)?;
        let vote = read_vote(directory)?;
        let (files, log) = Files::open(directory)?;
        Ok(Durable {
            vote,
            log,
            files: Some(files),
        })
    }

    /// The vote.
    pub(crate) fn vote(&self) -> &Vote {
        &self.vote
    }

    /// Replaces the vote; written before it can be answered.
    pub(crate) fn set_vote(&mut self, vote: Vote) {
        if let Some(files) = &self.files {
            let written = files.write_vote(&vote);
            written.expect("the vote file can be written");
        }
        self.vote = vote;
    }

    /// The position of the last record; zero if there is none.
    pub(crate) fn last(&self) -> Position {
        self.log
            .last()
            .map_or(Position::ZERO, |record| record.position)
    }

    /// The position of the last record before the first one of the last record's term.
    pub(crate) fn term_parent(&self) -> Position {
        let term = self.last().term;
        let before = self
            .log
            .partition_point(|record| record.position.term < term);
        self.position(before as u64)
    }

    /// The record at `offset`, counted from 1.
    pub(crate) fn record(&self, offset: u64) -> Option<&Arc<Record>> {
        let index = usize::try_from(offset.checked_sub(1)?).ok()?;
        self.log.get(index)
    }

    /// The position of the record at `offset`; zero before the first and past the last.
    pub(crate) fn position(&self, offset: u64) -> Position {
        self.record(offset)
            .map_or(Position::ZERO, |record| record.position)
    }

    /// Up to `limit` records past `after`.
    pub(crate) fn records_after(&self, after: u64, limit: usize) -> Vec<Arc<Record>> {
        let start = usize::try_from(after).unwrap_or(usize::MAX);
        self.log.iter().skip(start).take(limit).cloned().collect()
    }

    /// Adds a record at the end.
    pub(crate) fn append(&mut self, record: Arc<Record>) {
        if let Some(files) = &mut self.files {
            let written = files.append(&record);
            written.expect("the log file can be written");
        }
        self.log.push(record);
    }

    /// Forgets all records past `offset`.
    pub(crate) fn truncate(&mut self, offset: u64) {
        let keep = usize::try_from(offset).unwrap_or(usize::MAX);
        if let Some(files) = &mut self.files {
            let written = files.truncate(keep);
            written.expect("the log file can be truncated");
        }
        self.log.truncate(keep);
    }
}

#[derive(Debug)]
struct Files {
    directory: PathBuf,
    log: File,
    /// Where each record ends in the log file.
    ends: Vec<u64>,
}

impl Files {
    fn open(directory: &Path) -> io::Result<(Self, Vec<Arc<Record>>)> {
        let path = directory.join(LOG_FILE);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(error) => return Err(error),
        };
        let (records, ends) = decode_log(&bytes);
        let log = OpenOptions::new().create(true).append(true).open(&path)?;
        // A record cut short by a kill was never answered.
        log.set_len(ends.last().copied().unwrap_or(0))?;
        let directory = directory.to_owned();
        let files = Files {
            directory,
            log,
            ends,
        };
        Ok((files, records))
    }

    fn write_vote(&self, vote: &Vote) -> io::Result<()> {
        let draft = self.directory.join(VOTE_DRAFT_FILE);
        fs::write(&draft, vote.serialize_bin())?;
        fs::rename(&draft, self.directory.join(VOTE_FILE))
    }

    fn append(&mut self, record: &Record) -> io::Result<()> {
        let body = record.serialize_bin();
        let length = u32::try_from(body.len()).map_err(io::Error::other)?;
        let mut frame = length.to_be_bytes().to_vec();
        frame.extend_from_slice(&body);
        self.log.write_all(&frame)?;
        let end = self.ends.last().copied().unwrap_or(0) + frame.len() as u64;
        self.ends.push(end);
        Ok(())
    }

    fn truncate(&mut self, keep: usize) -> io::Result<()> {
        self.ends.truncate(keep);
        self.log.set_len(self.ends.last().copied().unwrap_or(0))
    }
}

fn read_vote(directory: &Path) -> io::Result<Vote> {
    match fs::read(directory.join(VOTE_FILE)) {
        Ok(bytes) => {
            Vote::deserialize_bin(&bytes).map_err(|error| io::Error::other(error.to_string()))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vote::default()),
        Err(error) => Err(error),
    }
}

fn decode_log(bytes: &[u8]) -> (Vec<Arc<Record>>, Vec<u64>) {
    let mut records = Vec::new();
    let mut ends = Vec::new();
    let mut rest = bytes;
    while let Some((head, tail)) = rest.split_first_chunk::<LENGTH_BYTES>() {
        let length = u32::from_be_bytes(*head) as usize;
        let Some(body) = tail.get(..length) else {
            break;
        };
        let Ok(record) = Record::deserialize_bin(body) else {
            break;
        };
        records.push(Arc::new(record));
        rest = &tail[length..];
        ends.push((bytes.len() - rest.len()) as u64);
    }
    (records, ends)
}
