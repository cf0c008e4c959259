//! The fields of a lease in words, for the golden test of a replica's data folder: most of them are private to this module.

use crate::fleet::lease::budget::Lease;

/// All fields that are stored, each with its name on paper.
pub(crate) fn in_words(lease: &Lease) -> String {
    let Lease {
        amount,
        demand,
        seq,
        weight,
        last_grant_seq,
        created_epoch,
        request_epoch,
        has_valid_lease,
        is_leaving,
        cached: _,
    } = lease;
    format!(
        "amount {amount}, wanted {demand}, last request {seq}, weight {weight}, last granted by request {last_grant_seq}, \
         holder since entry {created_epoch}, last request in entry {request_epoch}, valid lease {}, leaving {}",
        yes_or_no(*has_valid_lease),
        yes_or_no(*is_leaving)
    )
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
