//! The status of the agreement for operators. Its JSON keys are part of the operators' interface.

use super::applying::permission_name;
use super::ConfigAgreement;
use aldercrank_consensus::{CommittedState, CommitteeMember, ServerName};
use aldercrank_pacing::SlowStartStatus;
use aldercrank_versioned_config::Digest;
use serde_json::{json, Value};
use std::time::Duration;

impl ConfigAgreement {
    /// The status as JSON, with the state of this server's slow start if there is one.
    pub(super) fn status(&self, now: Duration, slow_start: Option<SlowStartStatus>) -> String {
        let lease_end = self.follower.bounds().full_until;
        let status = json!({
            "server": &*self.context.server.0,
            "level": permission_name(self.permission),
            "standing": self.follower.committed().map(committed_status),
            "since_ms": millis(now.saturating_sub(self.in_force_since)),
            "lease_ms": millis(lease_end.saturating_sub(now)),
            "misfit": self.follower.incompatibility(),
            "committee": self.member.as_ref().map(|member| member_status(member, now)),
            "start": slow_start.map(|start| {
                json!({"phase": start.phase.name(), "share": start.share, "why": start.reason.text()})
            }),
            "text": self.follower.version().map(|version| &*version.text),
            "agree_within_ms": millis(self.timing.agreement_bound),
        });
        status.to_string()
    }
}

fn committed_status(committed: CommittedState) -> Value {
    json!({
        "last": committed.last_decided,
        "version": committed.version_id.number,
        "digest": format!("{}", Digest(committed.version_id.digest)),
    })
}

fn member_status(member: &CommitteeMember, now: Duration) -> Value {
    let refused: Vec<Value> = member
        .refusals()
        .iter()
        .map(|refusal| json!({"version": refusal.number, "why": refusal.reason}))
        .collect();
    let conflicting: Vec<String> = member
        .conflicting_members()
        .iter()
        .map(|(name, version_id)| format!("{name}: {version_id}"))
        .collect();
    json!({
        "standing": committed_status(member.committed()),
        "sound": member.is_active(),
        "vouches": member.is_confirmed(now),
        "draft": member.proposed().map(|version| version.version_id.number),
        "held_up": member.blocked_by(now),
        "at_odds": conflicting,
        "refused": refused,
        "servers": follower_statuses(member, now),
        "members": member.committee().iter().map(ServerName::to_string).collect::<Vec<_>>(),
    })
}

fn follower_statuses(member: &CommitteeMember, now: Duration) -> Vec<Value> {
    let servers = member.follower_statuses(now);
    let status = servers.iter().map(|server| {
        let evaluation = server.evaluation.as_ref().map(|evaluation| {
            json!({"version": evaluation.version_id.number, "refuses": evaluation.result.as_ref().err()})
        });
        json!({
            "name": &*server.name.0,
            "last": server.last_decided,
            "heard_ms": millis(server.since_last_seen),
            "lease_ms": millis(server.lease_left),
            "weighed": evaluation,
        })
    });
    status.collect()
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
