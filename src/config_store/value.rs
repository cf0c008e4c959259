//! Names and numbers of records. They are validated when they are created or decoded, so other code need not check them.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::error::ValueError;

/// Longest name of a record, bytes.
pub const NAME_MAX: usize = 128;
/// Largest figure: far above any quota or weight, and far below the size at which sums of `f64` lose integers.
pub const FIGURE_MAX: f64 = 1e12;

/// The name of a record: 1 to [`NAME_MAX`] bytes without control characters. Clones share their bytes.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// Creates a name from its text.
    ///
    /// # Errors
    /// [`ValueError`] where it is empty, too long or has control characters.
    pub fn new(text: &str) -> Result<Name, ValueError> {
        if text.is_empty() || text.len() > NAME_MAX {
            return Err(ValueError::new(
                "name",
                format!("has {} bytes; it must have 1 to {NAME_MAX}", text.len()),
            ));
        }
        if text.chars().any(char::is_control) {
            return Err(ValueError::new("name", "has control characters; leave them out"));
        }
        Ok(Name(text.into()))
    }

    /// An empty value that sorts before all names. It is not a valid name.
    pub(super) fn lower_bound() -> Name {
        Name("".into())
    }

    /// The text of the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = ValueError;
    fn try_from(text: String) -> Result<Name, ValueError> {
        Name::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().to_owned()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

/// A number of a record: 0 to [`FIGURE_MAX`], never NaN and never -0.0. Two figures are equal exactly where their bits are,
/// so equal records have equal bytes and equal digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Figure(f64);

impl Figure {
    /// Creates a figure from its value.
    ///
    /// # Errors
    /// [`ValueError`] where it is NaN, negative or above [`FIGURE_MAX`].
    pub fn new(value: f64) -> Result<Figure, ValueError> {
        // -0.0 compares equal to 0.0 and has other bits; adding 0.0 turns it into 0.0.
        if (0.0..=FIGURE_MAX).contains(&value) {
            Ok(Figure(value + 0.0))
        } else {
            Err(out_of_range("figure", value))
        }
    }

    /// The value, 0 to [`FIGURE_MAX`].
    #[must_use]
    pub fn get(self) -> f64 {
        self.0
    }
}

fn out_of_range(field: &'static str, value: f64) -> ValueError {
    ValueError::new(field, format!("is {value}; it must be 0 to {FIGURE_MAX:e}"))
}

/// Neither NaN nor -0.0 occurs, so equality is reflexive.
impl Eq for Figure {}

impl std::hash::Hash for Figure {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.to_bits().hash(state);
    }
}

impl TryFrom<f64> for Figure {
    type Error = ValueError;
    fn try_from(value: f64) -> Result<Figure, ValueError> {
        Figure::new(value)
    }
}

impl From<Figure> for f64 {
    fn from(figure: Figure) -> f64 {
        figure.0
    }
}

/// Durations are encoded as integer microseconds.
pub(super) mod micros {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::interface::Micros;

    pub fn serialize<S: Serializer>(duration: &Micros, serializer: S) -> Result<S::Ok, S::Error> {
        duration.0.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Micros, D::Error> {
        u64::deserialize(deserializer).map(Micros)
    }
}

/// Optional durations are encoded as optional integer microseconds.
pub(super) mod optional_micros {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::interface::Micros;

    pub fn serialize<S: Serializer>(duration: &Option<Micros>, serializer: S) -> Result<S::Ok, S::Error> {
        duration.map(|duration| duration.0).serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Micros>, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map(Micros))
    }
}
