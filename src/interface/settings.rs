//! The settings of a server, its classes and its tenants, and their validation.

use super::{IndexedList, Micros, SettingsError};

/// Most active classes. When all of them change at once, the new ones need as many slots again.
pub const CLASSES_MAX: usize = 20_000;

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    #[default]
    Retryable,
    /// Must run at most once within the class's window; retained keys link repeats.
    Dedup,
    /// Must never run twice, and nothing links its attempts.
    Fragile,
}

/// How a server can stop running work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StopMode {
    /// Running work cannot be stopped.
    #[default]
    None,
    /// Stopped work loses its progress and returns to the queue.
    Discard,
    /// Stopped work is paused, and keeps its progress and its memory.
    Freeze,
}

/// How callers read the value of [`super::Action::SetLoadSignal`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSignal {
    /// Callers read no load signal.
    #[default]
    None,
    /// The minimum rank of requests that they send here.
    MinimumRank,
    /// The most requests that each caller has outstanding here.
    Allowance,
    /// The probability, 0 to 1, that a caller does not pass over this server.
    Weight,
}

/// The dependency that requests call while they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Downstream {
    /// Requests make no calls.
    #[default]
    Nothing,
    /// One dependency that all servers share.
    Shared,
    /// A further tier of servers like this one.
    Tier,
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Its name; decisions never depend on it.
    pub name: String,
    /// An answer within this time of a client's first attempt has its full value.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the request's expected work, up to the deadline.
    pub objective_stretch: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Fraction of the value that an answer after the objective and before the deadline has.
    pub late_weight: f64,
    /// The value of one request, or of one unit of work.
    pub priority_weight: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// For [`Effect::Dedup`]: how long after an arrival a repeat may come.
    pub window: Micros,
    /// Whether its requests may call dependencies.
    pub may_call: bool,
    /// Fraction of the value that remains when a call is skipped; 0 forbids [`super::Action::SkipCall`].
    pub weight_without_call: f64,
    /// Whether the current settings no longer contain it. A retired class gets no new requests; its open requests keep
    /// it.
    pub is_retired: bool,
}

/// One tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Its name; decisions never depend on it.
    pub name: String,
    /// Requests per second that it may send over all servers.
    pub quota_per_s: f64,
}

/// The configuration of one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Cores of this server.
    pub cores: u32,
    /// Memory in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request divided by that of a queued one.
    pub run_memory_factor: f64,
    /// Kilobytes of one retained key.
    pub key_entry_kb: f64,
    /// The classes of requests.
    pub classes: IndexedList<ClassSettings>,
    /// The tenants; may be empty.
    pub tenants: IndexedList<TenantSettings>,
    /// Fraction of its value that a request beyond its tenant's quota has.
    pub over_quota_weight: f64,
    /// Whether a class's weight applies per unit of work instead of per request.
    pub weighs_by_work: bool,
    /// Whether further attempts are marked as such.
    pub marks_retries: bool,
    /// Whether this process has just been started on a cold machine.
    pub is_cold: bool,
    /// Servers of this tier at the start.
    pub replicas: u32,
    /// This server's index among them; two servers may have the same.
    pub replica_index: Option<u32>,
    /// Callers of this tier at the start.
    pub callers: u32,
    /// How running work can be stopped.
    pub stop_mode: StopMode,
    /// How callers read the load signal.
    pub load_signal: LoadSignal,
    /// How long a caller remembers the load signal.
    pub signal_lifetime: Micros,
    /// The dependency that requests call while they run.
    pub downstream: Downstream,
    /// This server's share of the calls that the shared dependency survives, as a mean number in progress.
    pub dependency_share: f64,
    /// The window over which calls in progress are averaged for the dependency share.
    pub dependency_window: Micros,
    /// How long a dependency may continue to work on an abandoned call.
    pub call_linger: Micros,
    /// How long the result of a read may be shared; zero for never.
    pub fresh_for: Micros,
    /// Whether health checks do real work, unless answered from the stored state.
    pub deep_checks: bool,
    /// Whether the callers' list of servers follows health answers.
    pub readiness: bool,
    /// Connections idle for this long are closed by callers.
    pub idle_max: Micros,
    /// Whether advice to retry later reaches clients.
    pub is_retry_after_sent: bool,
    /// The longest retry advice that clients observe.
    pub retry_after_max: Micros,
    /// Time after a due time within which an answer still counts.
    pub answer_slack: Micros,
    /// The least fraction of its full speed at which a cold server starts.
    pub cold_speed: f64,
    /// Longest time until a cold server has its full speed.
    pub warm_up_time: Micros,
    /// Requests that arrive later than this after the drain request must not run.
    pub drain_grace: Micros,
    /// Running requests on the cores, per core, that a warm server survives.
    pub max_runs_per_core: f64,
    /// Window over which running requests per core are averaged.
    pub runs_window: Micros,
    /// The least time between two batches of events.
    pub min_batch_gap: Micros,
}

