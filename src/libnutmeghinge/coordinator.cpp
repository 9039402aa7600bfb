#include "coordinator.h"

#include "cellcontext.h"
#include "crashsuspects.h"
#include "effectlist.h"
#include "events.h"
#include "shardactivity.h"
#include "shardhandover.h"

#include <algorithm>
#include <tuple>

namespace nutmeghinge {

namespace {

using State = CoordinatorTerm::State;

/** Number of heartbeats after which a map that the member has not acknowledged is sent again. */
constexpr int mapDeliveryHeartbeats = 2;
/** A node that starts reads the suspects from the row, so they are written sooner than other changes. */
constexpr Duration suspectsWriteInterval = std::chrono::milliseconds(100);
/** Interval between checks, and so records, of a full cell. */
constexpr Duration fullCellInterval = std::chrono::seconds(10);
/** Minimum interval between records of failed elections. */
constexpr Duration failureRecordInterval = std::chrono::seconds(1);
constexpr Duration planInterval = std::chrono::seconds(1);
/** A member's load by shard is dropped if no new report arrives for this long. */
constexpr Duration loadLifetime = std::chrono::seconds(3);
/** Number of writes of the cell row within one hold limit. */
constexpr int rowWritesPerHoldLimit = 4;

TimelineRecord termRecord(TimelineRecord::Kind kind, MemberSlot self, Term term, std::string detail)
{
    TimelineRecord record;
    record.kind = kind;
    record.member = self;
    record.fence = Fence{term, 0};
    record.detail = std::move(detail);
    return record;
}

} // namespace

Coordinator::Coordinator(CellContext &context, const ShardHandover &handover)
    : m_context(context)
    , m_handover(handover)
    , m_term(context.timings)
{
}

void Coordinator::tick(const Event &event, EffectList &effects)
{
    const MonotonicTime now = event.at;
    if (m_context.self == noMember || !m_context.documents.document()) {
        return;
    }
    updateTermEnd(now);
    if (isElected() && now >= m_termEnd) {
        end("majority lapsed: " + describeVotes(now), event, effects);
    }
    if (isElected() && m_ledger.map().version.sequence >= m_context.timings.mapVersionsPerTerm) {
        end("map versions of the term used up", event, effects);
        startElection(event, effects);
    }
    if (m_term.hasElectionFailed(now)) {
        ++m_failedElections;
        if (now >= m_nextFailureRecord) {
            m_nextFailureRecord = now + failureRecordInterval;
            effects.record(termRecord(TimelineRecord::Kind::ElectionFailed, m_context.self, m_term.term(), describeVotes(now)));
        }
        end("no majority", event, effects);
    }
    startElectionIfDue(event, effects);
    if (m_term.isRenewalDue(now)) {
        requestVotes(event, effects);
    }
    becomeCoordinatorIfElected(event, effects);
    if (!isElected()) {
        return;
    }
    updateReducedMajority(now);
    updateOwnStatus(event, effects);
    if (isActive(now)) {
        expireLeases(now, effects);
        updateEligibility(event);
        endRecoveryIfDue(now);
        m_ledger.grantReleasedShards(
            acknowledgedVersion(now), [this](MemberSlot slot) { return isEligible(slot); }, now, effects);
        m_ledger.addSections(sectionsWith(m_ledger.map().sections));
        for (const ShardSection &section : sections()) {
            m_ledger.replaceNextOwners(eligibleMembers(section), section, m_context.timings.moveRetarget, now);
        }
        assignShards(event, effects);
        publish();
        pushMap(now, effects);
    }
    recordFullCell(now, effects);
    recordMemberChange(now, effects);
    writeRowIfDue(now, effects);
    resignIfIdle(event, effects);
}

// Term.

void Coordinator::startElectionIfDue(const Event &event, EffectList &effects)
{
    const VoteRecord &voteRecord = m_context.voteRecord;
    const bool votedForOther = event.at < voteRecord.committedUntil() && voteRecord.candidate() != m_context.self;
    const bool bound = votedForOther || event.at < voteRecord.electionPostponedUntil();
    const bool lastMember = m_context.members.members().size() == 1;
    if (m_term.state() != State::Follower || bound || (m_context.stopping && !lastMember)) {
        m_electionScheduled = false;
        return;
    }
    if (!m_electionScheduled) {
        const std::size_t position = m_context.members.candidatePosition(m_context.self);
        const Duration stagger = m_context.timings.candidateStagger;
        // Leaves enough time for a vote request of an active coordinator to arrive first.
        const Duration backOff = m_failedElections == 0 ? Duration(0) : 2 * m_context.timings.voteRenewal + jitter();
        m_electionAt = event.at + stagger * static_cast<std::int64_t>(position) + backOff;
        m_electionScheduled = true;
    }
    if (event.at >= m_electionAt) {
        m_electionScheduled = false;
        startElection(event, effects);
    }
}

Duration Coordinator::jitter() const
{
    const std::uint64_t step = (m_context.identity.seed + m_failedElections * std::uint64_t{7919}) % 8;
    return m_context.timings.candidateStagger * static_cast<std::int64_t>(step) / 2;
}

void Coordinator::startElection(const Event &event, EffectList &effects)
{
    const std::optional<VersionedCellRow> &row = m_context.row.known();
    const Term highest = std::max({m_context.voteRecord.highestTerm(), m_context.map.version.term, row ? row->row.termFloor : Term()});
    m_term.startElection(CoordinatorTerm::next(highest, m_context.self), event.at);
    requestVotes(event, effects);
}

void Coordinator::requestVotes(const Event &event, EffectList &effects)
{
    m_term.scheduleRenewal(event.at);
    const VoteRequest request{m_term.term(), m_context.members.revision(), event.at, m_context.map.version};
    for (const Member &member : m_context.members.members()) {
        // A candidate does not renew votes, so that they expire soon after a failed election.
        const bool hasVote = !isElected() && m_term.hasVoteFrom(member.slot, event.at);
        if (hasVote || m_context.members.hasEnded(member.slot)) {
            continue;
        }
        if (member.slot != m_context.self) {
            m_context.send(member.slot, request, effects);
        } else if (m_context.voteRecord.grantVote(m_term.term(), m_context.self, event.at)) {
            m_term.addOwnVote(m_context.self, event.at);
        }
    }
    updateTermEnd(event.at);
}

void Coordinator::voteAnswered(MemberSlot from, const VoteAnswer &answer, const Event &event, EffectList &effects)
{
    m_context.voteRecord.recordTerm(answer.highestTerm);
    if (answer.revision > m_context.members.revision()) {
        m_context.row.requestRead();
    }
    if (!answer.granted && isElected() && answer.term == m_term.term() && answer.highestTerm > m_term.term()) {
        startElectionWithHigherTerm(event, effects);
        return;
    }
    if (!answer.granted || answer.term != m_term.term() || m_term.state() == State::Follower || !m_context.members.find(from)) {
        return;
    }
    m_term.addVote(from, answer);
    updateTermEnd(event.at);
    if (answer.highestTerm > m_term.term()) {
        renewFences(event, effects);
        return;
    }
    becomeCoordinatorIfElected(event, effects);
}

void Coordinator::becomeCoordinatorIfElected(const Event &event, EffectList &effects)
{
    const MonotonicTime now = event.at;
    const Document *document = m_context.documents.document();
    const std::optional<VersionedCellRow> &row = m_context.row.known();
    if (m_term.state() != State::Candidate || !m_term.hasMajority(m_context.members, now) || !document || !row) {
        return;
    }
    const OwnershipMap *base = &m_context.map;
    for (const OwnershipMap *other : {&m_term.newestMap(), &row->row.map}) {
        base = other->version > base->version ? other : base;
    }
    OwnershipLedger::Start start;
    start.term = m_term.term();
    start.base = base;
    start.sections = sectionsWith(base->sections);
    if (m_context.spansServices()) {
        start.shards = start.sections.empty() ? 0 : start.sections.back().first + start.sections.back().count;
    } else {
        start.shards = document->isSharded() ? document->shards : 0;
    }
    start.self = m_context.self;
    // With target leases, the target's own report tells which shards it holds.
    start.selfHolds = !m_context.usesTargetLeases() && (CoordinatorTerm::slotOf(base->version.term) == m_context.self || m_context.lease.isValid(now));
    // In a cell of several services, the previous coordinator held its shards by a member lease like any other member, so they are not free yet.
    start.baseCoordinatorShardsAreFree = !m_context.spansServices() && m_term.hasMajorityOfAll(m_context.members, now);
    start.renewFences = m_renewFences;
    start.freeAt = now + m_context.executionWait();
    m_ledger.start(start);
    m_mapHistory.start(*base);
    if (m_context.usesTargetLeases()) {
        m_ledger.confirmHeld(m_context.self, m_context.targetLeases.held(now), m_context.map.version);
    }
    m_renewFences = false;
    m_term.becomeCoordinator();
    m_status.clear();
    recordNodes(row->row);
    if (m_context.usesTargetLeases()) {
        // The shards confirmed above belong to this incarnation of the target; a later incarnation holds none of them.
        updateTargetIncarnation(m_context.self,
                                m_status[m_context.self],
                                m_context.reportedTargetIncarnation,
                                m_context.targetLeases.held(now),
                                m_context.map.version,
                                now,
                                effects);
    }
    m_successors = row->row.successors;
    m_electedAt = now;
    m_plannedAt = MonotonicTime();
    m_movesCountedAt = now;
    m_failedElections = 0;
    m_context.lease.expire(now);
    effects.record(termRecord(TimelineRecord::Kind::TermStarted, m_context.self, m_term.term(), ""));
    // Some votes of the majority may expire soon, because they were granted long before the last vote arrived.
    requestVotes(event, effects);
    publish();
}

void Coordinator::end(const std::string &reason, const Event &event, EffectList &effects)
{
    if (isElected()) {
        effects.record(termRecord(TimelineRecord::Kind::TermEnded, m_context.self, m_term.term(), reason));
        if (!m_context.usesTargetLeases()) {
            m_context.lease.expire(event.at);
        }
        m_context.holdLimitExpiresAt = std::max(m_context.holdLimitExpiresAt, holdLimitEnd());
    } else if (m_term.state() == State::Candidate) {
        m_context.voteRecord.withdrawVote(m_term.term(), m_context.self, event.at);
    }
    m_term.end();
    m_electionScheduled = false;
    updateTermEnd(event.at);
}

void Coordinator::renewFences(const Event &event, EffectList &effects)
{
    if (m_term.state() == State::Follower) {
        return;
    }
    end("a target reported a newer fence", event, effects);
    m_renewFences = true;
    startElection(event, effects);
}

/** Starts an election with a higher term, because a member voted for a failed candidate's higher term and only accepts terms above that. */
void Coordinator::startElectionWithHigherTerm(const Event &event, EffectList &effects)
{
    if (event.at < m_electedAt + 2 * m_context.timings.voteDuration) {
        // The other candidate may still win; its votes expire first.
        return;
    }
    end("a member has voted in a higher term", event, effects);
    startElection(event, effects);
}

void Coordinator::updateTermEnd(MonotonicTime now)
{
    m_termEnd = m_term.state() == State::Follower ? MonotonicTime() : m_term.endsAt(m_context.members, now);
}

void Coordinator::updateReducedMajority(MonotonicTime now)
{
    if (m_term.hasMajorityOfAll(m_context.members, now)) {
        m_majorityReducedSince.reset();
    } else if (!m_majorityReducedSince) {
        m_majorityReducedSince = now;
    }
}

/**
 * Returns whether this coordinator must write the cell row before it may act. If most members of a cell have ended, restarted
 * nodes may take over its row. A coordinator whose majority excludes ended members is therefore only active once it has written
 * the row since the majority was reduced.
 */
bool Coordinator::needsRowWrite() const
{
    if (!m_context.spansServices() || !m_majorityReducedSince) {
        return false;
    }
    const CellRowStore &row = m_context.row;
    const bool hasWrittenSince = row.hasWritten() && row.isOfThisEpoch() && row.writtenAt() >= *m_majorityReducedSince;
    return !hasWrittenSince;
}

MonotonicTime Coordinator::holdLimitEnd() const
{
    const Document *document = m_context.documents.document();
    if (!document || !m_context.row.hasWritten()) {
        return m_context.holdLimitExpiresAt;
    }
    return std::max(m_context.holdLimitExpiresAt, m_context.row.writtenAt() + document->holdLimit);
}

MonotonicTime Coordinator::activeUntil() const
{
    return std::min(m_termEnd, holdLimitEnd());
}

void Coordinator::resignIfIdle(const Event &event, EffectList &effects)
{
    if (m_context.stopping && m_context.members.members().size() > 1 && !m_ledger.isRecovering() && !m_ledger.owns(m_context.self)) {
        end("planned stop", event, effects);
    }
}

// Members.

void Coordinator::updateOwnStatus(const Event &event, EffectList &effects)
{
    MemberStatus &self = m_status[m_context.self];
    self.heartbeatReceived = true;
    self.sentAt = event.at;
    self.lastHeartbeatAt = event.at;
    self.leaseEnd = MonotonicTime::max();
    self.revision = m_context.members.revision();
    self.mapVersion = m_ledger.map().version;
    self.document = m_context.documents.revision();
    self.leaving = m_context.isLeaving(event.wallTime);
    MemberLoad load = m_context.takeLoad(event.at);
    m_smoothedLoads.addReport(m_context.self, load.shards, m_ledger.map());
    if (load.shards.empty() && load.heavyKeys.empty() && event.at < self.shardLoadAt + loadLifetime) {
        load.shards = std::move(self.load.shards);
        load.heavyKeys = std::move(self.load.heavyKeys);
    } else {
        self.shardLoadAt = event.at;
    }
    self.load = std::move(load);
    for (const auto &[shard, fence] : m_handover.released()) {
        m_ledger.markReleased(m_context.self, shard, fence);
    }
    if (m_context.usesTargetLeases()) {
        updateTargetIncarnation(
            m_context.self, self, m_context.reportedTargetIncarnation, m_context.targetLeases.held(event.at), m_context.map.version, event.at, effects);
    }
    if (m_context.usesTargetLeases() && isActive(event.at) && acknowledgedVersion(event.at).term == m_term.term()) {
        m_context.lease.extend(event.at, m_context.timings.memberLease);
    }
}

void Coordinator::heartbeatArrived(MemberSlot from, const Heartbeat &heartbeat, const Event &event, EffectList &effects)
{
    if (heartbeat.revision > m_context.members.revision()) {
        m_context.row.requestRead();
        return;
    }
    if (heartbeat.newerDocument) {
        m_context.offerDocument(*heartbeat.newerDocument, DocumentSource::Member, event.at, effects);
    }
    if (!isElected() || event.at >= m_termEnd || heartbeat.term != m_term.term() || !m_context.members.find(from)) {
        return;
    }
    MemberStatus &status = m_status[from];
    if (status.heartbeatReceived && heartbeat.sentAt <= status.sentAt) {
        return;
    }
    if (!status.heartbeatReceived) {
        m_ledger.confirmHeld(from, heartbeat.held, heartbeat.mapVersion);
        status.leaseEnd = event.at + m_context.timings.withDrift(m_context.timings.memberLease);
    }
    updateTargetIncarnation(from, status, heartbeat.targetIncarnation, heartbeat.held, heartbeat.mapVersion, event.at, effects);
    updateStatus(status, heartbeat, event.at);
    m_smoothedLoads.addReport(from, heartbeat.load.shards, m_ledger.map());
    for (const auto &[shard, fence] : heartbeat.released) {
        m_ledger.markReleased(from, shard, fence);
    }
    publish();
    answerHeartbeat(from, heartbeat, status, event, effects);
}

/**
 * Updates the ledger when the member's target reports a new incarnation. The report tells which shards the target holds. If the
 * same process of the node has reported an earlier incarnation, that one has ended. A new process does not know the earlier ones,
 * so shards that an earlier process was granted, and that are not reported, are free only when its lease has expired.
 */
void Coordinator::updateTargetIncarnation(MemberSlot from,
                                          MemberStatus &status,
                                          std::uint64_t targetIncarnation,
                                          const std::vector<ShardIndex> &held,
                                          const Fence &mapVersion,
                                          MonotonicTime now,
                                          EffectList &effects)
{
    if (targetIncarnation == 0 || targetIncarnation == status.targetIncarnation) {
        return;
    }
    const bool restarted = status.targetIncarnation != 0;
    status.targetIncarnation = targetIncarnation;
    if (restarted) {
        m_ledger.revokeShards(from, now, effects);
        status.revokedVersion = m_ledger.map().version;
        return;
    }
    // The member's heartbeats may arrive before its target's first report; during recovery, its shards are known only now.
    m_ledger.confirmHeld(from, held, mapVersion);
    const auto node = m_nodes.find(from);
    for (const auto &[slot, name] : m_nodes) {
        if (slot != from && node != m_nodes.end() && name == node->second) {
            m_ledger.transfer(slot, from, held, now, effects);
            m_ledger.revokeShards(slot, leaseEndOf(slot, now), effects);
        }
    }
}

/** Returns the time after which no target holds shards granted by the member in the slot; now if its lease has expired or it has had none in this term. */
MonotonicTime Coordinator::leaseEndOf(MemberSlot slot, MonotonicTime now) const
{
    const auto status = m_status.find(slot);
    return status == m_status.end() || status->second.leaseExpired ? now : std::max(now, status->second.leaseEnd);
}

void Coordinator::recordNodes(const CellRow &row)
{
    for (const auto &[slot, node] : row.former) {
        m_nodes[slot] = node;
    }
    for (const Member &member : row.members) {
        m_nodes[member.slot] = member.node;
    }
}

std::vector<std::pair<MemberSlot, NodeName>> Coordinator::formerNodes(const CellRow &row) const
{
    std::vector<std::pair<MemberSlot, NodeName>> former;
    for (const auto &[slot, node] : m_nodes) {
        const bool listed = std::any_of(row.members.begin(), row.members.end(), [slot = slot](const Member &member) { return member.slot == slot; });
        const auto &shards = row.map.shards;
        if (!listed && std::any_of(shards.begin(), shards.end(), [slot = slot](const ShardOwnership &entry) { return entry.owner == slot; })) {
            former.emplace_back(slot, node);
        }
    }
    return former;
}

/** Returns whether each node that may still own shards, or a later incarnation of it, has reported the shards that its target holds. */
bool Coordinator::areHeldShardsReported() const
{
    for (const MemberSlot owner : m_ledger.unconfirmedOwners()) {
        if (hasHeartbeatFrom(owner)) {
            continue;
        }
        const auto node = m_nodes.find(owner);
        const bool reported = node != m_nodes.end() && std::any_of(m_status.begin(), m_status.end(), [&](const auto &entry) {
                                  const auto other = m_nodes.find(entry.first);
                                  return entry.second.targetIncarnation != 0 && other != m_nodes.end() && other->second == node->second;
                              });
        if (!reported) {
            return false;
        }
    }
    return true;
}

void Coordinator::updateStatus(MemberStatus &status, const Heartbeat &heartbeat, MonotonicTime now)
{
    status.heartbeatReceived = true;
    status.sentAt = heartbeat.sentAt;
    status.lastHeartbeatAt = now;
    status.revision = heartbeat.revision;
    status.mapVersion = std::max(status.mapVersion, heartbeat.mapVersion);
    status.document = heartbeat.document;
    status.leaving = heartbeat.leaving;
    const bool listsShards = !heartbeat.load.shards.empty() || !heartbeat.load.heavyKeys.empty();
    MemberLoad load = heartbeat.load;
    if (!listsShards && now < status.shardLoadAt + loadLifetime) {
        load.shards = std::move(status.load.shards);
        load.heavyKeys = std::move(status.load.heavyKeys);
    }
    if (listsShards) {
        status.shardLoadAt = now;
    }
    status.load = std::move(load);
}

void Coordinator::answerHeartbeat(MemberSlot to, const Heartbeat &heartbeat, MemberStatus &status, const Event &event, EffectList &effects)
{
    const MonotonicTime now = event.at;
    HeartbeatAnswer answer;
    answer.term = m_term.term();
    answer.revision = m_context.members.revision();
    answer.sentAt = heartbeat.sentAt;
    answer.document = m_context.documents.revision();
    answer.holdLeft = std::max(Duration(0), std::chrono::duration_cast<Duration>(holdLimitEnd() - now));
    // Grants no lease before a majority knows a map of this term, so that a successor learns that map from its own majority.
    if (isActive(now) && acknowledgedVersion(now).term == m_term.term()) {
        answer.lease = m_context.timings.memberLease;
        status.leaseEnd = std::max(status.leaseEnd, now + m_context.timings.withDrift(answer.lease));
    }
    // A heartbeat that was sent before the member received the newest map must not cause a second copy of it, unless the member lost
    // shards: a lease without the map that took them would let it serve them on.
    const bool lostShards = heartbeat.mapVersion < status.revokedVersion;
    const bool mapUnderWay = status.sentVersion >= m_ledger.map().version && now < status.mapSentAt + mapDeliveryHeartbeats * m_context.timings.heartbeat;
    if (heartbeat.mapVersion < m_ledger.map().version && (lostShards || !mapUnderWay)) {
        addMap(answer, status, now);
    }
    answer.documentAge = m_context.documentFreshness.ageByPlatform(now);
    if (heartbeat.document < answer.document) {
        answer.newerDocument = m_context.documents.copy();
    }
    if (sharesLoads() && now >= status.loadsSentAt + m_context.timings.loadsInterval) {
        status.loadsSentAt = now;
        answer.loads = collectLoads();
    }
    m_context.send(to, std::move(answer), effects);
}

void Coordinator::addMap(HeartbeatAnswer &answer, MemberStatus &status, MonotonicTime now)
{
    m_mapHistory.record(m_ledger.map());
    answer.mapChanges = m_mapHistory.changesSince(status.mapVersion);
    if (!answer.mapChanges) {
        answer.map = m_ledger.map();
    }
    status.sentVersion = m_ledger.map().version;
    status.mapSentAt = now;
}

void Coordinator::pushMap(MonotonicTime now, EffectList &effects)
{
    const OwnershipMap &map = m_ledger.map();
    for (auto &[slot, status] : m_status) {
        if (slot == m_context.self || status.mapVersion >= map.version || status.sentVersion >= map.version || now >= status.leaseEnd) {
            continue;
        }
        HeartbeatAnswer answer;
        answer.term = m_term.term();
        answer.revision = m_context.members.revision();
        answer.sentAt = status.sentAt;
        answer.document = m_context.documents.revision();
        answer.holdLeft = std::max(Duration(0), std::chrono::duration_cast<Duration>(holdLimitEnd() - now));
        addMap(answer, status, now);
        m_context.send(slot, std::move(answer), effects);
    }
}

void Coordinator::expireLeases(MonotonicTime now, EffectList &effects)
{
    for (auto &[slot, status] : m_status) {
        const bool expired = now >= status.leaseEnd;
        if (expired && !status.leaseExpired) {
            m_ledger.revokeShards(slot, now + m_context.executionWait(), effects);
            status.revokedVersion = m_ledger.map().version;
        }
        status.leaseExpired = expired;
    }
}

void Coordinator::updateEligibility(const Event &event)
{
    const Document *own = m_context.documents.document();
    for (auto &[slot, status] : m_status) {
        const Member *member = m_context.members.find(slot);
        const Document *document = member && m_context.spansServices() ? m_context.documents.documents()->find(member->service) : own;
        const bool eligible = member && document && !document->isLeaving(member->target, event.wallTime) && !status.leaseExpired && !status.leaving
                              && !member->leaving && status.load.healthy && !m_context.members.hasEnded(slot) && !m_context.members.isDeparting(slot);
        if (eligible && !status.eligible) {
            status.eligibleSince = event.at;
        }
        status.eligible = eligible;
    }
}

bool Coordinator::isEligible(MemberSlot slot) const
{
    const auto status = m_status.find(slot);
    return status != m_status.end() && status->second.eligible;
}

bool Coordinator::serves(const Member &member, const ShardSection &section) const
{
    return !m_context.spansServices() || member.service == section.service;
}

std::vector<MemberSlot> Coordinator::eligibleMembers(const ShardSection &section) const
{
    std::vector<MemberSlot> result;
    for (const auto &[slot, status] : m_status) {
        const Member *member = m_context.members.find(slot);
        if (status.eligible && member && serves(*member, section)) {
            result.push_back(slot);
        }
    }
    return result;
}

bool Coordinator::hasHeartbeatFrom(MemberSlot slot) const
{
    const auto status = m_status.find(slot);
    return status != m_status.end() && status->second.heartbeatReceived;
}

Fence Coordinator::acknowledgedVersion(MonotonicTime now) const
{
    const auto versionOf = [this](MemberSlot slot) {
        const auto status = m_status.find(slot);
        return slot == m_context.self ? m_ledger.map().version : status == m_status.end() ? Fence() : status->second.mapVersion;
    };
    return m_context.members.majorityValue<Fence>(versionOf, now);
}

std::vector<MemberLoad> Coordinator::collectLoads() const
{
    std::vector<MemberLoad> loads;
    const std::vector<ShardSection> sharded = m_context.spansServices() ? sections() : std::vector<ShardSection>();
    for (const auto &[slot, status] : m_status) {
        const Member *member = m_context.members.find(slot);
        // Only replicas are chosen by load; the owner of a key is given.
        const bool isReplica = member && std::none_of(sharded.begin(), sharded.end(), [&](const ShardSection &section) { return serves(*member, section); });
        if (!status.leaseExpired && isReplica) {
            loads.push_back(status.load);
            // Members only compare total loads.
            loads.back().shards.clear();
            loads.back().heavyKeys.clear();
        }
    }
    return loads;
}

// Shards.

void Coordinator::endRecoveryIfDue(MonotonicTime now)
{
    if (!m_ledger.isRecovering()) {
        return;
    }
    const MonotonicTime leasesEnd = m_electedAt + m_context.timings.withDrift(m_context.timings.memberLease);
    const bool known = hasHeartbeatFromAllHolders(now) && (!m_context.spansServices() || areHeldShardsReported());
    if (now >= (known ? m_electedAt : leasesEnd) + m_context.executionWait()) {
        m_ledger.finishRecovery();
    }
}

bool Coordinator::hasHeartbeatFromAllHolders(MonotonicTime now) const
{
    const std::vector<Member> &members = m_context.members.members();
    const std::vector<ShardSection> sharded = sections();
    return std::all_of(members.begin(), members.end(), [&](const Member &member) {
        const bool mayHold = std::any_of(sharded.begin(), sharded.end(), [&](const ShardSection &section) { return serves(member, section); });
        return !mayHold || hasHeartbeatFrom(member.slot) || m_context.members.isExcludedFromMajority(member.slot, now);
    });
}

void Coordinator::assignShards(const Event &event, EffectList &effects)
{
    const MonotonicTime now = event.at;
    if (m_context.documents.revision() < m_term.newestDocument() || m_ledger.map().shards.empty()) {
        return;
    }
    grantToSuccessors(now, effects);
    if (m_ledger.isRecovering()) {
        return;
    }
    moveShardsOffLeavingMembers(now, effects);
    const bool settled = now >= m_electedAt + 2 * m_context.timings.heartbeat || hasHeartbeatFromAllHolders(now);
    const Duration interval = m_ledger.freeShards(now).empty() ? planInterval : m_context.timings.heartbeat;
    if (settled && now >= m_plannedAt + interval) {
        m_plannedAt = now;
        planMoves(event, effects);
    }
}

void Coordinator::grantToSuccessors(MonotonicTime now, EffectList &effects)
{
    const bool waits = now < m_electedAt + 2 * m_context.timings.heartbeat;
    std::vector<PlannedMove> moves;
    for (const ShardIndex shard : m_ledger.freeShards(now)) {
        const MemberSlot before = m_ledger.map().shards[shard.value()].owner;
        std::vector<MemberSlot> order{before};
        if (shard.value() < m_successors.size()) {
            order.insert(order.end(), m_successors[shard.value()].begin(), m_successors[shard.value()].end());
        }
        for (const MemberSlot slot : order) {
            if (isEligible(slot)) {
                moves.push_back(PlannedMove{shard, slot});
                break;
            }
            if (waits && slot != before && !hasHeartbeatFrom(slot) && m_context.members.find(slot)) {
                break;
            }
        }
    }
    m_ledger.apply(moves, now, effects);
}

void Coordinator::moveShardsOffLeavingMembers(MonotonicTime now, EffectList &effects)
{
    if (m_ledger.isRecovering()) {
        return;
    }
    std::vector<PlannedMove> moves;
    const std::vector<ShardOwnership> &shards = m_ledger.map().shards;
    for (const ShardSection &section : sections()) {
        if (!eligibleMembers(section).empty()) {
            continue;
        }
        for (std::uint32_t i = section.first; i < section.first + section.count; ++i) {
            const auto owner = m_status.find(shards[i].owner);
            if (shards[i].state == ShardOwnership::State::Owned && owner != m_status.end() && owner->second.leaving) {
                moves.push_back(PlannedMove{ShardIndex(i), noMember});
            }
        }
    }
    m_ledger.apply(moves, now, effects);
}

std::vector<ShardSection> Coordinator::sections() const
{
    const OwnershipMap &map = m_ledger.map();
    if (m_context.spansServices()) {
        return map.sections;
    }
    return {ShardSection{m_context.service, 0, static_cast<std::uint32_t>(map.shards.size())}};
}

/** Returns the known sections, followed by one for each further service that is sharded by key. */
std::vector<ShardSection> Coordinator::sectionsWith(const std::vector<ShardSection> &known) const
{
    if (!m_context.spansServices()) {
        return {};
    }
    std::vector<ShardSection> result = known;
    for (const Document &document : m_context.documents.documents()->services) {
        const bool listed = std::any_of(result.begin(), result.end(), [&](const ShardSection &section) { return section.service == document.service; });
        if (document.isSharded() && !listed) {
            const std::uint32_t first = result.empty() ? 0 : result.back().first + result.back().count;
            result.push_back({document.service, first, document.shards});
        }
    }
    return result;
}

const Document *Coordinator::documentOf(const ShardSection &section) const
{
    return m_context.spansServices() ? m_context.documents.documents()->find(section.service) : m_context.documents.document();
}

void Coordinator::planMoves(const Event &event, EffectList &effects)
{
    std::vector<PlannedMove> moves;
    for (const ShardSection &section : sections()) {
        if (const Document *document = documentOf(section)) {
            const std::vector<PlannedMove> planned = planSection(section, *document, event);
            moves.insert(moves.end(), planned.begin(), planned.end());
        }
    }
    const std::vector<ShardOwnership> &shards = m_ledger.map().shards;
    for (const PlannedMove &move : moves) {
        if (move.shard.value() < shards.size() && isEligible(shards[move.shard.value()].owner)) {
            m_moveBudget -= 1;
        }
    }
    m_moveBudget = std::max(m_moveBudget, 0.0);
    m_ledger.apply(moves, event.at, effects);
    const Document *document = m_context.documents.document();
    if (m_context.spansServices() || !document) {
        // Shards of a lost member wait for its target lease to expire, which leaves time for a new plan.
        m_successors.clear();
        return;
    }
    const std::vector<BalanceMember> members = balanceMembers(sections().front(), event);
    const std::vector<std::uint64_t> loads = shardLoads(event.at);
    const std::vector<bool> cooling = m_ledger.cooling(event.at);
    m_successors = planSuccessors({*document, members, m_ledger.map(), loads, cooling, 0, event.wallTime});
}

std::vector<PlannedMove> Coordinator::planSection(const ShardSection &section, const Document &document, const Event &event)
{
    const MonotonicTime now = event.at;
    const double perMicrosecond = document.movesPerMinute / 60e6;
    m_moveBudget += static_cast<double>((now - m_movesCountedAt).count()) * perMicrosecond;
    m_moveBudget = std::min(m_moveBudget, static_cast<double>(document.movesPerMinute));
    m_movesCountedAt = now;
    const auto part = [&](const auto &all) {
        const auto begin = all.begin() + static_cast<std::ptrdiff_t>(section.first);
        return std::decay_t<decltype(all)>(begin, begin + static_cast<std::ptrdiff_t>(section.count));
    };
    const std::vector<BalanceMember> members = balanceMembers(section, event);
    const std::vector<std::uint64_t> loads = part(shardLoads(now));
    const std::vector<bool> cooling = part(m_ledger.cooling(now));
    OwnershipMap map = m_ledger.map();
    map.shards = part(map.shards);
    const BalanceInput input{document, members, map, loads, cooling, static_cast<std::uint32_t>(m_moveBudget), event.wallTime};
    std::vector<PlannedMove> moves = makeBalanceStrategy(document)->plan(input);
    for (PlannedMove &move : moves) {
        move.shard = ShardIndex(move.shard.value() + section.first);
    }
    return moves;
}

std::vector<BalanceMember> Coordinator::balanceMembers(const ShardSection &section, const Event &event) const
{
    std::vector<BalanceMember> result;
    const Document *document = documentOf(section);
    for (const Member &member : m_context.members.members()) {
        if (!serves(member, section)) {
            continue;
        }
        BalanceMember entry;
        entry.slot = member.slot;
        entry.zone = member.zone;
        entry.slots = member.slots;
        entry.eligible = isEligible(member.slot);
        entry.leavesAt = document ? document->leavesAt(member.target) : std::nullopt;
        const auto status = m_status.find(member.slot);
        if (status != m_status.end() && status->second.load.slots > 0) {
            entry.slots = status->second.load.slots;
            entry.serviceTime = status->second.load.serviceTime;
        }
        if (entry.eligible && status != m_status.end()) {
            entry.eligibleFor = event.at - status->second.eligibleSince;
        }
        result.push_back(std::move(entry));
    }
    return result;
}

std::vector<std::uint64_t> Coordinator::shardLoads(MonotonicTime now) const
{
    if (m_context.spansServices()) {
        return m_smoothedLoads.loads(m_ledger.map().shards.size());
    }
    std::vector<std::uint64_t> loads(m_ledger.map().shards.size(), 0);
    for (const auto &[slot, status] : m_status) {
        if (now >= status.shardLoadAt + loadLifetime) {
            continue;
        }
        for (const ShardLoad &load : status.load.shards) {
            if (load.shard.value() < loads.size()) {
                loads[load.shard.value()] += load.milliRequestsPerSecond;
            }
        }
    }
    return loads;
}

/** Returns whether members need each other's loads: in a service that is not sharded by key, they choose the target by load. */
bool Coordinator::sharesLoads() const
{
    return m_context.spansServices() || m_ledger.map().shards.empty();
}

void Coordinator::publish()
{
    m_context.updateMap(m_ledger.map());
    if (sharesLoads()) {
        m_context.loads = collectLoads();
    }
}

// Row.

void Coordinator::updateFromRow(const CellRow &row, MonotonicTime now)
{
    recordNodes(row);
    std::erase_if(m_addedAt, [&](const auto &added) {
        return std::none_of(row.members.begin(), row.members.end(), [&](const Member &member) { return member.slot == added.first; });
    });
    for (const Member &member : row.members) {
        if (!m_context.members.find(member.slot)) {
            m_addedAt[member.slot] = now;
        }
    }
    m_admission.recordRemovedMembers(m_context.members, row);
}

bool Coordinator::isSupersededBy(const CellRow &row) const
{
    if (row.map.version.term == m_term.term()) {
        return false;
    }
    return row.map.version.term > m_term.term() || row.revision > m_context.members.revision();
}

std::size_t Coordinator::nodesWithoutRoom(MonotonicTime now) const
{
    const std::optional<VersionedCellRow> &known = m_context.row.known();
    return known && isElected() ? m_admission.nodesWithoutRoom(known->row, now) : 0;
}

void Coordinator::recordFullCell(MonotonicTime now, EffectList &effects)
{
    if (now < m_nextFullCellCheck) {
        return;
    }
    m_nextFullCellCheck = now + fullCellInterval;
    const std::size_t waiting = nodesWithoutRoom(now);
    if (waiting == 0) {
        return;
    }
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::CellFull;
    record.detail = std::to_string(m_context.members.members().size()) + " members, " + std::to_string(waiting) + " nodes are not admitted";
    effects.record(std::move(record));
}

void Coordinator::writeRowIfDue(MonotonicTime now, EffectList &effects)
{
    const std::optional<VersionedCellRow> &known = m_context.row.known();
    const Document *document = m_context.documents.document();
    if (!known || !document || m_context.row.isBusy() || m_context.row.isReadDue(now) || now < m_context.row.retryAt()) {
        return;
    }
    const bool isLost = !m_context.row.isOfThisEpoch();
    if (isLost && !m_context.row.wasReadInThisEpoch()) {
        // The copy may have a newer row than this node knows.
        m_context.row.read(m_context.service, now, effects);
        return;
    }
    std::optional<CellRow> change;
    if (isActive(now) && isMemberChangeComplete(now)) {
        change = m_admission.nextChange(
            known->row, [&](MemberSlot slot) { return mayRemove(slot, now); }, [&](MemberSlot slot) { return m_term.hasVoteFrom(slot, now); }, now);
    }
    const bool renewalDue = holdLimitEnd() - now < document->holdLimit * (rowWritesPerHoldLimit - 1) / rowWritesPerHoldLimit;
    const std::vector<CrashSuspect> &suspects = m_context.activity.crashSuspects().lasting();
    const bool suspectsChanged = known->row.suspects != suspects && now >= m_nextSuspectsWrite;
    const bool changed =
        known->row.map.version != m_ledger.map().version || known->row.successors != m_successors || known->row.document != m_context.documents.revision();
    if (!change && !needsRowWrite() && !renewalDue && !isLost && !suspectsChanged && (!changed || now < m_nextRowWrite)) {
        return;
    }
    CellRow row = change ? *change : known->row;
    row.map = m_ledger.map();
    row.successors = m_successors;
    row.document = std::max(row.document, m_context.documents.revision());
    row.suspects = suspects;
    if (m_context.spansServices()) {
        row.former = formerNodes(row);
    }
    ++row.mark;
    if (change) {
        m_memberChange.emplace(row.revision, now);
    }
    m_nextRowWrite = now + m_context.timings.rowWriteInterval;
    m_nextSuspectsWrite = now + suspectsWriteInterval;
    m_context.row.write(std::move(row), now, effects);
}

void Coordinator::recordMemberChange(MonotonicTime now, EffectList &effects)
{
    if (!m_memberChange || m_context.members.revision() < m_memberChange->first || !isMemberChangeComplete(now)) {
        return;
    }
    m_latestMemberChange = now - m_memberChange->second;
    ++m_memberChanges;
    m_memberChange.reset();
    const MembershipState state = membershipState(now);
    const auto milliseconds = [](Duration time) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms"; };
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::MembersChanged;
    record.detail = "revision " + std::to_string(m_context.members.revision().value()) + ", known to a majority after " + milliseconds(m_latestMemberChange)
                    + (m_context.members.isChanging() ? ", needs majorities of the former and the new voters; " : "; ") + describeVotes(now) + "; "
                    + std::to_string(state.waiting) + " nodes wait to join, the longest for " + milliseconds(state.longestWait);
    effects.record(std::move(record));
}

MembershipState Coordinator::membershipState(MonotonicTime now) const
{
    MembershipState state;
    const std::vector<Member> &members = m_context.members.members();
    state.members = members.size();
    state.ended = m_context.members.endedCount();
    state.leaving = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const Member &member) { return member.leaving; }));
    state.voters = m_context.members.voterCount();
    if (!isIdle()) {
        const auto votes = [&](const Member &member) { return m_context.members.isVoting(member.slot) && m_term.hasVoteFrom(member.slot, now); };
        state.votes = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), votes));
        state.votesNeeded = state.voters / 2 + 1;
    }
    if (isElected()) {
        std::tie(state.waiting, state.longestWait) = m_admission.waitingNodes(m_context.members, now);
        state.changes = m_memberChanges;
        state.latestChange = m_latestMemberChange;
    }
    return state;
}

