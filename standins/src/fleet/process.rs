//! A child process whose log lines are read.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

const MAX_LINES: usize = 20_000;
const POLL: Duration = Duration::from_millis(5);

/// A child process. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    /// What it is called in messages.
    pub name: String,
    child: Mutex<Child>,
    lines: Arc<Mutex<VecDeque<String>>>,
    /// What reads its output, until that ends.
    readers: Mutex<Vec<JoinHandle<()>>>,
}

impl Process {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start(name: &str, program: &Path, args: &[&str]) -> std::io::Result<Self> {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let lines = Arc::new(Mutex::new(VecDeque::new()));
        let out = child.stdout.take().map(|out| spawn_line_reader(out, lines.clone()));
        let err = child.stderr.take().map(|err| spawn_line_reader(err, lines.clone()));
        let readers = Mutex::new(out.into_iter().chain(err).collect());
        Ok(Self { name: name.to_owned(), child: Mutex::new(child), lines, readers })
    }

    /// Waits until all that an ended process has printed is read: beside load its last lines are still on
    /// their way when its end is known, and a test that looks for them would miss them.
    fn read_rest(&self) {
        let mut readers = self.readers.lock().unwrap_or_else(PoisonError::into_inner);
        readers.drain(..).for_each(|reader| {
            reader.join().ok();
        });
    }

    fn child(&self) -> std::sync::MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child().id()
    }

    /// Returns what it has printed, the oldest first.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    /// Returns how many of its lines contain a text.
    pub fn count(&self, text: &str) -> usize {
        self.lines().iter().filter(|line| line.contains(text)).count()
    }

    /// Waits for a line and returns it.
    ///
    /// # Errors
    ///
    /// What was printed, if the line does not come or the process ends.
    pub fn wait_for_line(&self, text: &str, timeout: Duration) -> Result<String, String> {
        let started_at = Instant::now();
        loop {
            let ended = self.has_ended();
            if ended {
                self.read_rest();
            }
            if let Some(line) = self.lines().into_iter().find(|line| line.contains(text)) {
                return Ok(line);
            }
            if ended || started_at.elapsed() > timeout {
                let printed = self.lines().join("\n");
                return Err(format!("{}: no line with {text:?}:\n{printed}", self.name));
            }
            std::thread::sleep(POLL);
        }
    }

    fn has_ended(&self) -> bool {
        !matches!(self.child().try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        let mut child = self.child();
        // A child that has ended and was waited for may have given its id to another process.
        if let (Ok(None), Some(pid)) = (child.try_wait(), Pid::from_raw(child.id() as i32)) {
            kill_process(pid, signal).ok();
        }
    }

    /// Asks it to stop.
    pub fn term(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills it.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
        self.child().wait().ok();
    }

    /// Freezes it.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for its end.
    pub fn wait(&self, timeout: Duration) -> Option<ExitStatus> {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            // Taken on its own, so that nothing holds the child while its output is read.
            let status = self.child().try_wait();
            if let Ok(Some(status)) = status {
                self.read_rest();
                return Some(status);
            }
            std::thread::sleep(POLL);
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.thaw();
        self.kill();
    }
}

fn spawn_line_reader(
    from: impl Read + Send + 'static,
    lines: Arc<Mutex<VecDeque<String>>>,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push_back(line);
            if lines.len() > MAX_LINES {
                lines.pop_front();
            }
        }
    })
}
