//! Child processes of a test, each signalled by its process id.

use std::collections::VecDeque;
use std::env;
use std::ffi::OsString;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, ensure, eyre};
use rustix::process::{Pid, Signal, kill_process};

/// Timeout for a process to print the address it listens on. Debug builds take
/// several seconds on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The newest output lines, kept for error messages.
const MAX_OUTPUT_LINES: usize = 400;

/// Returns the path of a workspace binary, found in the target directory of
/// the running executable.
///
/// # Errors
///
/// When it isn't built; `cargo test --workspace` builds all binaries.
pub fn binary_path(name: &str) -> Result<PathBuf> {
    let executable = env::current_exe().wrap_err("cannot find the running executable")?;
    let mut directory = executable.parent().unwrap_or(&executable);
    if directory.ends_with("deps") {
        directory = directory.parent().unwrap_or(directory);
    }
    let path = directory.join(format!("{name}{}", env::consts::EXE_SUFFIX));
    ensure!(
        path.is_file(),
        "{} doesn't exist; `cargo test --workspace` builds it",
        path.display()
    );
    Ok(path)
}

/// A command line for a binary of this workspace.
#[derive(Debug, Clone)]
pub struct ProcessCommand {
    binary: String,
    arguments: Vec<OsString>,
    environment: Vec<(String, String)>,
}

impl ProcessCommand {
    /// A command without arguments that runs the workspace binary `binary`.
    #[must_use]
    pub fn new(binary: &str) -> Self {
        Self {
            binary: binary.to_owned(),
            arguments: Vec::new(),
            environment: Vec::new(),
        }
    }

    /// Appends an argument.
    #[must_use]
    pub fn arg(mut self, argument: impl Into<OsString>) -> Self {
        self.arguments.push(argument.into());
        self
    }

    /// Appends a flag and its value as two arguments.
    #[must_use]
    pub fn flag(self, name: &str, value: &(impl ToString + ?Sized)) -> Self {
        self.arg(name).arg(value.to_string())
    }

    /// Sets an environment variable in addition to the inherited ones.
    #[must_use]
    pub fn env(mut self, name: &str, value: &(impl ToString + ?Sized)) -> Self {
        self.environment.push((name.to_owned(), value.to_string()));
        self
    }

    /// Starts the process, with its output collected and its stdin open.
    ///
    /// # Errors
    ///
    /// When the binary isn't built or can't be started.
    pub fn start(&self) -> Result<Process> {
        let path = binary_path(&self.binary)?;
        let mut child = Command::new(&path)
            .args(&self.arguments)
            .envs(self.environment.iter().cloned())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", path.display()))?;
        let output = Arc::new(Mutex::new(VecDeque::new()));
        let mut readers = Vec::new();
        if let Some(stdout) = child.stdout.take() {
            readers.push(collect_lines(stdout, Arc::clone(&output)));
        }
        if let Some(stderr) = child.stderr.take() {
            readers.push(collect_lines(stderr, Arc::clone(&output)));
        }
        Ok(Process {
            name: self.binary.clone(),
            child,
            output,
            readers,
        })
    }
}

fn collect_lines(
    stream: impl Read + Send + 'static,
    output: Arc<Mutex<VecDeque<String>>>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let mut lines = output.lock().unwrap_or_else(PoisonError::into_inner);
            if lines.len() == MAX_OUTPUT_LINES {
                lines.pop_front();
            }
            lines.push_back(line);
        }
    })
}

/// A child process. Dropping it kills the process and waits for it to exit.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    output: Arc<Mutex<VecDeque<String>>>,
    readers: Vec<JoinHandle<()>>,
}

impl Process {
    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The newest lines of output, stdout and stderr combined.
    #[must_use]
    pub fn output(&self) -> Vec<String> {
        let lines = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().cloned().collect()
    }

    /// Waits for an output line that `read` maps to a value, and returns that
    /// value.
    ///
    /// # Errors
    ///
    /// When the process exits first or the start timeout expires. The message
    /// contains the output.
    pub async fn wait_for_line<T>(&mut self, read: impl Fn(&str) -> Option<T>) -> Result<T> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let exited = self.child.try_wait()?;
            if exited.is_some() {
                // The exit closed the pipes, so the readers return after the
                // last line.
                for reader in self.readers.drain(..) {
                    let _result = reader.join();
                }
            }
            if let Some(value) = self.output().iter().find_map(|line| read(line)) {
                return Ok(value);
            }
            if exited.is_some() || Instant::now() >= deadline {
                let output = self.output().join("\n");
                let name = &self.name;
                return Err(eyre!(
                    "{name} didn't print the expected line; exit status: {exited:?}; output:\n{output}"
                ));
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits for the line `{label} {address}` and returns the address.
    ///
    /// # Errors
    ///
    /// As [`Process::wait_for_line`].
    pub async fn wait_for_address(&mut self, label: &str) -> Result<SocketAddr> {
        self.wait_for_line(|line| {
            let address = line.strip_prefix(label)?.strip_prefix(' ')?;
            address.parse().ok()
        })
        .await
    }

    /// Whether the process hasn't exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends SIGSTOP, which simulates a paused machine.
    ///
    /// # Errors
    ///
    /// When the process has exited.
    pub fn pause(&mut self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Sends SIGCONT, which resumes a paused process.
    ///
    /// # Errors
    ///
    /// When the process has exited.
    pub fn resume(&mut self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Sends SIGTERM, which requests a graceful shutdown.
    ///
    /// # Errors
    ///
    /// When the process has exited.
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Sends SIGKILL and waits for the process to exit.
    ///
    /// # Errors
    ///
    /// When the operating system returns an error.
    pub fn kill(&mut self) -> Result<ExitStatus> {
        self.child.kill()?;
        Ok(self.child.wait()?)
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// When it is still running after `timeout`.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            let millis = timeout.as_millis();
            ensure!(
                Instant::now() < deadline,
                "{} (pid {}) is still running after {millis} ms",
                self.name,
                self.id()
            );
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Sends SIGTERM and waits for the process to exit.
    ///
    /// # Errors
    ///
    /// When it is still running after `timeout`.
    pub async fn shutdown(&mut self, timeout: Duration) -> Result<ExitStatus> {
        self.terminate()?;
        self.wait_for_exit(timeout).await
    }

    fn signal(&mut self, signal: Signal) -> Result<()> {
        // The id of a reaped process may already belong to another one.
        let name = &self.name;
        ensure!(
            self.child.try_wait()?.is_none(),
            "{name} has exited and can't be signalled"
        );
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only when the process has exited and was reaped.
        let _results = (self.child.kill(), self.child.wait());
    }
}
