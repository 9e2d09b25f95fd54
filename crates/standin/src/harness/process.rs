//! A child process of the harness, killed by its process id when dropped.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use keeljunction::runtime;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// A child process of the harness.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The JSON line with its listen addresses that the process printed at startup.
    pub startup_info: Value,
}

/// Returns the path of a workspace binary, in the build directory of the running program.
///
/// # Errors
///
/// Returns an I/O error if the path of the running program is unknown.
pub fn binary(name: &str) -> io::Result<PathBuf> {
    let mut directory = std::env::current_exe()?;
    directory.pop();
    if directory.ends_with("deps") {
        directory.pop();
    }
    Ok(directory.join(name))
}

impl Process {
    /// Starts a program that logs to a file, and waits until it prints its listen addresses.
    ///
    /// # Errors
    ///
    /// Returns an I/O error, or the program's output if it does not print a JSON line.
    pub fn start(name: &str, arguments: &[String], log: &Path) -> io::Result<Self> {
        let log_file = File::create(log)?;
        let mut child = Command::new(binary(name)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::from(log_file))
            .spawn()?;
        let output =
            child.stdout.take().ok_or_else(|| io::Error::other("stdout is not captured"))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let startup_info = serde_json::from_str(&line).map_err(|_| {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            io::Error::other(format!("{name} did not start: {line}{text}"))
        });
        let mut process = Self { child, startup_info: Value::Null };
        process.startup_info = startup_info?;
        Ok(process)
    }

    /// Returns the listen address that the process printed under `key`.
    ///
    /// # Panics
    ///
    /// Panics if there is no valid address under `key`.
    pub fn address(&self, key: &str) -> std::net::SocketAddr {
        let printed = self.startup_info[key].as_str().and_then(|address| address.parse().ok());
        #[allow(clippy::expect_used)]
        printed.expect("the process printed no valid address under this key")
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with `SIGKILL`.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Requests a graceful stop with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with `SIGSTOP`.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the process to exit; returns `None` after `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            runtime::sleep(Duration::from_millis(5)).await;
        }
        None
    }

    /// Returns the resident memory, in kilobytes.
    pub fn get_resident_kb(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the CPU time used, in milliseconds.
    pub fn get_cpu_ms(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).ok()?;
        let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        Some(ticks * 1000 / rustix::param::clock_ticks_per_second())
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = Pid::from_raw(self.id() as i32) {
            let _ = kill_process(id, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}
