//! A single committee member: what it retains over a decision and over a restart.

// The support code is shared with other tests; this one does not use all of it.
#![allow(dead_code)]

mod support;

use aldercrank_consensus::member::AcceptorState;
use aldercrank_consensus::messages::{AcceptedDecision, Ballot, Verdict, VersionSummary};
use aldercrank_consensus::{
    CommittedState, CommitteeMember, ConfigVersion, Decision, MemberIdentity, PeerRequest, PeerResponse,
    ProposalTally, ServerName, Timing, VersionId,
};
use std::sync::Arc;
use std::time::Duration;
use support::{SentRequest, TestEnvironment};

const START: Duration = Duration::from_secs(100);
const AGREEMENT_BOUND: Duration = Duration::from_secs(2);
const ISOLATION_LIMIT: Duration = Duration::from_secs(60);

fn committee() -> Vec<ServerName> {
    ["n1", "n2", "n3"].map(ServerName::new).to_vec()
}

fn environment() -> TestEnvironment {
    TestEnvironment::new(|_, _| Some(VersionSummary { committee: committee(), ..VersionSummary::default() }))
}

fn version(number: u64) -> ConfigVersion {
    let version_id = VersionId { number, digest: [number as u8; 32] };
    ConfigVersion { version_id, text: Arc::from(format!("version {number}")) }
}

fn committed(number: u64) -> CommittedState {
    CommittedState { last_decided: number, version_id: version(number).version_id }
}

/// A member that has restarted with version 1 committed and with this accepted decision.
fn restarted_member(
    accepted: Option<AcceptedDecision>,
    environment: &mut TestEnvironment,
) -> CommitteeMember {
    let accepted_version = accepted.as_ref().map(|accepted| version(accepted.decision.version_id.number));
    let state = AcceptorState {
        committed: committed(1),
        text: version(1).text,
        promised: accepted.as_ref().map(|accepted| accepted.ballot.clone()).unwrap_or_default(),
        accepted,
        accepted_text: accepted_version.map(|version| version.text),
    };
    let identity = MemberIdentity { name: committee()[0].clone(), incarnation: 2 };
    let timing = Timing::new(AGREEMENT_BOUND, ISOLATION_LIMIT);
    CommitteeMember::new(START, identity, version(1), Some(state), timing, environment).unwrap()
}

/// Responds to the checks sent to n3 that n3 knows of nothing after version 1. Together with the member itself, n3 is a
/// majority.
fn confirm_checks(member: &mut CommitteeMember, environment: &mut TestEnvironment) {
    for SentRequest { to, correlation_id, request } in std::mem::take(&mut environment.actions.requests) {
        if to == committee()[2] && matches!(request, PeerRequest::Check { .. }) {
            let response = PeerResponse::Checked {
                committed: committed(1),
                active: true,
                accepted: None,
                tally: ProposalTally::default(),
            };
            member.handle_response(START, correlation_id, response, environment);
        }
    }
}

/// Guards against leases on the version before a decision that may have been chosen: they could outlast the agreement
/// bound.
#[test]
fn a_restarted_member_does_not_confirm_the_state_before_a_decision_that_it_has_accepted() {
    let mut environment = environment();
    let mut member = restarted_member(None, &mut environment);
    member.timer_fired(START, &mut environment);
    confirm_checks(&mut member, &mut environment);
    assert!(member.is_confirmed(START), "nothing has been accepted");

    let ballot = Ballot { round: 1, proposer: Some(committee()[1].clone()), incarnation: 1 };
    let decision = Decision { version_id: version(2).version_id, verdict: Verdict::Committed };
    let mut environment = self::environment();
    let mut member = restarted_member(Some(AcceptedDecision { ballot, decision }), &mut environment);
    confirm_checks(&mut member, &mut environment);
    assert!(!member.is_confirmed(START), "version 2 may have been chosen");
}

/// Guards against committing a withdrawn version because the decision on a lower number has cleared the withdrawal.
#[test]
fn a_withdrawn_proposal_stays_withdrawn_after_the_decision_on_a_lower_number() {
    let mut environment = environment();
    let mut member = restarted_member(None, &mut environment);
    member.version_proposed(START, version(4), &mut environment).unwrap();
    // The other members are not reached, so it is not decided yet.
    member.proposal_withdrawn(START, 4, &mut environment);
    assert_eq!(member.blocked_by(START).as_deref(), Some("withdrawn"));
    let decision =
        Decision { version_id: version(3).version_id, verdict: Verdict::Refused("a reason".to_string()) };
    member.handle_request(START, PeerRequest::Learn { after: 1, decision }, &mut environment);
    assert_eq!(member.committed().last_decided, 3);
    assert_eq!(member.blocked_by(START).as_deref(), Some("withdrawn"));
}

/// A member can recover an accepted decision without its text. It can't accept the decision again before it has the
/// text, so it must take the text as a proposal.
#[test]
fn a_member_takes_the_missing_text_of_a_decision_that_it_has_accepted() {
    let mut environment = environment();
    let ballot = Ballot { round: 1, proposer: Some(committee()[1].clone()), incarnation: 1 };
    let decision = Decision { version_id: version(2).version_id, verdict: Verdict::Committed };
    let identity = MemberIdentity { name: committee()[0].clone(), incarnation: 2 };
    let timing = Timing::new(AGREEMENT_BOUND, ISOLATION_LIMIT);
    let state = AcceptorState {
        committed: committed(1),
        text: version(1).text,
        promised: ballot.clone(),
        accepted: Some(AcceptedDecision { ballot: ballot.clone(), decision: decision.clone() }),
        accepted_text: None,
    };
    let mut member =
        CommitteeMember::new(START, identity, version(1), Some(state), timing, &mut environment).unwrap();
    let accept = PeerRequest::Accept { after: 1, ballot: Ballot { round: 2, ..ballot }, decision };
    let response = member.handle_request(START, accept.clone(), &mut environment);
    assert_eq!(response, PeerResponse::TextMissing { version_id: version(2).version_id });
    member.version_proposed(START, version(2), &mut environment).unwrap();
    assert_eq!(member.handle_request(START, accept, &mut environment), PeerResponse::Accepted);
}
