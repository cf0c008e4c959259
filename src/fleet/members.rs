//! Who is there: SWIM membership (Das et al., 2002) by `foca`, fed datagrams and told the time.
//!
//! It is a detector and may be wrong: nothing that is spent is freed on its word. A process that was only stopped refutes
//! what was said of it, under a new incarnation, and goes on. An old incarnation is never taken for a new one: the higher
//! wins wherever both are heard of.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{AccumulatingRuntime, Foca, Identity, NoCustomBroadcast, PeriodicParams, PostcardCodec, Timer};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::Tick;
use super::talk::FRAME_MAX;
use crate::interface::Micros;

/// Members known at a time; who comes beyond is not taken in. Two to three times the fleet that this is built for.
const MEMBERS_MAX: usize = 16_384;
/// Room in a frame for what membership says.
const PACKET: usize = FRAME_MAX - 32;
/// How often a process looks after one other.
const PROBE: Duration = Duration::from_millis(1_000);
/// How long one is suspected before it is taken for gone.
const SUSPECT: Duration = Duration::from_millis(3_000);
/// How long one that has gone is remembered, so that old news does not bring it back.
const REMEMBER: Duration = Duration::from_secs(60);
/// Who knows nobody makes itself known to the keepers that often: the first word may be lost.
pub const ANNOUNCE: Micros = Micros::from_millis(1_000);

/// What a process is to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It takes requests.
    Node,
    /// It keeps the book.
    Keeper,
}

/// One process, as it says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// The time of its start, µs of Unix time, and one more with each refutation.
    pub incarnation: u64,
    /// Where it takes datagrams.
    pub at: SocketAddr,
    /// What it is.
    pub role: Role,
    /// Its zone; may be empty.
    pub zone: String,
    /// Its region; may be empty.
    pub region: String,
}

impl Member {
    /// A keeper, as one that has not been heard of yet is spoken to.
    #[must_use]
    pub fn seed(name: &str, at: SocketAddr) -> Member {
        let (zone, region) = (String::new(), String::new());
        Member { name: name.to_owned(), incarnation: 0, at, role: Role::Keeper, zone, region }
    }
}

impl Identity for Member {
    type Addr = (String, SocketAddr);

    fn renew(&self) -> Option<Member> {
        Some(Member { incarnation: self.incarnation.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> Self::Addr {
        (self.name.clone(), self.at)
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.incarnation > other.incarnation
    }
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// One has come.
    Up(Member),
    /// One is taken for gone.
    Down(Member),
    /// The others had taken this process for gone; it has said that it is not.
    Refuted,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this to that member.
    Send(Member, Vec<u8>),
    /// Somebody should know.
    Say(News),
}

/// The members, as this process knows them.
pub struct Members {
    foca: Foca<Member, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    due: BTreeMap<(Tick, u64), Timer<Member>>,
    next: u64,
    runtime: AccumulatingRuntime<Member>,
    /// Messages that made no sense, or came when there was no room.
    pub dropped: u64,
}

impl Members {
    /// Alone at first; `seed` for the draws among peers.
    #[must_use]
    pub fn new(me: Member, seed: u64) -> Members {
        let one = NonZeroUsize::MIN;
        let often = |ms| Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: one });
        let config = foca::Config {
            probe_period: PROBE,
            probe_rtt: Duration::from_millis(400),
            num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
            max_transmissions: NonZeroU8::MIN.saturating_add(9),
            suspect_to_down_after: SUSPECT,
            remove_down_after: Some(REMEMBER),
            max_packet_size: NonZeroUsize::new(PACKET).unwrap_or(one),
            notify_down_members: true,
            periodic_announce: often(10_000),
            periodic_announce_to_down_members: often(5_000),
            periodic_gossip: often(500),
        };
        Members {
            foca: Foca::new(me, config, ChaCha8Rng::seed_from_u64(seed), PostcardCodec),
            due: BTreeMap::new(),
            next: 0,
            runtime: AccumulatingRuntime::new(),
            dropped: 0,
        }
    }

    /// This process.
    #[must_use]
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// The others that are taken to be there.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// Tells somebody at a known place that this process is there; its incarnation need not be known.
    pub fn announce(&mut self, now: Tick, to: Member, out: &mut Vec<Step>) {
        let said = self.foca.announce(to, &mut self.runtime);
        self.dropped += u64::from(said.is_err());
        self.drain(now, out);
    }

    /// A message of another process.
    pub fn take(&mut self, now: Tick, message: &[u8], out: &mut Vec<Step>) {
        if self.foca.num_members() >= MEMBERS_MAX
            || self.foca.handle_data(message, &mut self.runtime).is_err()
        {
            self.dropped += 1;
        }
        self.drain(now, out);
    }

    /// When [`Members::sweep`] is to be called.
    #[must_use]
    pub fn deadline(&self) -> Option<Tick> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// Carries out what has fallen due.
    pub fn sweep(&mut self, now: Tick, out: &mut Vec<Step>) {
        while let Some(due) = self.due.first_entry().filter(|d| d.key().0 <= now) {
            let timer = due.remove();
            self.dropped += u64::from(self.foca.handle_timer(timer, &mut self.runtime).is_err());
            self.drain(now, out);
        }
    }

    /// This process goes, and says so.
    pub fn leave(&mut self, now: Tick, out: &mut Vec<Step>) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain(now, out);
    }

