//! Limits the rate of log lines that misbehaving endpoints can cause.

use log_throttle::LogThrottle;

/// A throttle for each kind of log line about attempts and answers.
#[derive(Debug, Default)]
pub struct AttemptLogThrottles {
    /// Malformed responses.
    pub(super) malformed_response: LogThrottle,
    /// Commands that an endpoint rejects as malformed.
    pub(super) rejected_command: LogThrottle,
    /// Attempts for which no connection was available.
    pub(super) no_connection: LogThrottle,
    /// Responses for which there was no memory.
    pub(super) no_memory: LogThrottle,
    /// Answers given after their deadline.
    pub late_answer: LogThrottle,
}
