//! The replicated log under schedules of faults: what was accepted is never lost, never reverts,
//! and has one winner a revision.

mod replica_bed;

use agatehill_decide::{
    name::{Incarnation, KeeperName},
    replica::{
        AppendResult, EntryPayload, GroupConfig, LogEntry, RecoveredState, ReplicaEnvelope,
        ReplicaId, ReplicaInput, ReplicaMessage, ReplicaNode, ReplicaOutput, ReplicaSettings,
        ReplicaSnapshot, SnapshotMeta, VoterPolicy,
    },
    time::MonoTime,
};
use proptest::{prelude::*, test_runner::RngSeed};
use replica_bed::{BedSettings, ReplicaBed};
use rstest::rstest;
use std::{sync::Arc, time::Duration};

const CASES: u32 = 60;
/// Time in which the voters must have replaced a lost disk.
const REPAIR_SPAN: Duration = Duration::from_secs(5);

fn check_schedule(settings: BedSettings) {
    let mut bed = ReplicaBed::open(settings);
    bed.run(Duration::from_secs(3), false);
    bed.run(Duration::from_secs(30), true);
    bed.heal();
    bed.run(Duration::from_secs(10), false);
    assert!(bed.is_whole(), "the voters were not replaced");
    let resends: Vec<_> = bed.accepted.values().map(|(_, put)| put.clone()).collect();
    assert!(!resends.is_empty(), "nothing was accepted");
    // Each must get its first answer; the bed compares.
    resends.into_iter().for_each(|put| bed.put(put));
    bed.quiet(Duration::from_secs(5));
    bed.check_converged();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(4_1),
        failure_persistence: None,
        max_shrink_iters: 40,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_contracts_survive_any_schedule(
        seed in any::<u64>(),
        voters in prop::sample::select(vec![3usize, 5]),
        learners in 0usize..3,
        loss in 0u32..200,
        faults in 1u32..40,
    ) {
        let is_found = false;
        check_schedule(BedSettings { seed, voters, learners, is_found, loss, faults });
    }

    #[test]
    fn accepted_contracts_survive_any_schedule_among_found_keepers(
        seed in any::<u64>(),
        voters in prop::sample::select(vec![3usize, 5]),
        learners in 0usize..3,
        loss in 0u32..200,
        faults in 1u32..40,
    ) {
        let is_found = true;
        check_schedule(BedSettings { seed, voters, learners, is_found, loss, faults });
    }
}

/// A second disk is lost in the moment in which the voters have replaced the first.
#[rstest]
#[case::three_voters(3, false)]
#[case::five_voters(5, false)]
#[case::three_found_voters(3, true)]
#[case::five_found_voters(5, true)]
fn second_disk_lost_right_after_the_repair(#[case] voters: usize, #[case] is_found: bool) {
    for seed in 0..20 {
        let mut bed = ReplicaBed::open(BedSettings {
            seed,
            voters,
            learners: 1,
            is_found,
            loss: 0,
            faults: 0,
        });
        bed.run(Duration::from_secs(3), false);
        for round in 0..6 {
            bed.lose_disk(round % voters);
            bed.run_until_whole(REPAIR_SPAN);
        }
        assert!(bed.is_whole(), "the voters were not replaced");
        bed.quiet(Duration::from_secs(5));
        bed.check_converged();
    }
}

/// Schedules that once left no majority of the voters.
#[rstest]
// Two disks were lost while a voter that was cut off gave way: it was out before another was in.
#[case::voter_out_too_early(4_900_873_746_604_409_544, 2, 196, 7)]
// A leader that had stood still read old messages and took in a keeper whose disk was lost since.
#[case::old_messages(12_073_961_854_737_373_870, 1, 55, 36)]
fn a_majority_of_the_voters_is_left(
    #[case] seed: u64,
    #[case] learners: usize,
    #[case] loss: u32,
    #[case] faults: u32,
) {
    check_schedule(BedSettings {
        seed,
        voters: 5,
        learners,
        is_found: true,
        loss,
        faults,
    });
}

