//! Changes of settings, and of this process's share of the machine, while requests are in progress.
//!
//! A request keeps the class settings that it came with: a changed class gets another slot, and a slot is used again
//! only when no request refers to it.

use std::collections::BTreeSet;

use super::message::Output;
use super::{Node, intake};
use crate::interface::{ClassId, Event, Micros, Settings, SettingsChange};
use crate::settings::slots;

impl Node {
    /// Counts a request under its class's slot. It counts there until it leaves the table.
    pub(super) fn count_in_class(&mut self, class: ClassId) {
        if self.requests_per_class.len() <= class.0 {
            self.requests_per_class.resize(class.0 + 1, 0);
        }
        self.requests_per_class[class.0] += 1;
    }

    /// Retired class slots that no request refers to and that no new request can refer to. A free slot stays free until it
    /// is used again, so another thread may plan with the result while this one handles requests.
    pub fn free_class_slots(&self, now: Micros) -> BTreeSet<ClassId> {
        let is_empty = |class: &ClassId| self.requests_per_class.get(class.0).is_none_or(|count| *count == 0);
        let free = self
            .retired_classes
            .iter()
            .filter(|(class, retired_at)| now >= **retired_at + slots::RETIRED_SLOT_HOLD && is_empty(class));
        free.map(|(class, _)| *class).collect()
    }

    /// Plans a change to other, valid settings: which slot each class gets ([`slots::merge_settings`]). Changes nothing.
    ///
    /// # Errors
    /// Requests in progress occupy too many class slots.
    pub fn plan_settings_change(
        &self,
        now: Micros,
        new_settings: Settings,
    ) -> Result<SettingsChange, slots::SlotsExhausted> {
        let free = self.free_class_slots(now);
        slots::merge_settings(&self.settings, new_settings, |class| free.contains(&class))
    }

    /// Applies a change that was planned for the settings in force.
    pub fn apply_settings(&mut self, now: Micros, change: SettingsChange, out: &mut Vec<Output>) {
        // Events that came under the previous settings are handled under them.
        self.step_policy(now, out);
        let classes = &change.settings.classes;
        self.idempotency
            .extend_windows(|name| classes.find(name).map(|at| classes[at].window + intake::WINDOW_SLACK));
        // `start` may have set `is_cold` since the new settings were read.
        self.settings = Settings { is_cold: self.settings.is_cold, ..change.settings };
        self.retired_classes.extend(change.retired.into_iter().map(|class| (class, now)));
        for (class, _) in &change.previous_classes {
            self.retired_classes.remove(class);
        }
        self.notify_policy(now, change.previous_classes, out);
    }

    /// Sets this process's share of the machine, 0 to 1, when another process of the node uses the rest.
    pub fn set_machine_share(&mut self, now: Micros, share: f64, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.machine_share, share) != share {
            self.step_policy(now, out);
            self.notify_policy(now, Vec::new(), out);
        }
    }

    fn notify_policy(
        &mut self,
        now: Micros,
        previous_classes: Vec<(ClassId, Option<ClassId>)>,
        out: &mut Vec<Output>,
    ) {
        if self.is_started() {
            let settings = self.settings.part(self.machine_share);
            let change = SettingsChange { settings, previous_classes, retired: Vec::new() };
            self.events.push(Event::SettingsChanged(Box::new(change)));
            self.step_policy(now, out);
        }
    }

    /// The settings in force, including all class slots.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }
}
