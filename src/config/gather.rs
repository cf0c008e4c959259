//! The tables `[[gather.CLASS]]` of the operator's tiers file: calls that are made before a run
//! ([`crate::dependencies::prefetch`]).

use std::sync::Arc;

use serde::Deserialize;

use super::ConfigError;
use super::doc::Doc;
use super::tiers::{FallbackFile, MOST, as_ms, chain, class_id, find, ms, time};
use crate::dependencies::call_plan::{CallPlan, CallPlans, Fallback, PrefetchCall};
use crate::interface::Settings;

/// Share of a call's time that its own tier gets where another tier is a fallback.
const OWN_SHARE: f64 = 0.6;
/// Limit on the calls of one class, as all of them may start at the same time.
const CALLS_MAX: usize = 16;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CallFile {
    name: String,
    tier: String,
    #[serde(default = "half")]
    share: f64,
    cap_ms: Option<f64>,
    #[serde(default)]
    fallback: Vec<FallbackFile>,
    #[serde(default = "yes")]
    needed: bool,
    #[serde(default)]
    beside: bool,
    send: Option<String>,
}

/// Default share of the time left: the run needs time too.
fn half() -> f64 {
    0.5
}

fn yes() -> bool {
    true
}

/// Checks the prefetch calls of one class and adds them to the plans.
pub(super) fn class(
    doc: &Doc,
    name: &str,
    calls: Vec<CallFile>,
    settings: &Settings,
    plans: &mut CallPlans,
) -> Result<(), ConfigError> {
    let id = class_id(doc, &["gather", name], name, settings)?;
    if calls.len() > CALLS_MAX {
        return Err(doc.bad(&["gather", name], format!("there may be {CALLS_MAX} calls at most")));
    }
    let deadline = as_ms(settings.classes[id.0].deadline);
    let (mut checked, mut earlier_stages, mut stage): (Vec<PrefetchCall>, f64, f64) = (Vec::new(), 0.0, 0.0);
    for (i, c) in calls.into_iter().enumerate() {
        let n = i.to_string();
        let at = |key| ["gather", name, &n, key];
        let is_name_byte = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
        if c.name.is_empty() || c.name.len() > MOST || !c.name.bytes().all(is_name_byte) {
            let right = format!("letters, digits and _, {MOST} at the most, as in \"rates\"");
            return Err(doc.bad(&at("name"), format!("\"{}\" names no var; right would be {right}", c.name)));
        }
        if checked.iter().any(|g| g.name.eq_ignore_ascii_case(&c.name)) {
            return Err(doc.bad(&at("name"), format!("\"{}\" is there twice", c.name)));
        }
        let tier = find(doc, &at("tier"), &c.tier, plans)?;
        let cap = time(doc, (&at("share"), c.share), (&at("cap_ms"), c.cap_ms), deadline)?;
        if c.beside && i == 0 {
            return Err(doc.bad(&at("beside"), "there is no call before this one; leave it out"));
        }
        // A stage takes as long as its longest call; the stages run one after another.
        let own = c.cap_ms.unwrap_or(0.0);
        (earlier_stages, stage) =
            if c.beside { (earlier_stages, stage.max(own)) } else { (earlier_stages + stage, own) };
        if earlier_stages + stage > deadline {
            let total = earlier_stages + stage;
            let reason =
                format!("the calls up to here may take {total} ms; the class's deadline is {deadline} ms");
            return Err(doc.bad(&at("cap_ms"), reason));
        }
        if c.send.as_deref().is_some_and(str::is_empty) {
            return Err(doc.bad(&at("send"), "names no var; leave it out to send the request's body"));
        }
        let fallback = chain(doc, &at("fallback"), tier, c.fallback, plans)?;
        let has_fallback_tier = fallback.iter().any(|f| matches!(f, Fallback::Tier(_)));
        let share = if has_fallback_tier { OWN_SHARE } else { 1.0 };
        let call = CallPlan {
            tier,
            time_share: share,
            time_cap: ms(deadline),
            fallbacks: fallback,
            has_effect: false,
        };
        let (needed, beside, send) = (c.needed, c.beside, c.send);
        checked.push(PrefetchCall {
            name: c.name,
            call,
            time_share: c.share,
            time_cap: ms(cap),
            is_required: needed,
            starts_with_previous: beside,
            send,
        });
    }
    plans.prefetch[id.0] = Arc::from(checked);
    Ok(())
}
