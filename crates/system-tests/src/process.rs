//! A child process that is killed when its handle is dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use crate::wait_for;

/// A running binary of the workspace, killed on drop.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program` and writes its output to `<directory>/<name>.log`.
    ///
    /// # Panics
    ///
    /// If the program cannot be started. It must be built beforehand.
    pub fn spawn(directory: &Path, name: &str, program: &str, arguments: &[String]) -> Self {
        let log = directory.join(format!("{name}.log"));
        let output = File::create(&log).expect("cannot create the log file");
        let errors = output.try_clone().expect("cannot create the log file");
        let child = Command::new(binary(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|e| panic!("cannot start {program}, which scripts/test builds: {e}"));
        Self { child, log }
    }

    /// Kills the process with SIGKILL, which simulates a crash of its host.
    ///
    /// # Panics
    ///
    /// If waiting for the process fails.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.child
            .wait()
            .expect("cannot wait for the killed process");
    }

    /// Sends a signal, named without its `SIG` prefix: `TERM`, `STOP` or `CONT`.
    ///
    /// # Panics
    ///
    /// If the `kill` command fails.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status()
            .expect("cannot run kill");
        assert!(status.success(), "kill -{signal} {id} failed");
    }

    /// Waits until the process exits on its own.
    pub fn wait_exit(&mut self) -> ExitStatus {
        wait_for("the process to exit", || {
            self.child
                .try_wait()
                .expect("cannot read the process state")
        })
    }

    /// Whether the process has exited, without waiting.
    ///
    /// # Panics
    ///
    /// If its state cannot be read.
    pub fn has_exited(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("cannot read the process state")
            .is_some()
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Standard output and standard error of the process so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of a workspace binary: the directory of the running executable or, for a test executable in
/// `deps`, its parent directory.
fn binary(program: &str) -> PathBuf {
    let executable = std::env::current_exe().expect("cannot find the running executable");
    let mut directory = executable
        .parent()
        .expect("the running executable has no parent directory");
    if directory.ends_with("deps") {
        directory = directory
            .parent()
            .expect("the directory `deps` has no parent directory");
    }
    directory.join(program)
}