/// Two of five found voters lose their disks at once, over and over: what was accepted stays.
#[test]
fn two_disks_lost_at_once_among_five_found_voters() {
    for seed in 0..20 {
        let mut bed = ReplicaBed::open(BedSettings {
            seed,
            voters: 5,
            learners: 1,
            is_found: true,
            loss: 0,
            faults: 0,
        });
        bed.run(Duration::from_secs(3), false);
        for round in 0..6 {
            bed.lose_disk(round % 6);
            bed.lose_disk((round + 1) % 6);
            bed.run_until_whole(REPAIR_SPAN);
            assert!(bed.is_whole(), "the voters were not replaced");
        }
        bed.quiet(Duration::from_secs(5));
        bed.check_converged();
    }
}

/// The disk and the node of one of three voters, driven by hand.
struct LoneVoter {
    disk: RecoveredState,
    node: ReplicaNode,
    now: MonoTime,
}

impl LoneVoter {
    fn open(term: u64, entries: Vec<LogEntry>) -> LoneVoter {
        let config = GroupConfig {
            voters: (0..3).map(key).collect(),
        };
        let meta = SnapshotMeta {
            index: 1,
            term: 1,
            config,
        };
        let data: Arc<[u8]> = Arc::new([]);
        let mut disk = RecoveredState {
            snapshot: Some(ReplicaSnapshot { meta, data }),
            entries,
            ..RecoveredState::default()
        };
        disk.hard_state.term = term;
        LoneVoter::start(disk, MonoTime::ZERO)
    }

    fn start(disk: RecoveredState, now: MonoTime) -> LoneVoter {
        let names: Vec<_> = (0..3).map(|idx| key(idx).name).collect();
        let settings = ReplicaSettings {
            group: 0,
            group_count: 1,
            id: key(0),
            keepers: names.clone(),
            voter_policy: VoterPolicy::Listed(names),
            heartbeat_interval: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            snapshot_chunk_bytes: 100,
        };
        let node = ReplicaNode::open(settings, disk.clone(), now, 0);
        LoneVoter { disk, node, now }
    }

    /// Starts again from what was made durable.
    fn restart(self) -> LoneVoter {
        LoneVoter::start(self.disk, self.now)
    }

    fn step(&mut self, input: ReplicaInput) -> Vec<ReplicaOutput> {
        let outputs = self.node.step(input, self.now, 0);
        for output in &outputs {
            if let ReplicaOutput::Persist(batch) = output {
                replica_bed::persist(&mut self.disk, batch.clone());
            }
        }
        outputs
    }

    fn hear(&mut self, from: usize, message: ReplicaMessage) -> Vec<ReplicaOutput> {
        self.step(ReplicaInput::Message(ReplicaEnvelope {
            group: 0,
            group_count: 1,
            from: key(from),
            to: key(0).name,
            message,
        }))
    }

    /// Whether the vote that `from` asks for in `term` is given.
    fn votes_for(&mut self, from: usize, term: u64) -> bool {
        let ask = ReplicaMessage::VoteRequest {
            is_pre_vote: false,
            term,
            last_index: 9,
            last_term: 9,
        };
        let outputs = self.hear(from, ask);
        let granted = |output: &ReplicaOutput| match output {
            ReplicaOutput::Send(envelope) => {
                matches!(
                    envelope.message,
                    ReplicaMessage::VoteReply { granted: true, .. }
                )
            }
            _ => false,
        };
        outputs.iter().any(granted)
    }

    fn lead(&mut self) {
        self.now = self.now + Duration::from_secs(1);
        self.step(ReplicaInput::Tick);
        let asked = self.node.status().term + 1;
        for (is_pre_vote, term) in [(true, asked), (false, asked)] {
            let granted = true;
            self.hear(
                1,
                ReplicaMessage::VoteReply {
                    is_pre_vote,
                    term,
                    granted,
                },
            );
        }
        assert!(self.node.is_leader());
    }

    /// Takes the acknowledgement of `from` up to `index`; returns the last entry applied.
    fn acknowledged(&mut self, from: usize, index: u64) -> u64 {
        let term = self.node.status().term;
        let result = AppendResult::Matched(index);
        self.step(ReplicaInput::Persisted);
        self.hear(from, ReplicaMessage::AppendReply { term, result });
        self.node.status().commit
    }
}

