//! Processes of a test, each ended by its own id.

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

/// Time for a process to print the line that says it listens. Debug builds on
/// a busy machine take some seconds.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Output lines kept for messages.
const MAX_OUTPUT_LINES: usize = 400;

/// Finds a binary of this workspace beside the running test or demo.
///
/// # Errors
///
/// When it is not there: `cargo test --workspace` builds all of them.
pub fn binary_path(name: &str) -> Result<PathBuf> {
    let own = env::current_exe().wrap_err("cannot find the running executable")?;
    let mut directory = own.parent().unwrap_or(&own);
    if directory.ends_with("deps") {
        directory = directory.parent().unwrap_or(directory);
    }
    let path = directory.join(format!("{name}{}", env::consts::EXE_SUFFIX));
    ensure!(
        path.is_file(),
        "{} is not there; `cargo test --workspace` builds it",
        path.display()
    );
    Ok(path)
}

/// What to start.
#[derive(Debug, Clone)]
pub struct ProcessCommand {
    binary: String,
    arguments: Vec<OsString>,
    environment: Vec<(String, String)>,
}

impl ProcessCommand {
    /// A binary of this workspace.
    #[must_use]
    pub fn new(binary: &str) -> Self {
        Self {
            binary: binary.to_owned(),
            arguments: Vec::new(),
            environment: Vec::new(),
        }
    }

    /// Adds an argument.
    #[must_use]
    pub fn arg(mut self, argument: impl Into<OsString>) -> Self {
        self.arguments.push(argument.into());
        self
    }

    /// Adds a flag with a value.
    #[must_use]
    pub fn flag(self, name: &str, value: &(impl ToString + ?Sized)) -> Self {
        self.arg(name).arg(value.to_string())
    }

    /// Sets an environment variable.
    #[must_use]
    pub fn env(mut self, name: &str, value: &(impl ToString + ?Sized)) -> Self {
        self.environment.push((name.to_owned(), value.to_string()));
        self
    }

    /// Starts it.
    ///
    /// # Errors
    ///
    /// When the binary is not built or cannot be started.
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

/// A running process. Dropping it kills it and waits for its end.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    output: Arc<Mutex<VecDeque<String>>>,
    readers: Vec<JoinHandle<()>>,
}

impl Process {
    /// Its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The newest lines that it printed, stdout and stderr together.
    #[must_use]
    pub fn output(&self) -> Vec<String> {
        let lines = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().cloned().collect()
    }

    /// Waits for an output line from which `read` gets a value.
    ///
    /// # Errors
    ///
    /// When the process ends first or takes too long; the message has its
    /// output.
    pub async fn wait_for_line<T>(&mut self, read: impl Fn(&str) -> Option<T>) -> Result<T> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let ended = self.child.try_wait()?;
            if ended.is_some() {
                // Its pipes are closed, so the readers end with its last line.
                for reader in self.readers.drain(..) {
                    let _result = reader.join();
                }
            }
            if let Some(value) = self.output().iter().find_map(|line| read(line)) {
                return Ok(value);
            }
            if ended.is_some() || Instant::now() >= deadline {
                let output = self.output().join("\n");
                let name = &self.name;
                return Err(eyre!(
                    "{name} did not say that it listens; end: {ended:?}; output:\n{output}"
                ));
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits for the line `{label} {address}`.
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

    /// Whether it is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Stops it with SIGSTOP, as a paused machine.
    ///
    /// # Errors
    ///
    /// When it has ended.
    pub fn pause(&mut self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on with SIGCONT.
    ///
    /// # Errors
    ///
    /// When it has ended.
    pub fn resume(&mut self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to stop with SIGTERM.
    ///
    /// # Errors
    ///
    /// When it has ended.
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills it with SIGKILL and waits for its end.
    ///
    /// # Errors
    ///
    /// When the operating system refuses.
    pub fn kill(&mut self) -> Result<ExitStatus> {
        self.child.kill()?;
        Ok(self.child.wait()?)
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// When it goes on after `timeout`.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            let millis = timeout.as_millis();
            ensure!(
                Instant::now() < deadline,
                "{} {} goes on after {millis} ms",
                self.name,
                self.id()
            );
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Asks it to stop with SIGTERM and waits for its end.
    ///
    /// # Errors
    ///
    /// When it goes on after `timeout`.
    pub async fn shutdown(&mut self, timeout: Duration) -> Result<ExitStatus> {
        self.terminate()?;
        self.wait_for_exit(timeout).await
    }

    fn signal(&mut self, signal: Signal) -> Result<()> {
        // A process that was waited for has given its id back.
        let name = &self.name;
        ensure!(
            self.child.try_wait()?.is_none(),
            "{name} has ended and cannot get a signal"
        );
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only when the process has ended and was waited for.
        let _results = (self.child.kill(), self.child.wait());
    }
}
