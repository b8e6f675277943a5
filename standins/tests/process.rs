//! Child processes of tests.

use std::path::Path;
use std::time::Duration;

use redwingfold_standins::fleet::Process;

/// Lines of output of each process; they still fit into a pipe.
const LINES: usize = 10_000;

/// Guards against a test that misses the last lines of a process: under load its exit status is available while the
/// lines are still in the pipe. After [`Process::wait`] all lines must have been read.
#[test]
fn all_lines_are_read_at_the_end() {
    let script = format!("seq 1 {LINES}");
    let args = ["-c", script.as_str()];
    std::thread::scope(|scope| {
        for n in 0..64 {
            scope.spawn(move || {
                let process = Process::start("printer", Path::new("/bin/sh"), &args).unwrap();
                let ended = process.wait(Duration::from_secs(60));
                assert!(ended.is_some_and(|status| status.success()));
                assert_eq!(process.lines().len(), LINES, "process {n}");
            });
        }
    });
}