fn key(idx: usize) -> ReplicaId {
    ReplicaId {
        name: KeeperName::try_from(format!("keeper-{idx}")).unwrap(),
        incarnation: Incarnation(idx as u64),
    }
}

/// Returns the messages among `outputs`, with their receivers.
fn sent(outputs: Vec<ReplicaOutput>) -> Vec<(KeeperName, ReplicaMessage)> {
    let message = |output| match output {
        ReplicaOutput::Send(envelope) => Some((envelope.to, envelope.message)),
        _ => None,
    };
    outputs.into_iter().filter_map(message).collect()
}

#[test]
fn a_leader_that_stops_hands_over_to_the_voter_with_most_entries() {
    let mut leader = LoneVoter::open(1, Vec::new());
    leader.lead();
    leader.acknowledged(2, 2);
    let outputs = leader.step(ReplicaInput::TransferLeadership);
    let term = leader.node.status().term;
    let succeed = ReplicaMessage::TimeoutNow { term };
    assert_eq!(sent(outputs), [(key(2).name, succeed.clone())]);
    assert!(!leader.node.is_leader());
    // The one that is asked stands at once, without a probe.
    let mut heir = LoneVoter::open(term, Vec::new());
    let asked = sent(heir.hear(2, succeed));
    let is_vote = |message: &ReplicaMessage| {
        let wanted = term + 1;
        matches!(message, ReplicaMessage::VoteRequest { is_pre_vote: false, term, .. } if *term == wanted)
    };
    assert_eq!(
        asked.iter().filter(|(_, message)| is_vote(message)).count(),
        2
    );
    let late = heir.hear(2, ReplicaMessage::TimeoutNow { term });
    assert!(sent(late).is_empty(), "a late copy changes nothing");
}

#[test]
fn a_vote_survives_a_restart() {
    let mut voter = LoneVoter::open(1, Vec::new());
    assert!(voter.votes_for(1, 2));
    let mut voter = voter.restart();
    assert!(!voter.votes_for(2, 2), "a second vote in one term");
    assert!(voter.votes_for(1, 2), "a resend gets the same vote");
}

/// Figure 8 of the Raft paper: a majority that holds an entry of an earlier term may lose it yet.
#[test]
fn an_entry_of_an_earlier_term_commits_only_with_one_of_this_term() {
    let old = LogEntry {
        index: 2,
        term: 2,
        payload: EntryPayload::Command(Arc::new([1])),
    };
    let mut leader = LoneVoter::open(2, vec![old]);
    leader.lead();
    assert_eq!(leader.acknowledged(1, 2), 1);
    assert_eq!(leader.acknowledged(1, 3), 3);
}

#[test]
fn a_replica_that_spreads_keys_over_other_groups_is_not_heard() {
    let mut voter = LoneVoter::open(1, Vec::new());
    let ask = ReplicaMessage::VoteRequest {
        is_pre_vote: false,
        term: 2,
        last_index: 9,
        last_term: 9,
    };
    let outputs = voter.step(ReplicaInput::Message(ReplicaEnvelope {
        group: 0,
        group_count: 2,
        from: key(1),
        to: key(0).name,
        message: ask,
    }));
    assert!(outputs.is_empty(), "{outputs:?}");
}

#[test]
fn an_acknowledgement_of_a_lost_incarnation_counts_for_nothing() {
    let mut leader = LoneVoter::open(1, Vec::new());
    leader.lead();
    let term = leader.node.status().term;
    leader.step(ReplicaInput::Persisted);
    let result = AppendResult::Matched(2);
    let mut from = key(1);
    from.incarnation = Incarnation(77);
    leader.step(ReplicaInput::Message(ReplicaEnvelope {
        group: 0,
        group_count: 1,
        from,
        to: key(0).name,
        message: ReplicaMessage::AppendReply { term, result },
    }));
    assert_eq!(leader.node.status().commit, 1);
}
