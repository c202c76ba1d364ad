//! Runs the `agatehill` binary in a temporary folder.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
};
use tempfile::TempDir;

/// A temporary folder in which the tool runs.
pub(crate) struct WorkDir {
    dir: TempDir,
}

/// Exit code and output of a run of the tool.
#[derive(Debug)]
pub(crate) struct RunResult {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

#[allow(dead_code)]
impl WorkDir {
    pub(crate) fn open() -> WorkDir {
        WorkDir {
            dir: TempDir::new().unwrap(),
        }
    }

    /// Writes a file; creates its folder if needed.
    pub(crate) fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, text).unwrap();
        path
    }

    /// Runs the tool with `args`, separated by spaces.
    pub(crate) fn run(&self, args: &str) -> RunResult {
        let output = Command::new(env!("CARGO_BIN_EXE_agatehill"))
            .args(args.split_whitespace())
            .current_dir(self.dir.path())
            .env_remove("AGATEHILL_KEEPERS")
            .output()
            .unwrap();
        RunResult::from(output)
    }

    /// Runs the tool with `args` against the keeper at `keeper`.
    pub(crate) fn run_at(&self, keeper: SocketAddr, args: &str) -> RunResult {
        self.run(&format!("{args} --keeper {keeper}"))
    }
}

#[allow(dead_code)]
impl RunResult {
    /// Asserts the exit code and an empty standard error; returns standard output.
    #[track_caller]
    pub(crate) fn expect_stdout(self, code: i32) -> String {
        assert_eq!((self.code, self.stderr.as_str()), (code, ""), "{self:?}");
        self.stdout
    }

    /// Asserts the exit code and an empty standard output; returns standard error.
    #[track_caller]
    pub(crate) fn expect_stderr(self, code: i32) -> String {
        assert_eq!((self.code, self.stdout.as_str()), (code, ""), "{self:?}");
        self.stderr
    }
}

impl From<Output> for RunResult {
    fn from(output: Output) -> RunResult {
        RunResult {
            code: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Returns a contract of `customer` with one operation, whose deadline makes texts differ.
#[allow(dead_code)]
pub(crate) fn contract(customer: &str, revision: u64, deadline_ms: u64) -> String {
    format!(
        "customer = \"{customer}\"\nrevision = {revision}\ncalls_per_second = 100\n\
         calls_in_flight = 10\nretries_per_request = 2\nremember_hours = 48\n\
         [[operation]]\nservice = \"techreg\"\nmethod = \"GET\"\npath = \"/certificates/{{id}}\"\n\
         class = \"critical\"\nidempotent = true\ndeadline_ms = {deadline_ms}\n"
    )
}
