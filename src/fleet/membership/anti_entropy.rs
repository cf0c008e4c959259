//! Anti-entropy (Demers et al., 1987): a process fetches the members that it has not received by gossip.
//!
//! A process periodically sends the digest of its member list to another. If the receiver's list has the same digest, it
//! sends nothing. Otherwise it responds with the digests of its partitions, receives the short digests of the members that
//! the first process knows in the partitions that differ, and sends the members that the first process lacks. Only the first
//! process learns members. The number of partitions, the frames of a response and the bytes of responses per second are
//! bounded. The parent module decides what is done with a received member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::fleet::LeaseInstant;
use crate::fleet::membership::{MESSAGE_MAX, Member, Role};
use crate::interface::Micros;

/// The first bytes of each message. An earlier release reads them as a name that is longer than any datagram: it drops the
/// message and counts it.
pub const ANTI_ENTROPY_PREFIX: [u8; 4] = [0xff, 0xff, 0xff, 0x7f];
/// Number of partitions of a member list; a member's digest selects its partition.
const PARTITIONS: u64 = 64;
/// Most frames of one response.
const RESPONSE_FRAMES_MAX: usize = 1;
/// Bytes of a frame for member records; the rest is for the prefix and the sender.
const RECORD_BYTES_MAX: usize = MESSAGE_MAX - 160;
/// Most bytes of responses per second. When a fleet starts, few processes are known, so all others send their digests to the
/// ones that started first.
const RESPONSE_BYTES_PER_S: u64 = 3_000;
/// Most bytes of responses at once after a pause.
const RESPONSE_BURST_BYTES: u64 = 3_000;
/// Mean interval at which a process sends its digest.
const REQUEST_INTERVAL: Micros = Micros::from_millis(2_000);
/// Mean interval until the next digest after a member was learned.
const REQUEST_INTERVAL_LEARNING: Micros = Micros::from_millis(1_000);
/// Most bytes of a response to partition digests. The sender of the digests counts them against its limit on responses.
pub const PARTITIONS_WANTED_MAX: usize = 1_200;

/// The digest of one member: its name, address and incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberDigest(u64);

impl MemberDigest {
    /// Computes the digest; it is the same on every platform.
    #[must_use]
    pub fn of(member: &Member) -> MemberDigest {
        let key = name_hash(&member.name) ^ u64::from(member.addr.port()).rotate_left(48);
        let key = match member.addr {
            SocketAddr::V4(addr) => key ^ u64::from(addr.ip().to_bits()),
            SocketAddr::V6(addr) => addr.ip().octets().iter().fold(key, |hash, byte| fnv_step(hash, *byte)),
        };
        MemberDigest(mix_bits(mix_bits(key) ^ member.incarnation))
    }

    fn partition(self) -> u8 {
        (self.0 % PARTITIONS) as u8
    }

    fn shorten(self) -> ShortDigest {
        ((self.0 >> 32) as u32).to_le_bytes()
    }
}

/// Half of a digest: enough to tell the members of one partition apart.
type ShortDigest = [u8; 4];

fn fnv_step(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
}

/// Returns the FNV-1a hash of a name.
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, fnv_step)
}

/// Mixes the bits of a hash (the finalizer of MurmurHash3).
fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    bits = (bits ^ (bits >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    bits ^ (bits >> 33)
}

/// The digest of a member list, and the digests of its partitions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionDigests {
    list: u64,
    partitions: Vec<ShortDigest>,
}

impl PartitionDigests {
    /// Computes the digests of the members that are up, in any order.
    pub fn of<'a>(members_up: impl Iterator<Item = &'a Member>) -> PartitionDigests {
        let mut sums = [0u64; PARTITIONS as usize];
        for digest in members_up.map(MemberDigest::of) {
            let sum = &mut sums[usize::from(digest.partition())];
            *sum = sum.wrapping_add(digest.0);
        }
        let list = sums.iter().fold(0, |list, sum| mix_bits(list ^ sum));
        PartitionDigests { list, partitions: sums.iter().map(|sum| MemberDigest(*sum).shorten()).collect() }
    }

    /// Returns the digest of the list.
    #[must_use]
    pub fn list_digest(&self) -> u64 {
        self.list
    }

    /// Returns the message with the partitions' digests.
    #[must_use]
    pub fn into_message(self) -> RepairMessage {
        RepairMessage::PartitionDigests(self.partitions)
    }
}

/// One member in a message. Its zone and region are in the message's labels, each pair once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    name: String,
    incarnation: u64,
    addr: SocketAddr,
    role: Role,
    /// Index of the member's zone and region in the message's labels.
    label: u8,
    /// How often the member has refuted its failure.
    refutations: u16,
    is_down: bool,
}

