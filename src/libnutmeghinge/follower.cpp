#include "follower.h"

#include "cellcontext.h"
#include "crashsuspects.h"
#include "effectlist.h"
#include "events.h"
#include "shardactivity.h"
#include "shardhandover.h"

#include <algorithm>

namespace nutmeghinge {

Follower::Follower(CellContext &context, const ShardHandover &handover)
    : m_context(context)
    , m_handover(handover)
{
}

bool Follower::followsOtherCandidate() const
{
    const MemberSlot candidate = m_context.voteRecord.candidate();
    return m_context.self != noMember && candidate != noMember && candidate != m_context.self;
}

void Follower::tick(const Event &event, EffectList &effects)
{
    recordLease(event.at, effects);
    if (!followsOtherCandidate()) {
        return;
    }
    const std::size_t releases = m_handover.released().size();
    m_heartbeatRequested = m_heartbeatRequested || releases > m_releasesReported;
    m_releasesReported = releases;
    if (m_heartbeatRequested || event.at >= m_nextHeartbeat) {
        sendHeartbeat(event, effects);
    }
}

void Follower::sendHeartbeat(const Event &event, EffectList &effects)
{
    m_heartbeatRequested = false;
    m_nextHeartbeat = event.at + m_context.timings.heartbeat;
    Heartbeat heartbeat;
    heartbeat.term = m_context.voteRecord.term();
    heartbeat.revision = m_context.members.revision();
    heartbeat.sentAt = event.at;
    heartbeat.mapVersion = m_context.map.version;
    heartbeat.document = m_context.documents.revision();
    heartbeat.released = m_handover.released();
    heartbeat.leaving = m_context.isLeaving(event.wallTime);
    heartbeat.load = m_context.takeLoad(event.at);
    heartbeat.suspects = m_context.activity.crashSuspects().fingerprint();
    const bool answered = m_answeredTerm == heartbeat.term;
    heartbeat.targetIncarnation = m_targetIncarnation;
    if (m_context.usesTargetLeases()) {
        if (!answered || m_reportHeldShards) {
            heartbeat.held = m_context.targetLeases.held(event.at);
            m_heldShardsReportedAt = std::min(m_heldShardsReportedAt, event.at);
        }
    } else if (!answered && m_context.lease.isValid(event.at)) {
        heartbeat.held = m_handover.held();
    }
    if (answered && m_coordinatorDocument < heartbeat.document) {
        heartbeat.newerDocument = m_context.documents.copy();
    }
    m_context.send(m_context.voteRecord.candidate(), std::move(heartbeat), effects);
}

void Follower::voteRequested(MemberSlot from, const VoteRequest &request, const Event &event, EffectList &effects)
{
    if (!m_context.members.find(from) || m_context.self == noMember) {
        return;
    }
    if (request.revision > m_context.members.revision()) {
        m_context.row.requestRead();
    }
    VoteRecord &voteRecord = m_context.voteRecord;
    const Term before = voteRecord.term();
    VoteAnswer answer;
    answer.term = request.term;
    answer.revision = m_context.members.revision();
    answer.sentAt = request.sentAt;
    answer.document = m_context.documents.revision();
    answer.granted = request.revision >= m_context.members.revision() && voteRecord.grantVote(request.term, from, event.at);
    voteRecord.recordTerm(request.term);
    if (!answer.granted) {
        voteRecord.postponeElection(event.at);
    }
    answer.highestTerm = answer.granted ? std::max(request.term, voteRecord.fenceTerm()) : voteRecord.highestTerm();
    answer.hasNoNewerMap = m_context.map.version <= request.mapVersion;
    if (answer.granted && m_answeredTerm != request.term && !answer.hasNoNewerMap) {
        answer.map = m_context.map;
    }
    m_heartbeatRequested = m_heartbeatRequested || voteRecord.term() != before;
    m_context.send(from, std::move(answer), effects);
}

void Follower::heartbeatAnswered(MemberSlot from, const HeartbeatAnswer &answer, const Event &event, EffectList &effects)
{
    if (from != m_context.voteRecord.candidate() || answer.term != m_context.voteRecord.term()) {
        return;
    }
    m_answeredTerm = answer.term;
    m_reportHeldShards = m_reportHeldShards && answer.sentAt < m_heldShardsReportedAt;
    m_coordinatorDocument = answer.document;
    const bool isMapNewer = (answer.map && m_context.updateMap(*answer.map)) || (answer.mapChanges && m_context.updateMap(*answer.mapChanges));
    // The map may take shards from this member, so a lease counts only with the map that comes with it.
    const bool hasMap = !answer.mapChanges || m_context.map.version >= answer.mapChanges->version;
    if (answer.lease > Duration(0) && hasMap) {
        m_context.lease.extend(answer.sentAt, std::min(answer.lease, m_context.timings.memberLease));
    }
    m_heartbeatRequested = m_heartbeatRequested || isMapNewer;
    if (answer.newerDocument && m_context.offerDocument(*answer.newerDocument, DocumentSource::Coordinator, event.at, effects)) {
        m_heartbeatRequested = true;
    }
    if (answer.documentAge && m_context.documents.highestRevisionSeen() >= answer.document) {
        m_context.documentFreshness.confirmedByCoordinator(answer.sentAt - m_context.timings.withDrift(*answer.documentAge));
    }
    if (answer.revision > m_context.members.revision()) {
        m_context.row.requestRead();
    }
    if (!answer.loads.empty()) {
        m_context.loads = answer.loads;
    }
    const Duration holdLeft = answer.holdLeft - answer.holdLeft * m_context.timings.driftPerMille / 1000;
    m_context.holdLimitExpiresAt = std::max(m_context.holdLimitExpiresAt, answer.sentAt + holdLeft);
    recordLease(event.at, effects);
}

void Follower::targetReported()
{
    if (m_targetIncarnation != m_context.reportedTargetIncarnation) {
        m_targetIncarnation = m_context.reportedTargetIncarnation;
        reportHeldShards();
    }
}

void Follower::slotChanged()
{
    m_answeredTerm = Term();
    reportHeldShards();
}

/** Makes heartbeats list the shards that the target holds until the coordinator has answered one of them, since any may be lost. */
void Follower::reportHeldShards()
{
    m_reportHeldShards = true;
    m_heldShardsReportedAt = MonotonicTime::max();
    m_heartbeatRequested = true;
}

void Follower::recordLease(MonotonicTime now, EffectList &effects)
{
    const bool held = m_context.lease.isValid(now);
    if (held == m_leaseHeld) {
        return;
    }
    m_leaseHeld = held;
    TimelineRecord record;
    record.kind = held ? TimelineRecord::Kind::LeaseHeld : TimelineRecord::Kind::LeaseLapsed;
    record.member = m_context.self;
    if (!held) {
        record.detail = std::to_string(m_context.activity.targetRequests()) + " requests at the target or waiting for it";
    }
    effects.record(std::move(record));
}

} // namespace nutmeghinge
