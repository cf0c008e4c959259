//! Applies a version of the configuration over the settings of a file, and counts where the two differ.

use crate::config_store::{ConfigVersion, RecordKind};
use crate::interface::{ClassSettings, Settings, SettingsError, TenantSettings};

/// Applies a version over the settings of a file, validates the result and builds its indexes.
///
/// # Errors
/// The rule that the combined settings break.
pub(in crate::runtime) fn apply_version(
    version: &ConfigVersion,
    file: &Settings,
) -> Result<Settings, SettingsError> {
    let settings = version.settings(file);
    settings.validate()?;
    settings.build_indexes();
    Ok(settings)
}

/// How many classes and how many tenants differ between a file and a version; zero of both if the version has no classes.
pub(in crate::runtime) fn count_differences(version: &ConfigVersion, file: &Settings) -> (usize, usize) {
    if version.count(RecordKind::Class) == 0 {
        return (0, 0);
    }
    let settings = version.settings(file);
    let is_same_class =
        |class: &&ClassSettings| file.class(&class.name).is_some_and(|at| file.classes[at.0] == **class);
    let is_same_tenant =
        |tenant: &&TenantSettings| file.tenant(&tenant.name).is_some_and(|at| file.tenants[at.0] == **tenant);
    let classes = settings.classes.iter().filter(is_same_class).count();
    let tenants = settings.tenants.iter().filter(is_same_tenant).count();
    let differing = |same: usize, version: usize, file: usize| version.max(file) - same;
    (
        differing(classes, settings.classes.len(), file.classes.len()),
        differing(tenants, settings.tenants.len(), file.tenants.len()),
    )
}