impl MemberRecord {
    fn of(known: &KnownMember) -> MemberRecord {
        let member = known.member();
        let (refutations, is_down) = match known {
            KnownMember::Up(_, refutations) => (*refutations, false),
            KnownMember::Down(_) => (0, true),
        };
        MemberRecord {
            name: member.name.clone(),
            incarnation: member.incarnation,
            addr: member.addr,
            role: member.role,
            label: 0,
            refutations,
            is_down,
        }
    }
}

/// What a process knows of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownMember {
    /// The member is up; the number is how often it has refuted its failure.
    Up(Member, u16),
    /// The member is down.
    Down(Member),
}

impl KnownMember {
    /// Returns the member.
    #[must_use]
    pub fn member(&self) -> &Member {
        match self {
            KnownMember::Up(member, _) | KnownMember::Down(member) => member,
        }
    }
}

/// The index of a partition, and the members of it that a process knows to be up.
pub type WantedPartition = (u8, Vec<ShortDigest>);

/// The zones and regions of a frame's records.
type Labels = Vec<(String, String)>;

/// A message of anti-entropy. Its variants are encoded by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepairMessage {
    /// The digest of the sender's list.
    ListDigest(u64),
    /// The digests of the sender's partitions, in response to a list digest that differs from its own.
    PartitionDigests(Vec<ShortDigest>),
    /// The members that the sender knows in these partitions; it requests the others.
    PartitionsWanted(Vec<WantedPartition>),
    /// Members that the receiver lacks.
    Members {
        /// Zones and regions.
        labels: Labels,
        /// The members.
        records: Vec<MemberRecord>,
        /// Further members did not fit.
        is_truncated: bool,
    },
}

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepairEnvelope {
    /// The process that sends it.
    pub sender: Member,
    /// The message.
    pub message: RepairMessage,
}

impl RepairEnvelope {
    /// Returns the bytes with the prefix; `None` where they exceed [`MESSAGE_MAX`].
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(self, ANTI_ENTROPY_PREFIX.to_vec()).ok();
        bytes.filter(|bytes| bytes.len() <= MESSAGE_MAX)
    }

    /// Decodes the bytes after the prefix; `None` where they are no message.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<RepairEnvelope> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Returns the request for the partitions whose digests differ from `theirs`, with the members known in each. It has as many
/// partitions as fit, from partition `start` on. Returns `None` where no digest differs.
#[must_use]
pub fn partitions_wanted<'a>(
    mine: &PartitionDigests,
    theirs: &[ShortDigest],
    start: u64,
    members_up: impl Iterator<Item = &'a Member>,
) -> Option<RepairMessage> {
    let mut known = vec![Vec::new(); PARTITIONS as usize];
    for digest in members_up.map(MemberDigest::of) {
        known[usize::from(digest.partition())].push(digest.shorten());
    }
    let (mut wanted, mut room) = (Vec::new(), PARTITIONS_WANTED_MAX);
    for partition in (0..PARTITIONS).map(|offset| ((start % PARTITIONS + offset) % PARTITIONS) as u8) {
        let index = usize::from(partition);
        if theirs.get(index).is_none_or(|digest| mine.partitions.get(index) == Some(digest)) {
            continue;
        }
        let bytes = 4 + known[index].len() * size_of::<ShortDigest>();
        if bytes <= room {
            room -= bytes;
            wanted.push((partition, std::mem::take(&mut known[index])));
        }
    }
    if wanted.is_empty() { None } else { Some(RepairMessage::PartitionsWanted(wanted)) }
}

/// A frame that is being filled with member records.
#[derive(Default)]
struct MembersFrame {
    labels: Labels,
    records: Vec<MemberRecord>,
}

/// The frames of a response, within [`RESPONSE_FRAMES_MAX`] and [`RECORD_BYTES_MAX`].
#[derive(Default)]
struct ResponseFrames {
    frames: Vec<MembersFrame>,
    /// Bytes left in the last frame.
    room: usize,
}

