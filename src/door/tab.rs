//! The account of one connection: what it holds, what it has earned, and until when it may go on so.

use super::profile::{Pace, Profile, Progress};
use super::sources::Source;
use super::{ConnId, GateId, Report};
use crate::end::End;
use crate::interface::Micros;

/// Credit is kept in bytes times microseconds, so that a rate times a span needs no rounding.
const UNIT: i64 = 1_000_000;
/// A sender at this rate or above is read as it sends: its message is whole within moments.
const FAST: u64 = 8 << 10;
/// A sender is read as it sends for this long before it may be found slow.
const TRIAL: Micros = Micros::from_millis(500);
/// The shortest rest: a look more often would save nothing.
pub(super) const REST_MIN: Micros = Micros::from_millis(50);

/// Why a sender is not read for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Still {
    /// It is read as it sends.
    No,
    /// It is slow, and is looked at at that time.
    Resting(Micros),
    /// There is no room for what it sends.
    Waiting,
}

#[derive(Debug)]
pub(super) struct Tab {
    pub gate: GateId,
    pub source: Source,
    pub profile: Profile,
    /// When it was made, or last asked or was answered something.
    pub since: Micros,
    /// Something has been asked on it.
    pub asked: bool,
    /// It has been told to make room.
    pub leaving: bool,
    /// When something last came of its message.
    fresh_at: Micros,
    /// When it last reported.
    heard_at: Micros,
    /// As it last reported.
    pub half_in: usize,
    pub open: usize,
    pub owed: usize,
    pub sheltered: bool,
    pub missing: Option<usize>,
    pub patience: Option<(Micros, End)>,
    pub still: Still,
    /// When its message began to come in, and how much of it has.
    pub begun: Option<Micros>,
    got: u64,
    /// How long it has waited for room meanwhile.
    waited: Micros,
    /// What it has earned, in bytes times µs, when that was reckoned last.
    credit: i64,
    reckoned: Micros,
    /// When its message is to be whole at the latest.
    longest: Option<Micros>,
    /// Since when the next message is awaited, or was first seen begun, under fixed patience.
    awaited: Micros,
    /// Since when something is owed, and since when it has taken nothing of that.
    owed_since: Option<Micros>,
    pub taken: Micros,
    /// The one entry of this connection among the door's deadlines.
    pub due: Option<Micros>,
}

impl Tab {
    pub fn new(now: Micros, gate: GateId, source: Source, profile: Profile) -> Tab {
        Tab {
            gate,
            source,
            profile,
            since: now,
            asked: false,
            leaving: false,
            fresh_at: now,
            heard_at: now,
            half_in: 0,
            open: 0,
            owed: 0,
            sheltered: false,
            missing: None,
            patience: None,
            still: Still::No,
            begun: None,
            got: 0,
            waited: Micros(0),
            credit: 0,
            reckoned: now,
            longest: None,
            awaited: now,
            owed_since: None,
            taken: now,
            due: None,
        }
    }

    /// Takes in what a connection reports.
    pub fn note(&mut self, now: Micros, r: &Report) {
        if r.asked > 0 {
            (self.since, self.asked, self.leaving) = (now, true, false);
        }
        if r.whole > 0 {
            (self.begun, self.longest) = (None, None);
        }
        if r.answered > 0 {
            self.since = now;
        }
        self.heard_at = now;
        if r.fresh > 0 {
            self.fresh_at = now;
        }
        let midway = r.half_in > 0;
        self.reckon(now);
        match (midway, self.begun) {
            (false, _) => (self.begun, self.longest) = (None, None),
            (true, None) => self.begin(now, r.fresh.min(r.half_in)),
            (true, Some(_)) => {
                self.got += r.fresh as u64;
                if let Some(p) = self.profile.progress() {
                    let most = p.least_rate as i64 * p.burst.0 as i64;
                    self.credit = (self.credit + r.fresh as i64 * UNIT).min(most);
                }
            }
        }
        if let (Some(p), Some(begun)) = (self.profile.progress(), self.begun) {
            let span = Micros::from_secs_f64(r.deadline.as_secs_f64() * p.longest);
            // The class, once it is known, sets the time; till then the longest of all did.
            self.longest = Some(begun + span);
        }
        // What this side does not read for now is not awaited.
        if r.parts > 0 || r.held_back || self.still == Still::Waiting {
            self.awaited = now;
        }
        if r.taken > 0 || r.owed == 0 {
            self.taken = now;
        }
        self.owed_since = if r.owed == 0 { None } else { self.owed_since.or(Some(now)) };
        (self.half_in, self.open, self.owed) = (r.half_in, r.open, r.owed);
        (self.sheltered, self.missing) = (r.sheltered, r.missing);
        self.patience = r.patience.filter(|_| !r.held_back);
    }

