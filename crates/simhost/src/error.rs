//! Errors in the simulator's batches.

/// A field that is missing, or whose type or value is not allowed. Holds the field's name on the JSON lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field '{0}' is missing or has an invalid type or value")]
pub struct FieldError(pub &'static str);

/// Why a line cannot be handled as a batch.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The line is not valid JSON.
    #[error("input line is not a batch: invalid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The batch has no valid serial number, which its reply has to repeat.
    #[error("batch has no serial number: field 'serial' must be an integer from 0 to 2^64 - 1")]
    NoSerial,
    /// A field of the batch itself is invalid.
    #[error("batch {serial}: {error}")]
    BatchField {
        /// Serial number of the batch.
        serial: u64,
        /// The invalid field.
        error: FieldError,
    },
    /// A field of one of the batch's events is invalid.
    #[error("batch {serial}: event '{event}': {error}")]
    EventField {
        /// Serial number of the batch.
        serial: u64,
        /// Name of the event.
        event: String,
        /// The invalid field.
        error: FieldError,
    },
}
