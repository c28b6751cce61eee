//! The log4rs appender.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use log::Level;
use log::Record;
use log4rs::append::Append;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;

use crate::encode::MAX_LINE_BYTES;
use crate::encode::encode;
use crate::rate::LineBudget;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

#[derive(Debug, Default)]
struct State {
    budgets: [LineBudget; 5],
    /// Dropped lines that no written line has reported yet.
    unreported: u64,
}

/// Writes lines to standard output and drops those that would block.
#[derive(Debug)]
pub(crate) struct LineAppender {
    state: Mutex<State>,
}

impl LineAppender {
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::new(State::default()),
        }
    }
}

impl Append for LineAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = &mut state.budgets[level_index(record.level())];
        let written = budget.take(Instant::now()) && {
            let line = encode(record, SystemTime::now(), state.unreported);
            // A longer line could be interleaved with others in a pipe.
            line.len() <= MAX_LINE_BYTES && write(&line)
        };
        if written {
            state.unreported = 0;
        } else {
            state.unreported += 1;
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn level_index(level: Level) -> usize {
    level as usize - 1
}

/// Writes a line if standard output accepts it without blocking. Returns whether
/// the line was written completely.
fn write(line: &[u8]) -> bool {
    let out = rustix::stdio::stdout();
    let mut ready = [PollFd::new(&out, PollFlags::OUT)];
    let no_wait = Timespec::try_from(Duration::ZERO).ok();
    let has_room = poll(&mut ready, no_wait.as_ref()).is_ok_and(|count| count > 0);
    has_room && rustix::io::write(out, line).is_ok_and(|length| length == line.len())
}
