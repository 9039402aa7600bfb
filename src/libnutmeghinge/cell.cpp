#include "cell.h"

#include "cellcontext.h"
#include "coordinator.h"
#include "crashsuspects.h"
#include "crashsuspectspread.h"
#include "effectlist.h"
#include "follower.h"
#include "shardactivity.h"
#include "shardhandover.h"
#include "tablepolling.h"

namespace nutmeghinge {

namespace {

/** A stopping node that has owned no shard for this long no longer waits to be removed from the member list. */
constexpr Duration removalTimeout = std::chrono::seconds(2);
/** A draining target still receives requests for this long while its shards move; targets accept them for two seconds. */
constexpr Duration drainGrace = std::chrono::milliseconds(1500);
/** Longest time after its start for which a node sends no request to its target while it has not read its rows in the platform's table. */
constexpr Duration rowsWaitLimit = std::chrono::seconds(3);
/** A target regards a call as failed if no answer arrives within a second. */
constexpr Duration noticeAnswerLimit = std::chrono::milliseconds(800);
/** A target that drains says so again with each heartbeat, so its keys need not wait long for the table. */
constexpr Duration drainAnswerLimit = std::chrono::milliseconds(300);
/** Minimum interval between records of refused announcements. */
constexpr Duration refusalRecordInterval = std::chrono::seconds(1);

} // namespace

struct Cell::Private {
    Private(NodeIdentity identity, Timings timings, ShardActivity &activity, const DocumentFormat *format);

    void beginEvent(const Event &event, EffectList &effects);
    void adoptRow(const CellRow &row, const Event &event, EffectList &effects);
    void recordMemberChanges(const CellRow &row, EffectList &effects) const;
    void applyKnownRow(const Event &event, EffectList &effects);
    bool hasAuthority(MonotonicTime now) const;
    /** Returns what is known of the target's incarnation in use when the named target announces itself. */
    TargetSuccession::Evidence evidenceFor(const TargetName &announced, MonotonicTime now) const;
    bool isOfOwnService(const TargetAnnounced &announcement) const;
    void refuseAnnouncement(const TargetAnnounced &announcement, MonotonicTime now, EffectList &effects);
    bool acceptAnnouncement(const TargetAnnounced &announcement, MonotonicTime now, EffectList &effects);
    std::optional<TargetLeaseGrant> targetLeaseGrant(MonotonicTime now);
    /** Returns whether this process knows the requests under which targets crashed, or cannot wait for them any longer. */
    bool knowsSuspects(MonotonicTime now) const;
    /**
     * Returns whether this process knows which targets have left, as earlier processes of the node acknowledged. If it cannot read
     * its row, only an announcement that is too new to come from a target that had left counts.
     */
    bool knowsDepartures(MonotonicTime now) const;
    /** Answers the announcement; if it says that the target leaves, only once the platform has recorded that. */
    void answerAnnouncement(const TargetAnnounced &announcement, bool accepted, MonotonicTime now, EffectList &effects);
    /** Answers the targets whose departures the platform has recorded, or that can wait no longer. */
    void answerDepartures(MonotonicTime now, EffectList &effects);
    bool isInDrainGrace(MonotonicTime now) const;
    bool mayRunUnderTargetLease(ShardIndex shard, const ShardOwnership &entry, MonotonicTime now) const;
    void updateStopped(MonotonicTime now);
    void updateResigned();
    void requestNewerRow(const PeerMessageArrived &arrived);
    TablePolling::Role pollingRole(MonotonicTime now) const;
    WallTime wallTime(MonotonicTime now) const;

    CellContext context;
    ShardHandover handover;
    Coordinator coordinator;
    Follower follower;
    CrashSuspectSpread suspectSpread;
    TablePolling polling;
    MonotonicTime lastEventAt;
    WallTime lastWallTime;
    /** Answer to a target that waits until the platform has recorded the target's departure. */
    struct PendingAnswer {
        std::uint64_t announcement = 0;
        TargetInstance departed;
        /** The target's lease is renewed with the answer. */
        bool renews = false;
        /** Status of the answer if the departure is not recorded in time. */
        AnswerTarget::Status otherwise = AnswerTarget::Status::NotRecorded;
        MonotonicTime until;
    };

