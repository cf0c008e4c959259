//! The keys of the configuration file in force, without its values: a file that replaces it must have each of them.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, de};
use serde_json::Value;

/// Keys that the wire specification calls optional.
const OPTIONAL: [&str; 2] = ["aim-stretch", "passes-deadline"];

/// The keys of a JSON object in sorted order, each with the shape of its value.
type Keys = Vec<(Box<str>, Shape)>;

/// The keys of a JSON value at every depth. A list contributes the keys that all its elements have, whatever its length.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shape(KeyTree);

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum KeyTree {
    /// A scalar, which requires no keys.
    #[default]
    Plain,
    Object(Keys),
    /// The keys that each element must have.
    List(Keys),
}

impl Shape {
    /// The first key of this shape that a replacement value lacks, which reveals a file that was truncated or written by
    /// hand. Each element of a list needs the keys that all elements of the replaced list have.
    ///
    /// # Errors
    /// The replacement's text is not valid.
    pub fn lacking<'de, D: Deserializer<'de>>(&self, replacement: D) -> Result<Option<String>, D::Error> {
        MissingKey(&self.0).deserialize(replacement)
    }
}

/// The first key of one value that its replacement lacks ([`Shape::lacking`]).
pub fn lacking(in_force: &Value, replacement: &Value) -> Option<String> {
    // A parsed value can't have a syntax error.
    Shape::deserialize(in_force).ok()?.lacking(replacement).ok()?
}

/// Visitor methods for scalars: each returns the given empty result.
macro_rules! scalars {
    ($out:ty, $empty:expr) => {
        fn visit_unit<E>(self) -> Result<$out, E> {
            Ok($empty)
        }
        fn visit_bool<E>(self, _: bool) -> Result<$out, E> {
            Ok($empty)
        }
        fn visit_i64<E>(self, _: i64) -> Result<$out, E> {
            Ok($empty)
        }
        fn visit_u64<E>(self, _: u64) -> Result<$out, E> {
            Ok($empty)
        }
        fn visit_f64<E>(self, _: f64) -> Result<$out, E> {
            Ok($empty)
        }
        fn visit_str<E: de::Error>(self, _: &str) -> Result<$out, E> {
            Ok($empty)
        }
        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("JSON")
        }
    };
}

/// Reads and discards the rest of a list.
fn drain<'de, A: SeqAccess<'de>>(mut seq: A) -> Result<(), A::Error> {
    while seq.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}

/// Reads and discards the rest of an object.
fn drain_map<'de, A: MapAccess<'de>>(mut map: A) -> Result<(), A::Error> {
    while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
    Ok(())
}

impl<'de> Deserialize<'de> for Shape {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Shape, D::Error> {
        d.deserialize_any(ShapeVisitor)
    }
}

struct ShapeVisitor;

impl<'de> Visitor<'de> for ShapeVisitor {
    type Value = Shape;

    scalars!(Shape, Shape::default());

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Shape, A::Error> {
        let mut keys = Keys::new();
        while let Some((key, shape)) = map.next_entry::<Box<str>, Shape>()? {
            match keys.binary_search_by(|(k, _)| k.cmp(&key)) {
                Ok(at) => keys[at].1 = shape,
                Err(at) => keys.insert(at, (key, shape)),
            }
        }
        Ok(Shape(KeyTree::Object(keys)))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Shape, A::Error> {
        let Some(Shape(KeyTree::Object(mut keys))) = seq.next_element::<Shape>()? else {
            drain(seq)?;
            return Ok(Shape::default());
        };
        while let Some(has) = seq.next_element_seed(PresentKeys(&keys))? {
            let mut has = has.into_iter();
            keys.retain(|_| has.next().unwrap_or(false));
        }
        Ok(Shape(KeyTree::List(keys)))
    }
}

/// Reads which of these keys an element has; an element that is not an object has none.
struct PresentKeys<'a>(&'a Keys);

impl<'de> DeserializeSeed<'de> for PresentKeys<'_> {
    type Value = Vec<bool>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Vec<bool>, D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for PresentKeys<'_> {
    type Value = Vec<bool>;

    scalars!(Vec<bool>, Vec::new());

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<Vec<bool>, A::Error> {
        drain(seq).map(|()| Vec::new())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Vec<bool>, A::Error> {
        let mut has = vec![false; self.0.len()];
        while let Some(at) = map.next_key_seed(KeyIndex(self.0))? {
            map.next_value::<IgnoredAny>()?;
            if let Some(at) = at {
                has[at] = true;
            }
        }
        Ok(has)
    }
}

/// Reads a key as its index among these; `None` if it is not one of them.
struct KeyIndex<'a>(&'a Keys);

impl<'de> DeserializeSeed<'de> for KeyIndex<'_> {
    type Value = Option<usize>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Option<usize>, D::Error> {
        d.deserialize_str(self)
    }
}

impl Visitor<'_> for KeyIndex<'_> {
    type Value = Option<usize>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key")
    }

    fn visit_str<E>(self, key: &str) -> Result<Option<usize>, E> {
        Ok(self.0.binary_search_by(|(k, _)| (**k).cmp(key)).ok())
    }
}

/// Reads a value and finds the first required key that it lacks.
struct MissingKey<'a>(&'a KeyTree);

impl<'de> DeserializeSeed<'de> for MissingKey<'_> {
    type Value = Option<String>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Option<String>, D::Error> {
        d.deserialize_any(self)
    }
}

/// Reads an object and finds the first of these keys that it lacks.
struct MissingObjectKey<'a>(&'a Keys);

impl<'de> DeserializeSeed<'de> for MissingObjectKey<'_> {
    type Value = Option<String>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Option<String>, D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for MissingKey<'_> {
    type Value = Option<String>;

    scalars!(Option<String>, None);

    // A value of another JSON type lacks nothing here: the conversion of the settings reports it.
    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Option<String>, A::Error> {
        match self.0 {
            KeyTree::Object(keys) => MissingObjectKey(keys).visit_map(map),
            _ => drain_map(map).map(|()| None),
        }
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Option<String>, A::Error> {
        if let KeyTree::List(keys) = self.0 {
            let mut i = 0;
            while let Some(missing) = seq.next_element_seed(MissingObjectKey(keys))? {
                if let Some(rest) = missing {
                    drain(seq)?;
                    return Ok(Some(format!("{i}.{rest}")));
                }
                i += 1;
            }
        } else {
            drain(seq)?;
        }
        Ok(None)
    }
}

impl<'de> Visitor<'de> for MissingObjectKey<'_> {
    type Value = Option<String>;

    scalars!(Option<String>, None);

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<Option<String>, A::Error> {
        drain(seq).map(|()| None)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Option<String>, A::Error> {
        let mut seen: Vec<Option<Option<String>>> = vec![None; self.0.len()];
        while let Some(at) = map.next_key_seed(KeyIndex(self.0))? {
            match at {
                Some(at) => seen[at] = Some(map.next_value_seed(MissingKey(&self.0[at].1.0))?),
                None => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        for ((key, _), seen) in self.0.iter().zip(seen) {
            match seen {
                None if OPTIONAL.contains(&&**key) => {}
                None => return Ok(Some(key.to_string())),
                Some(Some(rest)) => return Ok(Some(format!("{key}.{rest}"))),
                Some(None) => {}
            }
        }
        Ok(None)
    }
}
