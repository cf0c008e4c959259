use super::*;

fn member(name: &str, incarnation: u64) -> Member {
    let port = 7_000 + u16::from(name.as_bytes()[0]);
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    Member { name: name.into(), incarnation, addr, role: Role::Node, zone: "z".into(), region: String::new() }
}

/// Processes on a simulated network that drops the messages from and to partitioned processes.
struct TestNetwork {
    processes: Vec<Members>,
    now: LeaseInstant,
    partitioned: Vec<String>,
    changes: Vec<(String, MembershipChange)>,
}

impl TestNetwork {
    fn deliver(&mut self, from: usize, actions: Vec<MembershipAction>) {
        let sender = self.processes[from].local_member().name.clone();
        for action in actions {
            match action {
                MembershipAction::Notify(change) => self.changes.push((sender.clone(), change)),
                MembershipAction::Send(to, bytes) => {
                    let i = self.processes.iter().position(|m| m.local_member().addr == to.addr);
                    let Some(i) = i.filter(|_| {
                        !self.partitioned.contains(&sender) && !self.partitioned.contains(&to.name)
                    }) else {
                        continue;
                    };
                    let mut actions = Vec::new();
                    self.processes[i].handle_message(self.now, &bytes, &mut actions);
                    self.deliver(i, actions);
                }
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now = self.now + Micros::from_millis(50);
            for i in 0..self.processes.len() {
                let mut actions = Vec::new();
                self.processes[i].run_due_timers(self.now, &mut actions);
                self.deliver(i, actions);
            }
        }
    }

    fn join(&mut self, i: usize) {
        let mut actions = Vec::new();
        let to = member("a", 0);
        self.processes[i].announce(self.now, to, &mut actions);
        self.deliver(i, actions);
    }
}

#[test]
fn a_partitioned_member_counts_as_down_and_refutes_it() {
    let names = ["a", "b", "c", "d", "e"];
    let processes = names.iter().zip(1..).map(|(name, seed)| Members::new(member(name, 100), seed)).collect();
    let mut network =
        TestNetwork { processes, now: LeaseInstant(0), partitioned: Vec::new(), changes: Vec::new() };
    (1..names.len()).for_each(|i| network.join(i));
    network.run(5_000);
    assert!(network.processes.iter().all(|m| m.peers().count() == 4), "each process knows the four others");
    network.partitioned = vec!["c".to_owned()];
    network.run(15_000);
    let knows_c = |members: &Members| members.peers().any(|peer| peer.name == "c");
    assert!(
        !network.processes.iter().filter(|m| m.local_member().name != "c").any(knows_c),
        "c counts as down"
    );
    network.partitioned.clear();
    network.run(30_000);
    assert!(
        network.processes.iter().filter(|m| m.local_member().name != "c").all(knows_c),
        "c counts as up again"
    );
    assert!(network.changes.iter().any(|(name, change)| name == "c" && *change == MembershipChange::Refuted));
    assert!(network.processes[2].local_member().incarnation > 100, "c has a new incarnation");
}

#[test]
fn an_old_incarnation_does_not_replace_a_newer_one() {
    let mut network = TestNetwork {
        processes: vec![Members::new(member("a", 100), 1), Members::new(member("b", 200), 2)],
        now: LeaseInstant(0),
        partitioned: Vec::new(),
        changes: Vec::new(),
    };
    network.join(1);
    network.run(2_000);
    // A message of an old process with the same name and address arrives late.
    let mut old = Members::new(member("b", 150), 3);
    let mut actions = Vec::new();
    old.announce(network.now, member("a", 100), &mut actions);
    let now = network.now;
    for action in actions {
        if let MembershipAction::Send(_, bytes) = action {
            let mut ignored = Vec::new();
            network.processes[0].handle_message(now, &bytes, &mut ignored);
        }
    }
    let seen: Vec<u64> = network.processes[0].peers().map(|m| m.incarnation).collect();
    assert_eq!(seen, [200]);
    let mut dropped = Vec::new();
    network.processes[0].handle_message(now, b"no message of any kind", &mut dropped);
    assert_eq!(network.processes[0].dropped, 1, "a message that can't be decoded is counted");
}

/// Equal lists lead to no request. For lists that differ only the missing members are sent, in a response of bounded size.
#[test]
fn anti_entropy_sends_only_missing_members_within_the_frame_bound() {
    let all: Vec<Member> = (0..600u16)
        .map(|i| Member {
            name: format!("n{i}"),
            addr: SocketAddr::from(([10, 0, 0, 1], i)),
            ..member("a", 7)
        })
        .collect();
    let digests = |members: &[Member]| PartitionDigests::of(members.iter());
    assert_eq!(
        digests(&all).list_digest(),
        PartitionDigests::of(all.iter().rev()).list_digest(),
        "the digest does not depend on the order"
    );
    assert_ne!(digests(&all).list_digest(), digests(&all[1..]).list_digest());
    let RepairMessage::PartitionDigests(theirs) = digests(&all).into_message() else {
        panic!("expected the partition digests")
    };
    assert_eq!(
        anti_entropy::partitions_wanted(&digests(&all), &theirs, 3, all.iter()),
        None,
        "equal lists need no partition"
    );
    let incomplete = &all[1..];
    let Some(RepairMessage::PartitionsWanted(wanted)) =
        anti_entropy::partitions_wanted(&digests(incomplete), &theirs, 3, incomplete.iter())
    else {
        panic!("expected a request for partitions")
    };
    let known = |member: &Member| KnownMember::Up(member.clone(), 2);
    let messages = anti_entropy::missing_members(&wanted, all.iter().map(known));
    let [RepairMessage::Members { labels, records, is_truncated: false }] = &messages[..] else {
        panic!("{messages:?}")
    };
    let received: Vec<KnownMember> = anti_entropy::decode_records(labels, records.clone()).collect();
    assert_eq!(received, [known(&all[0])], "the response has the missing member with all its fields");
    let none: [Member; 0] = [];
    let Some(RepairMessage::PartitionsWanted(wanted)) =
        anti_entropy::partitions_wanted(&digests(&none), &theirs, 3, none.iter())
    else {
        panic!("expected a request for partitions")
    };
    let messages = anti_entropy::missing_members(&wanted, all.iter().map(known));
    assert_eq!(messages.len(), 1);
    for message in messages {
        assert!(matches!(message, RepairMessage::Members { is_truncated: true, .. }));
        let bytes =
            RepairEnvelope { sender: member("a", 7), message }.encode().expect("the message fits a frame");
        assert!(bytes.len() <= MESSAGE_MAX);
    }
    let down = anti_entropy::missing_members(
        &[(wanted[0].0, Vec::new())],
        all.iter().map(|m| KnownMember::Down(m.clone())),
    );
    assert_eq!(down, [], "a member that is down is sent only to a process that lists it as up");
}

/// An earlier release, which lacks anti-entropy, can't decode its messages as any message that it knows.
#[test]
fn a_release_without_anti_entropy_drops_its_messages() {
    let encoded = RepairEnvelope { sender: member("b", 5), message: RepairMessage::ListDigest(9) }
        .encode()
        .expect("the message fits a frame");
    let mut earlier_release = Members::new(member("a", 100), 1);
    assert!(earlier_release.foca.handle_data(&encoded, &mut earlier_release.runtime).is_err());
    assert_eq!(earlier_release.peers().count(), 0);
}