    std::vector<PendingAnswer> pendingAnswers;
    MonotonicTime nextRefusalRecord;
    MonotonicTime noShardsSince = MonotonicTime::max();
    bool stopped = false;
};

Cell::Private::Private(NodeIdentity identity, Timings timings, ShardActivity &activity, const DocumentFormat *format)
    : context(std::move(identity), timings, activity, format)
    , handover(context)
    , coordinator(context, handover)
    , follower(context, handover)
    , suspectSpread(context)
    , polling(context)
    , lastEventAt(context.identity.startedAt)
{
}

/** Requests a read of the cell row if a candidate asks for a vote under a newer revision, which may admit this node. */
void Cell::Private::requestNewerRow(const PeerMessageArrived &arrived)
{
    const auto *request = std::get_if<VoteRequest>(&arrived.message);
    if (request && request->revision > context.members.revision()) {
        context.row.requestRead();
    }
}

/** Sets the time of the event being handled. If the node was paused before it, ends this node's member lease and its term or election. */
void Cell::Private::beginEvent(const Event &event, EffectList &effects)
{
    const bool paused = event.at - lastEventAt > context.timings.pauseLimit;
    lastEventAt = event.at;
    lastWallTime = event.wallTime;
    if (!paused) {
        return;
    }
    context.lease.expire(event.at);
    coordinator.end("paused", event, effects);
}

void Cell::Private::adoptRow(const CellRow &row, const Event &event, EffectList &effects)
{
    recordMemberChanges(row, effects);
    coordinator.updateFromRow(row, event.at);
    context.members.assign(row);
    context.members.recordAnnouncements(polling.announced(), event.at + context.timings.withDrift(context.timings.voteDuration));
    context.updateMap(row.map);
    const Member *own = context.members.find(context.identity.node, context.identity.incarnation);
    const MemberSlot slot = own ? own->slot : noMember;
    if (slot == context.self) {
        return;
    }
    if (context.self != noMember) {
        polling.setLostSlot(context.self);
    }
    coordinator.end("slot lost", event, effects);
    context.lease.expire(event.at);
    follower.slotChanged();
    context.self = slot;
}

void Cell::Private::recordMemberChanges(const CellRow &row, EffectList &effects) const
{
    const auto record = [&](TimelineRecord::Kind kind, const Member &member) {
        TimelineRecord change;
        change.kind = kind;
        change.member = member.slot;
        change.detail = member.node.value();
        effects.record(std::move(change));
    };
    if (context.members.members().empty()) {
        // One record for all, since every node that starts reads the whole list.
        TimelineRecord first;
        first.kind = TimelineRecord::Kind::MemberAdded;
        first.detail = std::to_string(row.members.size()) + " members in revision " + std::to_string(row.revision.value());
        effects.record(std::move(first));
        return;
    }
    MemberList after;
    after.assign(row);
    for (const Member &member : context.members.members()) {
        if (!after.find(member.slot)) {
            record(TimelineRecord::Kind::MemberRemoved, member);
        }
    }
    for (const Member &member : row.members) {
        if (!context.members.find(member.slot)) {
            record(TimelineRecord::Kind::MemberAdded, member);
        }
    }
}

void Cell::Private::applyKnownRow(const Event &event, EffectList &effects)
{
    const std::optional<VersionedCellRow> &known = context.row.known();
    if (!known) {
        return;
    }
    for (const CrashSuspect &suspect : known->row.suspects) {
        context.activity.crashSuspects().merge(suspect, event.wallTime);
    }
    if (coordinator.isElected() && coordinator.isSupersededBy(known->row)) {
        coordinator.end("row written by another coordinator", event, effects);
    }
    if (known->row.revision != context.members.revision()) {
        adoptRow(known->row, event, effects);
    } else if (!coordinator.isElected()) {
        context.updateMap(known->row.map);
    }
}

/** Returns whether this node may serve its shards: it is not paused and has a valid member lease or, as coordinator without target leases, an active term. */
bool Cell::Private::hasAuthority(MonotonicTime now) const
{
    if (context.self == noMember || now - lastEventAt > context.timings.pauseLimit) {
        return false;
    }
    // Target leases can outlast the coordinator's term, so a coordinator grants them under its own member lease.
    const bool byTerm = coordinator.isElected() && !context.usesTargetLeases();
    return byTerm ? coordinator.isActive(now) : context.lease.isValid(now);
}

TargetSuccession::Evidence Cell::Private::evidenceFor(const TargetName &announced, MonotonicTime now) const
{
    TargetSuccession::Evidence evidence;
    if (const std::optional<TargetAnnounced> &latest = context.target.latest()) {
        evidence.hasEnded = context.activity.hasTargetEnded({latest->target, latest->targetIncarnation}, announced);
        evidence.holdsKeys = !context.targetLeases.held(now).empty();
        evidence.leaves = context.target.isDraining();
    }
    return evidence;
}

bool Cell::Private::isOfOwnService(const TargetAnnounced &announcement) const
{
    const ServiceName &expected = context.targetService();
    return expected.value().empty() || expected == announcement.service;
}

/** Answers an announcement that names no target of this node's service. */
void Cell::Private::refuseAnnouncement(const TargetAnnounced &announcement, MonotonicTime now, EffectList &effects)
{
    if (announcement.announcement != 0) {
        effects.add(AnswerTarget{announcement.announcement, std::nullopt, AnswerTarget::Status::Refused});
    }
    if (now < nextRefusalRecord) {
        return;
    }
    nextRefusalRecord = now + refusalRecordInterval;
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::BadInput;
    record.detail = "announcement of a target of another service than that of this node";
    effects.record(std::move(record));
}

/** Applies the target's announcement. Returns false and ignores it if it is not from the incarnation in use. */
bool Cell::Private::acceptAnnouncement(const TargetAnnounced &announcement, MonotonicTime now, EffectList &effects)
{
    if (!context.target.announced(announcement, evidenceFor(announcement.target, now), now, effects)) {
        return false;
    }
    if (context.service.value().empty()) {
        context.service = announcement.service;
    }
    const Document *document = context.documents.document();
    const ShardSection *section = context.ownSection();
    if (document && document->grantsByHeartbeat && section && context.target.isConfirmed()) {
        context.targetLeases.setHoldTime(context.targetLeaseLimit());
        context.targetLeases.announced(announcement, *section, context.map.version, now);
        for (const HeldRange &range : announcement.targetLeases ? announcement.targetLeases->held : std::vector<HeldRange>()) {
            context.voteRecord.recordFenceTerm(range.fence.term);
        }
        context.reportedTargetIncarnation = announcement.targetIncarnation;
        follower.targetReported();
    }
    return true;
}

/** Returns the grant for the answer to the target's heartbeat; empty if this node may grant nothing now. */
std::optional<TargetLeaseGrant> Cell::Private::targetLeaseGrant(MonotonicTime now)
{
    const ShardSection *section = context.ownSection();
    if (!context.usesTargetLeases() || !section || !hasAuthority(now) || section->first + section->count > context.map.shards.size()) {
        return std::nullopt;
    }
    const Term followed = coordinator.isElected() ? coordinator.term() : context.voteRecord.term();
    const bool renewsOnly = context.map.version.term != followed;
    return context.targetLeases.grant(context.map, *section, context.self, context.lease.end(), now, renewsOnly);
}

bool Cell::Private::knowsSuspects(MonotonicTime now) const
{
    return context.row.known() || context.row.isAbsent() || now >= context.identity.startedAt + rowsWaitLimit;
}

bool Cell::Private::knowsDepartures(MonotonicTime now) const
{
    const MonotonicTime limit = context.identity.startedAt + rowsWaitLimit;
    return polling.knowsOwnRow() || (now >= limit && context.target.isConfirmed() && context.target.announcedAt() >= limit);
}

void Cell::Private::answerAnnouncement(const TargetAnnounced &announcement, bool accepted, MonotonicTime now, EffectList &effects)
{
    const TargetInstance announced{announcement.target, announcement.targetIncarnation};
    if (!announcement.draining || polling.hasRecorded(announced)) {
        effects.add(AnswerTarget{announcement.announcement, accepted ? targetLeaseGrant(now) : std::nullopt});
    } else if (context.target.departures().covers(announced)) {
        pendingAnswers.push_back({announcement.announcement, announced, accepted, AnswerTarget::Status::Acknowledged, now + drainAnswerLimit});
    } else {
        // It is not the target in use, so its departure is not remembered.
        effects.add(AnswerTarget{announcement.announcement, std::nullopt, AnswerTarget::Status::NotRecorded});
    }
}

void Cell::Private::answerDepartures(MonotonicTime now, EffectList &effects)
{
    std::erase_if(pendingAnswers, [&](const PendingAnswer &pending) {
        const bool recorded = polling.hasRecorded(pending.departed);
        if (!recorded && now < pending.until) {
            return false;
        }
        const AnswerTarget::Status status = recorded ? AnswerTarget::Status::Acknowledged : pending.otherwise;
        const bool renews = pending.renews && context.target.isInUse(pending.departed);
        effects.add(AnswerTarget{pending.announcement, renews ? targetLeaseGrant(now) : std::nullopt, status});
        return true;
    });
}

/** Returns whether the target began to drain so recently that it still accepts requests. */
bool Cell::Private::isInDrainGrace(MonotonicTime now) const
{
    return context.usesTargetLeases() && context.target.isDraining() && now < context.target.drainingSince() + drainGrace;
}

/** Returns whether the target holds a lease on the shard. A shard that moves away is served until the target is told to release it. */
bool Cell::Private::mayRunUnderTargetLease(ShardIndex shard, const ShardOwnership &entry, MonotonicTime now) const
{
    return entry.state != ShardOwnership::State::Unowned && entry.owner == context.self && context.targetLeases.mayRun(shard, entry.fence, now);
}

/** A stopping node of a cell with other members starts no election, so once it is not coordinator, it never will be. */
void Cell::Private::updateResigned()
{
    context.resigned = context.resigned || (context.stopping && coordinator.isIdle() && context.members.members().size() > 1);
}

void Cell::Private::updateStopped(MonotonicTime now)
{
    if (!context.stopping || stopped) {
        return;
    }
    const bool ownsShards = hasAuthority(now) && !handover.held().empty();
    if (ownsShards) {
        noShardsSince = MonotonicTime::max();
        return;
    }
    noShardsSince = std::min(noShardsSince, now);
    const bool isOnlyMember = context.members.members().size() <= 1;
    stopped = context.self == noMember || isOnlyMember || now - noShardsSince >= removalTimeout;
}

TablePolling::Role Cell::Private::pollingRole(MonotonicTime now) const
{
    if (coordinator.isElected()) {
        return TablePolling::Role::Coordinator;
    }
    return context.self != noMember && context.lease.isValid(now) ? TablePolling::Role::LeasedMember : TablePolling::Role::Joining;
}

WallTime Cell::Private::wallTime(MonotonicTime now) const
{
    return lastWallTime + std::chrono::duration_cast<WallTime::duration>(now - lastEventAt);
}

Cell::Cell(NodeIdentity identity, Timings timings, ShardActivity &activity, const DocumentFormat *format)
    : m_d(std::make_unique<Private>(std::move(identity), timings, activity, format))
{
}

Cell::~Cell() = default;

void Cell::tick(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    m_d->context.target.tick(event.at, m_d->context.activity, effects);
    m_d->handover.tick(event.at, effects);
    m_d->coordinator.tick(event, effects);
    m_d->updateResigned();
    m_d->follower.tick(event, effects);
    m_d->polling.tick(m_d->pollingRole(event.at), event, effects);
    m_d->answerDepartures(event.at, effects);
    const Document *inForce = document();
    if (inForce && inForce->targetsCheckFence && m_d->hasAuthority(event.at)) {
        m_d->context.target.sendGrants(m_d->context.map, m_d->context.self, event.at, effects);
    }
    m_d->updateStopped(event.at);
}

void Cell::stop(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    m_d->context.stopping = true;
    m_d->polling.announce(event.at, effects);
    m_d->follower.sendHeartbeatOnNextTick();
    m_d->updateStopped(event.at);
}

void Cell::tableEpochChanged(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    const TableEpoch epoch = std::get<TableEpochChanged>(event.body).epoch;
    const TableEpoch before = m_d->context.row.epoch();
    m_d->context.row.enterEpoch(epoch, event.at);
    if (before == TableEpoch() && !m_d->polling.hasUsedTable()) {
        return;
    }
    m_d->polling.tableRestored(event.at);
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::TableRestored;
    record.detail = "epoch " + std::to_string(before.value()) + " to " + std::to_string(epoch.value()) + ", own rows are written again";
    effects.record(std::move(record));
}

void Cell::cellRowRead(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    const auto outcome = m_d->context.row.readFinished(std::get<CellRowRead>(event.body), event.at, effects);
    if (outcome != CellRowStore::ReadOutcome::Unavailable && outcome != CellRowStore::ReadOutcome::Absent) {
        m_d->applyKnownRow(event, effects);
    }
}

void Cell::cellRowWriteFinished(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    const auto outcome = m_d->context.row.writeFinished(std::get<CellRowWriteFinished>(event.body), event.at, effects);
    if (outcome == CellRowStore::WriteOutcome::Written) {
        m_d->applyKnownRow(event, effects);
    }
}

void Cell::memberRowsRead(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    m_d->polling.memberRowsRead(event);
    m_d->coordinator.recordAnnouncements(m_d->polling.announced());
}

void Cell::memberRowWriteFinished(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    m_d->polling.memberRowWriteFinished(event);
    m_d->polling.announce(event.at, effects);
    m_d->answerDepartures(event.at, effects);
}

void Cell::documentRead(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    m_d->polling.documentRead(event, effects);
}

void Cell::documentFollowed(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    m_d->polling.documentFollowed(event, effects);
}

void Cell::cellsRead(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    m_d->polling.cellsRead(event);
}

void Cell::peerMessageArrived(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    const auto &arrived = std::get<PeerMessageArrived>(event.body);
    if (arrived.service != m_d->context.service) {
        return;
    }
    if (const auto *request = std::get_if<JoinRequest>(&arrived.message)) {
        m_d->coordinator.joinRequested(*request, event.at);
        return;
    }
    if (m_d->context.self == noMember || !m_d->context.members.find(arrived.from)) {
        m_d->requestNewerRow(arrived);
        return;
    }
    const MemberSlot from = arrived.from;
    if (const auto *request = std::get_if<VoteRequest>(&arrived.message)) {
        m_d->follower.voteRequested(from, *request, event, effects);
    } else if (const auto *voteAnswer = std::get_if<VoteAnswer>(&arrived.message)) {
        m_d->coordinator.voteAnswered(from, *voteAnswer, event, effects);
    } else if (const auto *heartbeat = std::get_if<Heartbeat>(&arrived.message)) {
        m_d->coordinator.heartbeatArrived(from, *heartbeat, event, effects);
        if (m_d->coordinator.isElected()) {
            m_d->suspectSpread.heartbeatArrived(from, heartbeat->suspects, event.at, effects);
        }
    } else if (const auto *answer = std::get_if<HeartbeatAnswer>(&arrived.message)) {
        m_d->follower.heartbeatAnswered(from, *answer, event, effects);
    } else if (const auto *offer = std::get_if<HandoverOffer>(&arrived.message)) {
        m_d->handover.offered(from, *offer, event.at, effects);
    } else if (const auto *accepted = std::get_if<HandoverAccepted>(&arrived.message)) {
        m_d->handover.accepted(from, *accepted, effects);
    } else if (const auto *report = std::get_if<CrashReport>(&arrived.message)) {
        m_d->suspectSpread.reportArrived(from, *report, event, effects);
    }
}

bool Cell::targetAnnounced(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    const auto &announcement = std::get<TargetAnnounced>(event.body);
    if (!m_d->isOfOwnService(announcement)) {
        m_d->refuseAnnouncement(announcement, event.at, effects);
        return false;
    }
    const bool accepted = m_d->acceptAnnouncement(announcement, event.at, effects);
    m_d->polling.announce(event.at, effects);
    if (announcement.announcement != 0) {
        m_d->answerAnnouncement(announcement, accepted, event.at, effects);
    }
    return accepted;
}

void Cell::targetLeaving(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    const auto &notice = std::get<TargetLeaving>(event.body);
    const std::optional<TargetInstance> departed = m_d->context.target.leaving(notice, event.at, effects);
    if (!departed) {
        effects.add(AnswerTarget{notice.announcement, std::nullopt, AnswerTarget::Status::NotRecorded});
        return;
    }
    m_d->polling.announce(event.at, effects);
    m_d->pendingAnswers.push_back({notice.announcement, *departed, false, AnswerTarget::Status::NotRecorded, event.at + noticeAnswerLimit});
    m_d->answerDepartures(event.at, effects);
}

void Cell::targetProbed(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    m_d->context.target.probed(std::get<TargetProbed>(event.body));
}

bool Cell::targetStated(const Event &event, EffectList &effects)
{
    const auto &stated = std::get<TargetStated>(event.body);
    if (!stated.statement.leaving || !m_d->context.target.statedLeaving(stated, event.at, effects)) {
        return false;
    }
    m_d->beginEvent(event, effects);
    m_d->polling.announce(event.at, effects);
    m_d->follower.sendHeartbeatOnNextTick();
    return true;
}

void Cell::targetGrantFinished(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    const auto &result = std::get<TargetGrantFinished>(event.body);
    m_d->context.target.grantFinished(result);
    if (result.newerFence) {
        handleNewerFence(*result.newerFence, event, effects);
    }
}

void Cell::spreadCrashSuspects(EffectList &effects)
{
    m_d->suspectSpread.sendChanges(effects);
}

void Cell::announceStop(Duration requestsEndIn, EffectList &effects)
{
    for (const Member &member : m_d->context.members.members()) {
        if (member.slot != m_d->context.self) {
            m_d->context.send(member.slot, StopNotice{requestsEndIn}, effects);
        }
    }
}

bool Cell::isFromMember(const PeerMessageArrived &arrived) const
{
    return arrived.service == m_d->context.service && self() != noMember && m_d->context.members.find(arrived.from);
}

void Cell::handleNewerFence(Fence newer, const Event &event, EffectList &effects)
{
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::StaleFence;
    record.fence = newer;
    effects.record(std::move(record));
    m_d->context.voteRecord.recordFenceTerm(newer.term);
    if (m_d->coordinator.isElected() && newer.term > m_d->coordinator.term()) {
        m_d->coordinator.renewFences(event, effects);
    }
}

const Document *Cell::document() const
{
    return m_d->context.documents.document();
}

MemberSlot Cell::self() const
{
    return m_d->context.self;
}

const Member *Cell::member(MemberSlot slot) const
{
    return m_d->context.members.find(slot);
}

const std::vector<Member> &Cell::members() const
{
    return m_d->context.members.members();
}

const OwnershipMap &Cell::map() const
{
    return m_d->context.map;
}

bool Cell::mayAdmit(ShardIndex shard, MonotonicTime now) const
{
    const CellContext &context = m_d->context;
    const Document *inForce = document();
    if (!inForce || !context.target.latest()) {
        return false;
    }
    if (context.isTargetLeaving(m_d->wallTime(now)) && !m_d->isInDrainGrace(now)) {
        return false;
    }
    if (!inForce->isSharded()) {
        return context.target.isFresh(now) && !context.stopping && m_d->knowsSuspects(now) && m_d->knowsDepartures(now);
    }
    if (shard.value() >= context.map.shards.size() || !m_d->hasAuthority(now)) {
        return false;
    }
    const ShardOwnership &entry = context.map.shards[shard.value()];
    if (inForce->grantsByHeartbeat) {
        return m_d->mayRunUnderTargetLease(shard, entry, now);
    }
    const bool owned = entry.state == ShardOwnership::State::Owned && entry.owner == context.self;
    return owned && (!inForce->targetsCheckFence || context.target.hasGrant(entry.fence));
}

bool Cell::isTargetDraining() const
{
    return m_d->context.isTargetLeaving(m_d->lastWallTime);
}

MonotonicTime Cell::workDeadline() const
{
    const Document *inForce = document();
    if (!inForce || inForce->targetsCheckFence || inForce->grantsByHeartbeat || !inForce->isSharded()) {
        return MonotonicTime::max();
    }
    return leaseEnd() + inForce->executionLimit;
}

const Document *Cell::documentOf(const ServiceName &service) const
{
    const DocumentSet *documents = m_d->context.documents.documents();
    return documents ? documents->find(service) : nullptr;
}

const RouteTable *Cell::routes() const
{
    const DocumentSet *documents = m_d->context.documents.documents();
    return documents && m_d->context.spansServices() ? &documents->routes : nullptr;
}

const std::vector<MemberLoad> &Cell::loads() const
{
    return m_d->context.loads;
}

const CellRow *Cell::otherCell(const std::string &host) const
{
    for (const CellRow &row : m_d->polling.cells()) {
        if (row.service.value() == host) {
            return &row;
        }
    }
    return nullptr;
}

DocumentRevision Cell::documentRevision() const
{
    return m_d->context.documents.revision();
}

std::optional<Duration> Cell::documentAge(MonotonicTime now) const
{
    return m_d->context.documentFreshness.age(now);
}

bool Cell::isCoordinator(MonotonicTime now) const
{
    return m_d->coordinator.isActive(now);
}

Term Cell::term() const
{
    return m_d->coordinator.isElected() ? m_d->coordinator.term() : m_d->context.voteRecord.term();
}

CellRevision Cell::revision() const
{
    return m_d->context.members.revision();
}

MemberSlot Cell::coordinator() const
{
    return m_d->coordinator.isElected() ? m_d->context.self : m_d->context.voteRecord.candidate();
}

std::size_t Cell::nodesWithoutRoom(MonotonicTime now) const
{
    return m_d->coordinator.nodesWithoutRoom(now);
}

MembershipState Cell::membershipState(MonotonicTime now) const
{
    return m_d->coordinator.membershipState(now);
}

std::optional<TargetInstance> Cell::target() const
{
    const std::optional<TargetAnnounced> &latest = m_d->context.target.latest();
    return latest ? std::optional(TargetInstance{latest->target, latest->targetIncarnation}) : std::nullopt;
}

MonotonicTime Cell::leaseEnd() const
{
    const bool byTerm = m_d->coordinator.isElected() && !m_d->context.usesTargetLeases();
    return byTerm ? m_d->coordinator.activeUntil() : m_d->context.lease.end();
}

bool Cell::hasAnnouncedResignation() const
{
    return !m_d->context.resigned || m_d->polling.hasAnnounced();
}

void Cell::resign(const Event &event, EffectList &effects)
{
    m_d->beginEvent(event, effects);
    m_d->coordinator.end("the process ends", event, effects);
    m_d->updateResigned();
}

bool Cell::isStopped() const
{
    return m_d->stopped;
}

} // namespace nutmeghinge
