//! Access to the fields of an event, which the simulator writes as a JSON array without names.

use crate::error::FieldError;
use serde_json::Value;

/// The fields that follow an event's name and instance number. The `name` that most methods take is the
/// field's name for the error.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(pub &'a [Value]);

impl<'a> Fields<'a> {
    /// The value at a position, of any type; `None` past the last field.
    pub fn get(self, index: usize) -> Option<&'a Value> {
        self.0.get(index)
    }

    /// A mandatory string.
    pub fn text(self, index: usize, name: &'static str) -> Result<&'a str, FieldError> {
        self.get(index).and_then(Value::as_str).ok_or(FieldError(name))
    }

    /// A mandatory number.
    pub fn number(self, index: usize, name: &'static str) -> Result<f64, FieldError> {
        self.get(index).and_then(Value::as_f64).ok_or(FieldError(name))
    }

    /// An integer from 0. A fraction is rounded down; a negative, null or missing number is read as 0.
    pub fn integer(self, index: usize, name: &'static str) -> Result<u64, FieldError> {
        match self.get(index) {
            None | Some(Value::Null) => Ok(0),
            Some(value) => {
                let from_fraction = || value.as_f64().map(|number| number.max(0.0) as u64);
                value.as_u64().or_else(from_fraction).ok_or(FieldError(name))
            }
        }
    }

    /// An array; empty if it is null or missing.
    pub fn array(self, index: usize, name: &'static str) -> Result<&'a [Value], FieldError> {
        match self.get(index) {
            None | Some(Value::Null) => Ok(&[]),
            Some(value) => value.as_array().map(Vec::as_slice).ok_or(FieldError(name)),
        }
    }

    /// A boolean; false if it is missing or of another type.
    pub fn boolean(self, index: usize) -> bool {
        self.get(index).and_then(Value::as_bool).unwrap_or(false)
    }
}