    fn drain(&mut self, now: Tick, out: &mut Vec<Step>) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            out.push(Step::Send(to, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.next += 1;
            let after = Micros(u64::try_from(after.as_micros()).unwrap_or(u64::MAX));
            self.due.insert((now + after, self.next), timer);
        }
        while let Some(news) = self.runtime.to_notify() {
            use foca::OwnedNotification::{MemberDown, MemberUp, Rejoin, Rename};
            out.push(Step::Say(match news {
                MemberUp(m) | Rename(_, m) => News::Up(m),
                MemberDown(m) => News::Down(m),
                Rejoin(_) => News::Refuted,
                _ => continue,
            }));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(name: &str, incarnation: u64) -> Member {
        let port = 7_000 + u16::from(name.as_bytes()[0]);
        let at = SocketAddr::from(([127, 0, 0, 1], port));
        Member {
            name: name.into(),
            incarnation,
            at,
            role: Role::Node,
            zone: "z".into(),
            region: String::new(),
        }
    }

    /// Some processes on a network that carries all but what is cut.
    struct Net {
        all: Vec<Members>,
        now: Tick,
        cut: Vec<String>,
        news: Vec<(String, News)>,
    }

    impl Net {
        fn carry(&mut self, from: usize, steps: Vec<Step>) {
            let me = self.all[from].me().name.clone();
            for step in steps {
                match step {
                    Step::Say(news) => self.news.push((me.clone(), news)),
                    Step::Send(to, bytes) => {
                        let i = self.all.iter().position(|m| m.me().at == to.at);
                        let Some(i) = i.filter(|_| !self.cut.contains(&me) && !self.cut.contains(&to.name))
                        else {
                            continue;
                        };
                        let mut out = Vec::new();
                        self.all[i].take(self.now, &bytes, &mut out);
                        self.carry(i, out);
                    }
                }
            }
        }

        fn run(&mut self, ms: u64) {
            for _ in 0..ms / 50 {
                self.now = self.now + Micros::from_millis(50);
                for i in 0..self.all.len() {
                    let mut out = Vec::new();
                    self.all[i].sweep(self.now, &mut out);
                    self.carry(i, out);
                }
            }
        }

        fn join(&mut self, i: usize) {
            let mut out = Vec::new();
            let to = member("a", 0);
            self.all[i].announce(self.now, to, &mut out);
            self.carry(i, out);
        }
    }

    #[test]
    fn one_that_was_cut_off_is_taken_for_gone_and_refutes() {
        let names = ["a", "b", "c", "d", "e"];
        let all = names.iter().zip(1..).map(|(n, seed)| Members::new(member(n, 100), seed)).collect();
        let mut net = Net { all, now: Tick(0), cut: Vec::new(), news: Vec::new() };
        (1..names.len()).for_each(|i| net.join(i));
        net.run(5_000);
        assert!(net.all.iter().all(|m| m.others().count() == 4), "all know all");
        net.cut = vec!["c".to_owned()];
        net.run(15_000);
        let sees = |m: &Members| m.others().any(|o| o.name == "c");
        assert!(!net.all.iter().filter(|m| m.me().name != "c").any(sees), "nobody sees it");
        net.cut.clear();
        net.run(30_000);
        assert!(net.all.iter().filter(|m| m.me().name != "c").all(sees), "all see it again");
        assert!(net.news.iter().any(|(who, n)| who == "c" && *n == News::Refuted));
        assert!(net.all[2].me().incarnation > 100, "under a new incarnation");
    }

    #[test]
    fn an_old_incarnation_is_not_taken_for_a_new_one() {
        let mut net = Net {
            all: vec![Members::new(member("a", 100), 1), Members::new(member("b", 200), 2)],
            now: Tick(0),
            cut: Vec::new(),
            news: Vec::new(),
        };
        net.join(1);
        net.run(2_000);
        // An old process of the name speaks late, from the same place.
        let mut old = Members::new(member("b", 150), 3);
        let mut out = Vec::new();
        old.announce(net.now, member("a", 100), &mut out);
        let now = net.now;
        for step in out {
            if let Step::Send(_, bytes) = step {
                let mut ignored = Vec::new();
                net.all[0].take(now, &bytes, &mut ignored);
            }
        }
        let seen: Vec<u64> = net.all[0].others().map(|m| m.incarnation).collect();
        assert_eq!(seen, [200]);
        let mut dropped = Vec::new();
        net.all[0].take(now, b"no message of any kind", &mut dropped);
        assert_eq!(net.all[0].dropped, 1, "strange bytes are counted");
    }
}
