//! A child process whose output is collected by line.

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
    /// Name of the process in error messages.
    pub name: String,
    child: Mutex<Child>,
    lines: Arc<Mutex<VecDeque<String>>>,
    /// Threads that read its output until it is closed.
    readers: Mutex<Vec<JoinHandle<()>>>,
}

impl Process {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
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

    /// Waits until the whole output of an ended process is read. Under load its last lines are still in the pipes when
    /// its exit status is available, and a test that searches for them would miss them.
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

    /// Returns its last 20,000 lines of output, oldest first.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    /// Returns the number of its lines that contain a text.
    pub fn count(&self, text: &str) -> usize {
        self.lines().iter().filter(|line| line.contains(text)).count()
    }

    /// Waits for a line that contains a text, and returns it.
    ///
    /// # Errors
    ///
    /// The output so far, if the line does not appear within `timeout` or before the process ends.
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
        // After a child was reaped, the system may assign its process id to another process.
        if let (Ok(None), Some(pid)) = (child.try_wait(), Pid::from_raw(child.id() as i32)) {
            kill_process(pid, signal).ok();
        }
    }

    /// Sends SIGTERM.
    pub fn term(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGKILL and reaps the process.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
        self.child().wait().ok();
    }

    /// Suspends it with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes it with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until it ends; `None` if it still runs after `timeout`.
    pub fn wait(&self, timeout: Duration) -> Option<ExitStatus> {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            // A separate statement, so that the lock of the child is not held while its output is read.
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
