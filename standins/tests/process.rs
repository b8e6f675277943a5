//! Child processes of tests.

use std::path::Path;
use std::time::Duration;

use redwingfold_standins::fleet::Process;

/// Lines of each process; its output still fits into a pipe.
const LINES: usize = 10_000;

/// Many processes print their last lines and end, on a machine that is busy with all of them. Their ends
/// are known while the lines are still in the pipes: whoever has waited for the end must find them all,
/// or a test misses what it looks for.
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
