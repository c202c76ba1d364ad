//! Settings and initialisation of the log: structured lines, written only for changes of state.

use crate::{SettingsCheck, SettingsFault};
use metrics::counter;
use serde::{Deserialize, Serialize};
use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{Formatter, FullFormatter, JsonFormatter},
    sink::{AsyncPoolSink, FileSink, OverflowPolicy, Sink, StdStreamSink},
    terminal_style::StyleMode,
};
use std::{
    fmt,
    panic::{self, PanicHookInfo},
    path::PathBuf,
    str::FromStr,
    sync::Arc,
};

/// Target that stands for the standard error stream.
pub const STDERR_TARGET: &str = "stderr";

/// Target that stands for the standard output stream. A separate thread writes to it; if the stream
/// blocks and the queue is full, lines are dropped so that no caller waits.
pub const STDOUT_TARGET: &str = "stdout";

/// Destination, level and format of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest severity of the lines that are written.
    pub level: LogLevel,
    /// `stderr`, `stdout` or the path of a file that lines are appended to.
    pub target: PathBuf,
    /// Format of a line.
    pub format: LogFormat,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// No lines are written.
    Off,
    /// The process can't do its work.
    Error,
    /// A fault that the process continues with.
    Warn,
    /// Changes of state.
    Info,
    /// Changes of state that are of interest to developers only.
    Debug,
}

impl FromStr for LogLevel {
    type Err = String;

    fn from_str(text: &str) -> Result<LogLevel, String> {
        match text {
            "off" => Ok(LogLevel::Off),
            "error" => Ok(LogLevel::Error),
            "warn" => Ok(LogLevel::Warn),
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            _ => Err(format!(
                "log level \"{text}\" is none of off, error, warn, info, debug"
            )),
        }
    }
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line, with the fields `level`, `timestamp`, `payload` and `kv`.
    Json,
    /// Time, level, message and `key=value` pairs.
    Text,
}

/// A log that can't be opened.
#[derive(Debug)]
pub struct LogError {
    target: PathBuf,
    cause: spdlog::Error,
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let target = self.target.display();
        write!(f, "cannot open log \"{target}\": {}", self.cause)
    }
}

impl std::error::Error for LogError {}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings {
            level: LogLevel::Info,
            target: STDERR_TARGET.into(),
            format: LogFormat::Json,
        }
    }
}

impl SettingsCheck for LogSettings {
    fn check(&self) -> Result<(), SettingsFault> {
        if self.target.as_os_str().is_empty() {
            return Err(SettingsFault::new("log.target", "is empty"));
        }
        Ok(())
    }
}

/// Sets the process's default logger according to `settings`. A panic is logged and counted from then on.
///
/// # Errors
///
/// The log file can't be opened.
pub fn init(settings: &LogSettings) -> Result<(), LogError> {
    let fail = |cause| LogError {
        target: settings.target.clone(),
        cause,
    };
    let sink = open_sink(settings).map_err(fail)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(settings.level.filter())
        .flush_level_filter(LevelFilter::All)
        .build_arc()
        .map_err(fail)?;
    spdlog::set_default_logger(logger);
    log_panics();
    Ok(())
}

/// Logs and counts every panic, before the present hook runs.
fn log_panics() {
    let next = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log_panic(info);
        next(info);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    counter!("agatehill_process_panics").increment(1);
    spdlog::error!("panic", kv: { error = info.to_string() });
}

fn open_sink(settings: &LogSettings) -> Result<Arc<dyn Sink>, spdlog::Error> {
    match settings.format {
        LogFormat::Json => open_formatted(settings, JsonFormatter::new()),
        LogFormat::Text => open_formatted(settings, FullFormatter::new()),
    }
}

fn open_formatted<F: Formatter + 'static>(
    settings: &LogSettings,
    formatter: F,
) -> Result<Arc<dyn Sink>, spdlog::Error> {
    let stream = StdStreamSink::builder().style_mode(StyleMode::Never);
    if settings.target.as_os_str() == STDERR_TARGET {
        let sink = stream.stderr().formatter(formatter).build_arc()?;
        return Ok(sink);
    }
    if settings.target.as_os_str() == STDOUT_TARGET {
        let sink = stream.stdout().formatter(formatter).build_arc()?;
        let sink = AsyncPoolSink::builder()
            .sink(sink)
            .overflow_policy(OverflowPolicy::DropIncoming)
            .error_handler(|_| counter!("agatehill_log_lines_dropped").increment(1))
            .build_arc()?;
        return Ok(sink);
    }
    let sink = FileSink::builder()
        .path(&settings.target)
        .formatter(formatter)
        .build_arc()?;
    Ok(sink)
}

impl LogLevel {
    fn filter(self) -> LevelFilter {
        match self {
            LogLevel::Off => LevelFilter::Off,
            LogLevel::Error => LevelFilter::MoreSevereEqual(Level::Error),
            LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
            LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
            LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        }
    }
}
