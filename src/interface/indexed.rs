//! Lists of settings that are shared between their readers and indexed by name.
//!
//! A list is read far more often than it changes. Cloning one copies a reference; changing one copies the list and
//! discards the index. The index is built at the first look-up, or before by [`IndexedList::build_index`].

use std::fmt;
use std::ops::{Deref, DerefMut};
use std::sync::{Arc, OnceLock};

use super::{ClassSettings, Micros, TenantSettings};

/// An entry of an [`IndexedList`].
pub trait IndexedEntry: Sized {
    /// Values computed from the complete list, once for each version of it.
    type Summary;

    /// The name by which the entry is found.
    fn name(&self) -> &str;

    /// Whether the entry can be found by its name.
    fn is_findable(&self) -> bool {
        true
    }

    /// The summary of a list.
    fn summarize(entries: &[Self]) -> Self::Summary;
}

/// A shared list whose entries are found by name, by binary search in a sorted index.
pub struct IndexedList<T: IndexedEntry>(Arc<Contents<T>>);

struct Contents<T: IndexedEntry> {
    entries: Vec<T>,
    index: OnceLock<Index<T::Summary>>,
}

struct Index<S> {
    /// Positions of the findable entries, sorted by name; entries of the same name keep the order of the list.
    by_name: Box<[u32]>,
    summary: S,
}

impl<T: IndexedEntry> IndexedList<T> {
    /// The position of the first findable entry of that name.
    pub fn find(&self, name: &str) -> Option<usize> {
        let (entries, by_name) = (&self.0.entries, &self.index().by_name);
        let first = by_name.partition_point(|&position| entries[position as usize].name() < name);
        by_name
            .get(first)
            .map(|&position| position as usize)
            .filter(|&position| entries[position].name() == name)
    }

    /// How many entries are findable.
    pub fn findable_count(&self) -> usize {
        self.index().by_name.len()
    }

    /// The summary of the list.
    pub fn summary(&self) -> &T::Summary {
        &self.index().summary
    }

    /// Whether both share one copy.
    pub fn is_same_copy(&self, other: &IndexedList<T>) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    fn index(&self) -> &Index<T::Summary> {
        self.0.index.get_or_init(|| {
            let entries = &self.0.entries;
            let positions = 0..u32::try_from(entries.len()).unwrap_or(u32::MAX);
            let mut by_name: Box<[u32]> =
                positions.filter(|&position| entries[position as usize].is_findable()).collect();
            by_name.sort_by(|&a, &b| entries[a as usize].name().cmp(entries[b as usize].name()));
            Index { by_name, summary: T::summarize(entries) }
        })
    }

    /// Builds the index, unless it is built already.
    pub fn build_index(&self) {
        self.index();
    }
}

impl<T: IndexedEntry> From<Vec<T>> for IndexedList<T> {
    fn from(entries: Vec<T>) -> Self {
        IndexedList(Arc::new(Contents { entries, index: OnceLock::new() }))
    }
}

impl<T: IndexedEntry> FromIterator<T> for IndexedList<T> {
    fn from_iter<I: IntoIterator<Item = T>>(entries: I) -> Self {
        entries.into_iter().collect::<Vec<T>>().into()
    }
}

impl<T: IndexedEntry> Default for IndexedList<T> {
    fn default() -> Self {
        Vec::new().into()
    }
}

impl<T: IndexedEntry> Clone for IndexedList<T> {
    fn clone(&self) -> Self {
        IndexedList(self.0.clone())
    }
}

impl<T: IndexedEntry + Clone> Clone for Contents<T> {
    fn clone(&self) -> Self {
        Contents { entries: self.entries.clone(), index: OnceLock::new() }
    }
}

impl<T: IndexedEntry + PartialEq> PartialEq for IndexedList<T> {
    fn eq(&self, other: &Self) -> bool {
        self.is_same_copy(other) || self.0.entries == other.0.entries
    }
}

impl<T: IndexedEntry + fmt::Debug> fmt::Debug for IndexedList<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.entries.fmt(f)
    }
}

impl<T: IndexedEntry> Deref for IndexedList<T> {
    type Target = Vec<T>;
    fn deref(&self) -> &Vec<T> {
        &self.0.entries
    }
}

impl<T: IndexedEntry + Clone> DerefMut for IndexedList<T> {
    fn deref_mut(&mut self) -> &mut Vec<T> {
        let contents = Arc::make_mut(&mut self.0);
        contents.index = OnceLock::new();
        &mut contents.entries
    }
}

impl<'a, T: IndexedEntry> IntoIterator for &'a IndexedList<T> {
    type Item = &'a T;
    type IntoIter = std::slice::Iter<'a, T>;
    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl<'a, T: IndexedEntry + Clone> IntoIterator for &'a mut IndexedList<T> {
    type Item = &'a mut T;
    type IntoIter = std::slice::IterMut<'a, T>;
    fn into_iter(self) -> Self::IntoIter {
        self.iter_mut()
    }
}

/// Values computed from all classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSummary {
    /// Sum of the latency objectives of the classes that are not retired, s.
    pub latency_objectives_s: f64,
    /// The longest deadline of any class.
    pub longest_deadline: Micros,
    /// For each class, the number of classes with a lower priority weight. Of classes with equal weight, those earlier
    /// in the list count as lower.
    pub lower_weight_counts: Box<[u32]>,
}

impl IndexedEntry for ClassSettings {
    type Summary = ClassSummary;

    fn name(&self) -> &str {
        &self.name
    }

    fn is_findable(&self) -> bool {
        !self.is_retired
    }

    fn summarize(classes: &[Self]) -> ClassSummary {
        let mut by_weight: Vec<usize> = (0..classes.len()).collect();
        // Adding zero turns minus zero into zero, which `total_cmp` would put first.
        by_weight.sort_by(|&a, &b| {
            (classes[a].priority_weight + 0.0).total_cmp(&(classes[b].priority_weight + 0.0))
        });
        let mut lower_weight_counts = vec![0; classes.len()];
        for (count, position) in (0u32..).zip(by_weight) {
            lower_weight_counts[position] = count;
        }
        ClassSummary {
            latency_objectives_s: classes
                .iter()
                .filter(|class| !class.is_retired)
                .map(|class| class.latency_objective.as_secs_f64())
                .sum(),
            longest_deadline: classes.iter().map(|class| class.deadline).max().unwrap_or_default(),
            lower_weight_counts: lower_weight_counts.into(),
        }
    }
}

impl IndexedEntry for TenantSettings {
    type Summary = ();

    fn name(&self) -> &str {
        &self.name
    }

    fn summarize(_: &[Self]) {}
}
