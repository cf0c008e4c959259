//! Merges new settings into those in force and assigns a slot to each class.
//!
//! A class is stored in a slot, identified by its [`ClassId`], and a slot's settings never change while it has requests. An
//! unchanged class keeps its slot. A new or changed class gets another one, and its former slot is retired: it accepts
//! nothing new and is reused once it has no requests left. Open requests thus keep their class, deadline and weight.

use thiserror::Error;

use crate::interface::{CLASSES_MAX, ClassId, ClassSettings, Micros, Settings, SettingsChange};

/// Limit on slots: twice the limit on classes, so that all classes may change at once.
pub const SLOTS_MAX: usize = 2 * CLASSES_MAX;

/// Open requests hold too many slots; the new settings are not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("requests of earlier settings still hold {SLOTS_MAX} classes; try again when they are answered")]
pub struct SlotsExhausted;

/// Merges new settings into those in force. `is_free` tells whether a retired slot has no requests left.
///
/// # Errors
/// No slot is left for a new or changed class.
pub fn merge_settings(
    in_force: &Settings,
    new: Settings,
    is_free: impl Fn(ClassId) -> bool,
) -> Result<SettingsChange, SlotsExhausted> {
    let current = &in_force.classes;
    let mut live = vec![false; current.len()];
    // Classes that need a slot, each with the slot that holds the current class of its name.
    let mut changed: Vec<(&ClassSettings, Option<ClassId>)> = Vec::new();
    for class in &new.classes {
        match in_force.class(&class.name) {
            Some(at) if current[at.0] == *class => live[at.0] = true,
            at => changed.push((class, at)),
        }
    }
    let retired = live.iter().enumerate().filter(|(i, live)| !**live && !current[*i].is_retired);
    let retired: Vec<ClassId> = retired.map(|(i, _)| ClassId(i)).collect();
    let mut former = Vec::with_capacity(changed.len());
    // Unchanged classes keep their slots.
    let mut classes = current.clone();
    if !(changed.is_empty() && retired.is_empty()) {
        let slots: &mut Vec<ClassSettings> = &mut classes;
        // Slots retired earlier may be reused. Slots retired by this change may have requests on their way to the core.
        let mut spare = (0..current.len()).filter(|&i| current[i].is_retired && is_free(ClassId(i)));
        for (class, from) in changed {
            let i = match spare.next() {
                Some(i) => {
                    slots[i] = class.clone();
                    i
                }
                None if slots.len() < SLOTS_MAX => {
                    slots.push(class.clone());
                    slots.len() - 1
                }
                None => return Err(SlotsExhausted),
            };
            former.push((ClassId(i), from));
        }
        for class in &retired {
            slots[class.0].is_retired = true;
        }
    }
    let tenants = if new.tenants == in_force.tenants { in_force.tenants.clone() } else { new.tenants };
    // A reload doesn't change whether this process started cold, whatever the file says.
    let settings = Settings { classes, tenants, is_cold: in_force.is_cold, ..new };
    settings.build_indexes();
    Ok(SettingsChange { settings, previous_classes: former, retired })
}

impl Settings {
    /// Settings for a process that has this share of the machine while another process of its node has the rest. Memory,
    /// runs per core and downstream calls count over both.
    pub fn part(&self, share: f64) -> Settings {
        Settings {
            memory_kb: self.memory_kb * share,
            max_runs_per_core: self.max_runs_per_core * share,
            dependency_share: self.dependency_share * share,
            ..self.clone()
        }
    }
}

/// Shortest time from the retirement of a slot to its reuse: requests read under it have reached the core by then.
pub const RETIRED_SLOT_HOLD: Micros = Micros::from_millis(2_000);

#[cfg(test)]
mod tests;
