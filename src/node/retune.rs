//! Other settings, and another share of the machine, while requests are in hand.

use super::*;

impl Node {
    /// What other settings, which are valid, come to here: which slot each class gets ([`slots::put_over`]). Nothing has
    /// changed yet.
    ///
    /// # Errors
    /// Requests in hand hold too many classes.
    pub fn plan_retune(&self, now: Micros, told: Settings) -> Result<Retune, slots::Full> {
        let lately = |class: &ClassId| self.retired.get(class).is_some_and(|at| now < *at + slots::RETIRED);
        let in_use = |class: &ClassId| self.table.values().any(|e| e.class == *class);
        slots::put_over(&self.settings, told, |class| !lately(&class) && !in_use(&class))
    }

    /// Other settings from now on, as planned in this turn. What is in hand keeps what it came with.
    pub fn retune(&mut self, now: Micros, retune: Retune, out: &mut Vec<Output>) {
        // All that came under the former settings is taken in under them.
        self.step(now, out);
        self.settings = retune.settings;
        for (i, class) in self.settings.classes.iter().enumerate() {
            if class.retired {
                self.retired.entry(ClassId(i)).or_insert(now);
            } else {
                self.retired.remove(&ClassId(i));
            }
        }
        self.tell_module(now, retune.former, out);
    }

    /// This process has a share of the machine, as another one of its node has the rest; 1 for all of it.
    pub fn share(&mut self, now: Micros, share: f64, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.share, share) != share {
            self.step(now, out);
            self.tell_module(now, Vec::new(), out);
        }
    }

    fn tell_module(&mut self, now: Micros, former: Vec<(ClassId, Option<ClassId>)>, out: &mut Vec<Output>) {
        if self.started() {
            let settings = self.settings.part(self.share);
            self.events.push(Event::Retuned(Box::new(Retune { settings, former })));
            self.step(now, out);
        }
    }

    /// The settings in force, with every slot of a class.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }
}
