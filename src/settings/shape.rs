//! What a file has to have, once another one is in force: the keys of the one in force, without its values.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, de};
use serde_json::Value;

/// Keys that the wire's page calls optional.
const OPTIONAL: [&str; 2] = ["aim-stretch", "passes-deadline"];

/// The keys of a JSON value, in their order, each with what its own value has.
type Keys = Vec<(Box<str>, Shape)>;

/// The keys of a JSON value, at every depth. A list counts with what all its elements have, so that its size does not matter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shape(Kind);

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Kind {
    /// It asks for nothing.
    #[default]
    Plain,
    Object(Keys),
    /// What each element has to have.
    List(Keys),
}

impl Shape {
    /// The first key that this has and a value, which is to take its place, lacks: how a file that was cut down or written
    /// by hand shows. Elements of a list need what all elements have that it replaces.
    ///
    /// # Errors
    /// What is wrong with the value's text.
    pub fn lacking<'de, D: Deserializer<'de>>(&self, told: D) -> Result<Option<String>, D::Error> {
        Lacks(&self.0).deserialize(told)
    }
}

/// The first key that one value has and another, which is to take its place, lacks ([`Shape::lacking`]).
pub fn lacking(in_force: &Value, told: &Value) -> Option<String> {
    // What is JSON already has nothing wrong with its text.
    Shape::deserialize(in_force).ok()?.lacking(told).ok()?
}

/// Visits whatever is neither object nor list, which says nothing.
macro_rules! scalars {
    ($out:ty, $none:expr) => {
        fn visit_unit<E>(self) -> Result<$out, E> {
            Ok($none)
        }
        fn visit_bool<E>(self, _: bool) -> Result<$out, E> {
            Ok($none)
        }
        fn visit_i64<E>(self, _: i64) -> Result<$out, E> {
            Ok($none)
        }
        fn visit_u64<E>(self, _: u64) -> Result<$out, E> {
            Ok($none)
        }
        fn visit_f64<E>(self, _: f64) -> Result<$out, E> {
            Ok($none)
        }
        fn visit_str<E: de::Error>(self, _: &str) -> Result<$out, E> {
            Ok($none)
        }
        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("JSON")
        }
    };
}

/// Reads the rest of a list and forgets it.
fn drain<'de, A: SeqAccess<'de>>(mut seq: A) -> Result<(), A::Error> {
    while seq.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}

/// Reads the rest of an object and forgets it.
fn drain_map<'de, A: MapAccess<'de>>(mut map: A) -> Result<(), A::Error> {
    while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
    Ok(())
}

impl<'de> Deserialize<'de> for Shape {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Shape, D::Error> {
        d.deserialize_any(Whole)
    }
}

struct Whole;

impl<'de> Visitor<'de> for Whole {
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
        Ok(Shape(Kind::Object(keys)))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Shape, A::Error> {
        let Some(Shape(Kind::Object(mut keys))) = seq.next_element::<Shape>()? else {
            drain(seq)?;
            return Ok(Shape::default());
        };
        while let Some(has) = seq.next_element_seed(Has(&keys))? {
            let mut has = has.into_iter();
            keys.retain(|_| has.next().unwrap_or(false));
        }
        Ok(Shape(Kind::List(keys)))
    }
}

/// Which of these keys an element has; one that is no object has none.
struct Has<'a>(&'a Keys);

impl<'de> DeserializeSeed<'de> for Has<'_> {
    type Value = Vec<bool>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Vec<bool>, D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Has<'_> {
    type Value = Vec<bool>;

    scalars!(Vec<bool>, Vec::new());

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<Vec<bool>, A::Error> {
        drain(seq).map(|()| Vec::new())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Vec<bool>, A::Error> {
        let mut has = vec![false; self.0.len()];
        while let Some(at) = map.next_key_seed(Place(self.0))? {
            map.next_value::<IgnoredAny>()?;
            if let Some(at) = at {
                has[at] = true;
            }
        }
        Ok(has)
    }
}

/// A key's place among these, if it is one of them.
struct Place<'a>(&'a Keys);

impl<'de> DeserializeSeed<'de> for Place<'_> {
    type Value = Option<usize>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Option<usize>, D::Error> {
        d.deserialize_str(self)
    }
}

impl Visitor<'_> for Place<'_> {
    type Value = Option<usize>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key")
    }

    fn visit_str<E>(self, key: &str) -> Result<Option<usize>, E> {
        Ok(self.0.binary_search_by(|(k, _)| (**k).cmp(key)).ok())
    }
}

/// What a value lacks of that.
struct Lacks<'a>(&'a Kind);

impl<'de> DeserializeSeed<'de> for Lacks<'_> {
    type Value = Option<String>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Option<String>, D::Error> {
        d.deserialize_any(self)
    }
}

/// What an object lacks of these keys.
struct LacksKeys<'a>(&'a Keys);

impl<'de> DeserializeSeed<'de> for LacksKeys<'_> {
    type Value = Option<String>;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Option<String>, D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Lacks<'_> {
    type Value = Option<String>;

    scalars!(Option<String>, None);

    // Of another kind than it was: what reads it says so.
    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Option<String>, A::Error> {
        match self.0 {
            Kind::Object(keys) => LacksKeys(keys).visit_map(map),
            _ => drain_map(map).map(|()| None),
        }
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Option<String>, A::Error> {
        if let Kind::List(keys) = self.0 {
            let mut i = 0;
            while let Some(lacks) = seq.next_element_seed(LacksKeys(keys))? {
                if let Some(rest) = lacks {
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

impl<'de> Visitor<'de> for LacksKeys<'_> {
    type Value = Option<String>;

    scalars!(Option<String>, None);

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<Option<String>, A::Error> {
        drain(seq).map(|()| None)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Option<String>, A::Error> {
        let mut seen: Vec<Option<Option<String>>> = vec![None; self.0.len()];
        while let Some(at) = map.next_key_seed(Place(self.0))? {
            match at {
                Some(at) => seen[at] = Some(map.next_value_seed(Lacks(&self.0[at].1.0))?),
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