    fn begin(&mut self, now: Micros, got: usize) {
        if self.patience.is_none() {
            self.awaited = now;
        }
        (self.begun, self.got, self.reckoned, self.waited) = (Some(now), got as u64, now, Micros(0));
        if let Some(p) = self.profile.progress() {
            self.credit = p.least_rate as i64 * p.grace.0 as i64 + got as i64 * UNIT;
        }
    }

    /// Takes the least rate off the credit, for the time that the sender was free to send.
    fn reckon(&mut self, now: Micros) {
        let span = now - self.reckoned;
        self.reckoned = now;
        if self.still == Still::Waiting {
            self.waited = self.waited + span;
            return;
        }
        if let (Some(p), Some(_)) = (self.profile.progress(), self.begun) {
            self.credit = self.credit.saturating_sub(p.least_rate as i64 * span.0 as i64);
        }
    }

    /// There is room again for one that waited: it is looked at now, and the wait is not charged to it.
    pub fn resume(&mut self, now: Micros) {
        self.reckon(now);
        (self.still, self.awaited) = (Still::Resting(now), now);
    }

    /// When the credit is used up if nothing more comes.
    fn broke(&self, p: &Progress) -> Micros {
        if self.credit < 0 {
            return self.reckoned - Micros(1);
        }
        self.reckoned + Micros((self.credit / p.least_rate as i64) as u64)
    }

    /// Whether the sender of half a message earns its place: it has at least half of the credit that it began with.
    pub fn pays(&self) -> bool {
        match self.profile.progress() {
            Some(p) if self.half_in > 0 => self.credit * 2 >= p.least_rate as i64 * p.grace.0 as i64,
            Some(_) => false,
            None => self.sheltered,
        }
    }

    /// How long a slow sender may be left alone. None for one that is quick, or that may have done.
    pub fn rest(&self, now: Micros) -> Option<Micros> {
        let p = self.profile.progress().filter(|p| p.rest.0 > 0)?;
        let sent_for = Some(now - self.begun? - self.waited).filter(|span| *span >= TRIAL)?;
        if self.open > 0 || self.owed > 0 {
            return None;
        }
        let rate = self.got.saturating_mul(1_000_000) / sent_for.0.max(1);
        if rate >= FAST {
            return None;
        }
        // Where the rest of the message is known, the look comes when it should be there; a little late, as one that
        // comes too early needs another.
        let eta = self.missing.map(|m| (m as u64).saturating_mul(1_000_000) / rate.max(1));
        // Where it is not, a quarter of the longest rest is what the answer may come late by.
        let eta = eta.map_or(Micros(p.rest.0 / 4), |us| Micros(us.saturating_add(us / 16)));
        Some(eta.clamp(REST_MIN, p.rest.max(REST_MIN)))
    }

    /// The next time at which something may have to be done.
    pub fn next(&self) -> Option<Micros> {
        let mut all = [None; 6];
        if let Still::Resting(until) = self.still {
            all[0] = Some(until);
        }
        match &self.profile.pace {
            Pace::Fixed if self.still == Still::Waiting => {}
            Pace::Fixed => all[1] = self.patience.map(|(span, _)| self.awaited + span),
            Pace::Progress(p) if self.begun.is_some() => {
                all[1] = (self.still != Still::Waiting).then(|| self.broke(p) + Micros(1));
                all[2] = self.longest;
            }
            Pace::Progress(p) => all[1] = self.unasked().then(|| self.since + p.silence),
        }
        if let Some(since) = self.owed_since {
            all[3] = Some(self.taken + self.profile.taking.stall);
            all[4] = self.profile.taking.longest.map(|l| since + l);
        }
        all.into_iter().flatten().min()
    }