impl Settings {
    /// The classes that new requests may have.
    pub fn active_classes(&self) -> impl Iterator<Item = &ClassSettings> {
        self.classes.iter().filter(|c| !c.is_retired)
    }

    /// The number of classes that new requests may have.
    pub fn active_class_count(&self) -> usize {
        self.classes.findable_count()
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.summary().longest_deadline
    }

    /// The middle of the rank range of a class's requests, 0 to 1. All classes have rank ranges of equal width, in the
    /// order of priority weight.
    pub fn rank(&self, class: ClassId) -> f64 {
        (f64::from(self.classes.summary().lower_weight_counts[class.0]) + 0.5) / self.classes.len() as f64
    }

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.find(name).map(ClassId)
    }

    /// The tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.find(name).map(TenantId)
    }

    /// Builds the name indexes in advance, so that no request waits for them.
    pub fn build_indexes(&self) {
        self.classes.build_index();
        self.tenants.build_index();
    }

    /// Checks that there is at least one core and one class, and that no value is out of range.
    ///
    /// # Errors
    /// The first invalid value, by name.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.cores == 0 {
            return Err(SettingsError::NoCores);
        }
        match self.active_class_count() {
            0 => return Err(SettingsError::NoClasses),
            n if n > CLASSES_MAX => return Err(SettingsError::TooManyClasses(n)),
            _ => {}
        }
        let positive = |value: f64, name| in_range(value.is_finite() && value > 0.0, name);
        let not_negative = |value: f64, name| in_range(value.is_finite() && value >= 0.0, name);
        positive(self.memory_kb, "memory_kb")?;
        positive(self.run_memory_factor, "run_memory_factor")?;
        positive(self.max_runs_per_core, "crowd_per_core")?;
        not_negative(self.key_entry_kb, "key_entry_kb")?;
        not_negative(self.over_quota_weight, "over_share_worth")?;
        not_negative(self.dependency_share, "dependency_share")?;
        in_range((0.0..=1.0).contains(&self.cold_speed), "cold_from")?;
        for class in &self.classes {
            in_range(class.deadline.0 > 0, "class deadline")?;
            not_negative(class.priority_weight, "class worth")?;
            not_negative(class.late_weight, "class late_worth")?;
            not_negative(class.objective_stretch, "class aim_stretch")?;
            not_negative(class.weight_without_call, "class worth_without_call")?;
        }
        self.tenants.iter().try_for_each(|tenant| not_negative(tenant.quota_per_s, "tenant quota_per_s"))
    }
}

/// A change of settings at run time. A changed class gets a new slot, so that requests in progress keep the class
/// settings with which they arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsChange {
    /// The new settings, including the slots of retired classes.
    pub settings: Settings,
    /// New slots, each with the slot of the class's previous settings. The new slot starts with the measurements of the
    /// previous one.
    pub previous_classes: Vec<(ClassId, Option<ClassId>)>,
    /// Slots that get no new requests from now on.
    pub retired: Vec<ClassId>,
}

fn in_range(is_in_range: bool, name: &'static str) -> Result<(), SettingsError> {
    if is_in_range { Ok(()) } else { Err(SettingsError::OutOfRange(name)) }
}
