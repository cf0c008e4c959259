//! `holdlift tiers`: the tiers below and each class's plan.

use super::{Ended, Told};

pub fn run(told: &Told) -> Ended {
    let (_, _, _, tiers) = told.read()?;
    print!("{tiers}");
    Ok(())
}