    /// Nothing has been asked, nothing has come, and something is awaited: the silence is the peer's.
    fn unasked(&self) -> bool {
        self.patience.is_some() && self.half_in == 0 && self.open == 0
    }

    /// What is to become of it now: nothing, a look, or an end.
    pub fn verdict(&mut self, now: Micros) -> Option<Verdict> {
        if let Some(since) = self.owed_since {
            let over = self.profile.taking.longest.is_some_and(|l| now >= since + l);
            if over || now >= self.taken + self.profile.taking.stall {
                return Some(Verdict::Close(End::Stalled));
            }
        }
        if let (Pace::Progress(_), Some(longest)) = (&self.profile.pace, self.longest)
            && now >= longest
        {
            return Some(Verdict::Close(End::Slow));
        }
        match (self.still, &self.profile.pace) {
            (Still::Resting(until), _) if now >= until => Some(Verdict::Look),
            (Still::Waiting, _) => None,
            (_, Pace::Fixed) => {
                let (span, end) = self.patience?;
                (now >= self.awaited + span).then_some(Verdict::Close(end))
            }
            // What has come meanwhile is not known yet; it may have paid.
            (_, Pace::Progress(_)) if self.begun.is_some() => self.is_broke(now).then_some(Verdict::Look),
            (_, Pace::Progress(p)) => {
                (self.unasked() && now >= self.since + p.silence).then_some(Verdict::Close(End::Silent))
            }
        }
    }

    /// Whether the credit is used up, as far as is known.
    pub fn is_broke(&self, now: Micros) -> bool {
        self.begun.is_some() && self.profile.progress().is_some_and(|p| now > self.broke(p))
    }

    /// How much it is in the way where the budget of bytes half in is used up: what it holds, times how long nothing
    /// has come of it. None for one that adds to its message, waits for room itself, or is owed an answer.
    pub fn weight(&self, now: Micros, silent: Micros) -> Option<u128> {
        // What comes while it rests is not known before the next look.
        let until = if let Still::Resting(_) = self.still { self.heard_at } else { now };
        let silence = until - self.fresh_at;
        let stays = self.leaving || self.open > 0 || self.owed > 0 || self.still == Still::Waiting;
        (!stays && self.half_in > 0 && silence >= silent)
            .then(|| self.half_in as u128 * u128::from(silence.0))
    }

    /// The order in which connections make room, first to go first; none for one that does not go.
    ///
    /// 0. who has asked nothing for a while and sends nothing; 1. who has asked and is idle; 2. who is halfway in and
    ///    behind its pace, the furthest behind first; 3. who has just come. Who is owed an answer stays, and so does
    ///    who is halfway in and pays. Within one of these the one that has been so for longest goes first.
    pub fn place(&self, now: Micros, mute: Micros, spare_new: bool, id: ConnId) -> Option<(u8, u64, ConnId)> {
        // On a poor link the first byte takes its time.
        let mute = self.profile.progress().map_or(mute, |p| mute.max(Micros(p.silence.0 / 4)));
        let new = !self.asked && now - self.since < mute;
        if self.leaving || self.open > 0 || self.owed > 0 || (spare_new && new) || self.pays() {
            return None;
        }
        if self.profile.progress().is_some() && self.half_in > 0 {
            // Never below zero: who has used up its credit is closed for that.
            return Some((2, u64::try_from(self.credit).unwrap_or(0), id));
        }
        let rank = match (self.asked, new) {
            (false, false) => 0,
            (true, _) => 1,
            (false, true) => 3,
        };
        Some((rank, self.since.0, id))
    }
}

/// What the door wants of a connection, unasked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Read what has come and report it.
    Look,
    /// It is over.
    Close(End),
}