std::string Coordinator::describeVotes(MonotonicTime now) const
{
    const MembershipState state = membershipState(now);
    return std::to_string(state.votes) + " votes of " + std::to_string(state.voters) + " voters, " + std::to_string(state.votesNeeded) + " needed; "
           + std::to_string(state.members) + " members, " + std::to_string(state.ended) + " ended, " + std::to_string(state.leaving) + " leave";
}

bool Coordinator::isMemberChangeComplete(MonotonicTime now) const
{
    const CellRevision revision = m_context.members.revision();
    return m_context.members.isMajority(
        [&](MemberSlot slot) {
            const auto status = m_status.find(slot);
            return status != m_status.end() && status->second.revision >= revision;
        },
        now);
}

bool Coordinator::mayRemove(MemberSlot slot, MonotonicTime now) const
{
    if (slot == m_context.self) {
        return false;
    }
    if (m_context.members.isExcludedFromMajority(slot, now)) {
        return true;
    }
    if (m_ledger.isRecovering() || m_ledger.owns(slot)) {
        return false;
    }
    const auto status = m_status.find(slot);
    const auto added = m_addedAt.find(slot);
    const MonotonicTime knownSince = added == m_addedAt.end() ? m_electedAt : std::max(m_electedAt, added->second);
    const MonotonicTime lastHeartbeatAt = status == m_status.end() ? knownSince : status->second.lastHeartbeatAt;
    const bool unresponsive = now >= lastHeartbeatAt + m_context.timings.memberRemoval;
    return unresponsive || m_admission.announcesLeaving(slot, m_context.members);
}

} // namespace nutmeghinge