impl ResponseFrames {
    /// Adds a record. Returns false where there is no room for it.
    fn push(&mut self, member: &Member, record: MemberRecord) -> bool {
        let bytes = postcard::to_allocvec(&record).map_or(RECORD_BYTES_MAX, |bytes| bytes.len());
        let bytes_with_label = bytes + member.zone.len() + member.region.len() + 4;
        if bytes_with_label > self.room {
            if self.frames.len() == RESPONSE_FRAMES_MAX || bytes_with_label > RECORD_BYTES_MAX {
                return false;
            }
            self.frames.push(MembersFrame::default());
            self.room = RECORD_BYTES_MAX;
        }
        let Some(frame) = self.frames.last_mut() else { return false };
        let is_label_of =
            |(zone, region): &(String, String)| *zone == member.zone && *region == member.region;
        let label = frame.labels.iter().position(is_label_of).unwrap_or_else(|| {
            frame.labels.push((member.zone.clone(), member.region.clone()));
            self.room -= bytes_with_label - bytes;
            frame.labels.len() - 1
        });
        self.room -= bytes;
        frame.records.push(MemberRecord { label: u8::try_from(label).unwrap_or(u8::MAX), ..record });
        true
    }
}

/// Returns the response to wanted partitions: members that are up and not listed in the request, and members that are
/// listed in it and down.
#[must_use]
pub fn missing_members(
    wanted: &[WantedPartition],
    all_known: impl Iterator<Item = KnownMember>,
) -> Vec<RepairMessage> {
    let mut known_by_partition: Vec<Option<&Vec<ShortDigest>>> = vec![None; PARTITIONS as usize];
    for (partition, known) in wanted {
        if let Some(entry) = known_by_partition.get_mut(usize::from(*partition)) {
            *entry = Some(known);
        }
    }
    let (mut response, mut is_truncated) = (ResponseFrames::default(), false);
    for known in all_known {
        let digest = MemberDigest::of(known.member());
        let Some(listed) = known_by_partition[usize::from(digest.partition())] else { continue };
        if listed.contains(&digest.shorten()) != matches!(known, KnownMember::Down(_)) {
            continue;
        }
        if !response.push(known.member(), MemberRecord::of(&known)) {
            is_truncated = true;
            break;
        }
    }
    let message = |MembersFrame { labels, records }| RepairMessage::Members { labels, records, is_truncated };
    response.frames.into_iter().map(message).collect()
}

/// Returns the members of received records; records without a name or with an unknown label are left out.
pub fn decode_records(
    labels: &[(String, String)],
    records: Vec<MemberRecord>,
) -> impl Iterator<Item = KnownMember> {
    records.into_iter().filter_map(|record| {
        let (zone, region) = labels.get(usize::from(record.label))?.clone();
        let MemberRecord { name, incarnation, addr, role, refutations, is_down, .. } = record;
        if name.is_empty() {
            return None;
        }
        let member = Member { name, incarnation, addr, role, zone, region };
        Some(if is_down { KnownMember::Down(member) } else { KnownMember::Up(member, refutations) })
    })
}

/// When the next digest is sent, and how many bytes of responses may be sent.
#[derive(Debug, Default)]
pub struct RepairSchedule {
    next_request_at: LeaseInstant,
    /// Token bucket of response bytes, as of `refilled_at`.
    available_bytes: u64,
    refilled_at: LeaseInstant,
}

impl RepairSchedule {
    /// Returns when the digest is to be sent next.
    #[must_use]
    pub fn next_request_at(&self) -> LeaseInstant {
        self.next_request_at
    }

    /// Records that the digest is sent now. `random` is for the jitter that keeps processes from sending at the same time.
    pub fn record_request(&mut self, now: LeaseInstant, random: u64) {
        self.next_request_at = now + with_jitter(REQUEST_INTERVAL, random);
    }

    /// Records that members were learned, and brings the next digest forward: there may be more to learn.
    pub fn record_learned(&mut self, now: LeaseInstant, random: u64) {
        let next = now + with_jitter(REQUEST_INTERVAL_LEARNING, random);
        self.next_request_at = self.next_request_at.min(next);
    }

    /// Returns whether a response of `bytes` may be sent now, and if so takes the bytes from the token bucket. A process
    /// that receives digests from all others responds to some; the rest send their next digest to another process.
    #[must_use]
    pub fn try_respond(&mut self, now: LeaseInstant, bytes: usize) -> bool {
        let elapsed_us = (now - self.refilled_at).0.min(1_000_000);
        let refill = RESPONSE_BYTES_PER_S * elapsed_us / 1_000_000;
        self.available_bytes = (self.available_bytes + refill).min(RESPONSE_BURST_BYTES);
        self.refilled_at = now;
        match self.available_bytes.checked_sub(bytes as u64) {
            Some(left) => {
                self.available_bytes = left;
                true
            }
            None => false,
        }
    }
}

/// Returns a random interval between 3/4 and 5/4 of the given one.
fn with_jitter(interval: Micros, random: u64) -> Micros {
    Micros(interval.0 * 3 / 4 + random % (interval.0 / 2))
}

#[cfg(test)]
mod golden_tests;
