//! One thread of a process that stands still while the others go on, as it does while a disk hangs.

use nix::{
    sys::{
        ptrace,
        wait::{WaitPidFlag, waitpid},
    },
    unistd::Pid,
};
use std::{fs, path::Path};

/// A thread of a child process that stands still until this is dropped. It must be dropped by the thread that has
/// created it, as the kernel lets no other one resume it.
#[derive(Debug)]
pub struct StoppedThread(Pid);

impl StoppedThread {
    /// Stops the thread `name` of `process`.
    pub fn stop(process: u32, name: &str) -> StoppedThread {
        let thread = find_thread(process, name);
        ptrace::seize(thread, ptrace::Options::empty()).unwrap();
        ptrace::interrupt(thread).unwrap();
        waitpid(thread, Some(WaitPidFlag::__WALL)).unwrap();
        StoppedThread(thread)
    }
}

impl Drop for StoppedThread {
    fn drop(&mut self) {
        // Fails if the process has ended.
        let _ = ptrace::detach(self.0, None);
    }
}

fn find_thread(process: u32, name: &str) -> Pid {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).unwrap();
    let mut paths = tasks.map(|task| task.unwrap().path());
    let path = paths.find(|path| thread_name(path) == name);
    let path = path.unwrap_or_else(|| panic!("process {process} has no thread {name:?}"));
    let id = path.file_name().unwrap().to_str().unwrap();
    Pid::from_raw(id.parse().unwrap())
}

fn thread_name(task: &Path) -> String {
    let name = fs::read_to_string(task.join("comm")).unwrap_or_default();
    name.trim().to_owned()
}
