#include "tablepolling.h"

#include "cellcontext.h"
#include "coordinatorterm.h"
#include "effectlist.h"
#include "events.h"
#include "memberadmission.h"

#include <algorithm>
#include <utility>

namespace nutmeghinge {

namespace {

constexpr Duration firstWriteRetry = std::chrono::milliseconds(100);
constexpr Duration longestWriteRetry = std::chrono::seconds(5);
/** Time over which the nodes spread the writes of their rows after a restoration of the table. */
constexpr Duration rewriteSpread = std::chrono::seconds(1);

std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = (state ^ (state >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace

TablePolling::TablePolling(CellContext &context)
    : m_context(context)
    , m_documentFollower(context)
    , m_writeRetry(firstWriteRetry)
    , m_random(context.identity.seed)
{
    if (context.identity.firstStart) {
        // No earlier process of the node has written its row.
        m_ownVersion = RowVersion(0);
    }
}

void TablePolling::tick(Role role, const Event &event, EffectList &effects)
{
    if (m_context.service.value().empty()) {
        return;
    }
    announce(event.at, effects);
    if (m_context.timings.followsDocument) {
        m_documentFollower.tick(event.at, effects);
    }
    readDueRows(role, event.at, effects);
    if (!m_context.members.haveAllEnded()) {
        m_allEndedSince.reset();
    } else if (!m_allEndedSince) {
        m_allEndedSince = event.at;
    }
    if (role == Role::Joining) {
        requestToJoin(event.at, effects);
        createOrTakeOverCell(event.at, effects);
    }
}

/** Sends a join request to the members of the known cell if this node is not one of them. */
void TablePolling::requestToJoin(MonotonicTime now, EffectList &effects)
{
    const std::optional<VersionedCellRow> &known = m_context.row.known();
    if (!known || !m_written || m_context.stopping || m_context.self != noMember || now < m_nextJoinRequest) {
        return;
    }
    m_nextJoinRequest = now + jittered(m_context.timings.searchPoll);
    const NodeIdentity &own = m_context.identity;
    for (const Member &member : known->row.members) {
        if (!m_context.members.hasEnded(member.slot)) {
            effects.add(SendPeerMessage{member.controlEndpoint, noMember, m_context.service, JoinRequest{own.node, own.incarnation}});
        }
    }
}

MemberRow TablePolling::ownRow() const
{
    MemberRow own{m_context.announcement(), m_context.target.departures().all()};
    own.member.slot = m_lostSlot;
    return own;
}

/** Records this node's own row as the table has it; empty if there is none. */
void TablePolling::adoptOwnRow(const std::optional<VersionedMemberRow> &present)
{
    m_ownVersion = present ? present->version : RowVersion(0);
    m_ownRowKnown = true;
    if (present) {
        m_context.target.addDepartures(present->row.departed);
    }
    if (present && present->row == m_writing) {
        // An earlier write whose result did not arrive.
        m_written = m_writing;
    }
}

bool TablePolling::hasRecorded(const TargetInstance &departed) const
{
    return m_written && std::any_of(m_written->departed.begin(), m_written->departed.end(), [&](const TargetInstance &recorded) {
               return recorded.name == departed.name && departed.incarnation <= recorded.incarnation;
           });
}

bool TablePolling::hasAnnounced() const
{
    return m_written == ownRow();
}

void TablePolling::announce(MonotonicTime now, EffectList &effects)
{
    MemberRow own = ownRow();
    if (m_context.service.value().empty() || !m_ownVersion || m_writing || m_written == own || now < m_writeAt) {
        return;
    }
    m_writing = own;
    effects.add(WriteMemberRow{m_context.service, std::move(own), *m_ownVersion});
}

void TablePolling::tableRestored(MonotonicTime now)
{
    m_sawRestoration = true;
    m_written.reset();
    m_writeOutdated = m_writing.has_value();
    m_writeRetry = firstWriteRetry;
    m_writeAt = now + Duration(static_cast<std::int64_t>(nextRandom(m_random) % static_cast<std::uint64_t>(rewriteSpread.count())));
    m_documentFollower.tableRestored(now);
}

void TablePolling::memberRowWriteFinished(const Event &event)
{
    const auto &result = std::get<MemberRowWriteFinished>(event.body).result;
    if (std::exchange(m_writeOutdated, false)) {
        m_writeRetry = firstWriteRetry;
    } else if (const auto *written = std::get_if<RowWritten>(&result)) {
        m_ownVersion = written->version;
        m_ownRowKnown = true;
        m_written = m_writing;
        m_writeRetry = firstWriteRetry;
    } else if (const auto *conflict = std::get_if<MemberRowConflict>(&result)) {
        adoptOwnRow(conflict->present);
        m_writeRetry = firstWriteRetry;
    } else {
        m_writeAt = event.at + m_writeRetry;
        m_writeRetry = std::min(2 * m_writeRetry, longestWriteRetry);
    }
    m_writing.reset();
}

void TablePolling::readDueRows(Role role, MonotonicTime now, EffectList &effects)
{
    CellRowStore &row = m_context.row;
    const Duration interval = role == Role::Joining ? m_context.timings.searchPoll : m_context.timings.tablePoll;
    const bool polls = role != Role::LeasedMember && now >= m_nextPoll;
    if (row.isReadDue(now) || (polls && role == Role::Joining)) {
        row.read(m_context.service, now, effects);
    }
    if (polls) {
        m_nextPoll = now + jittered(interval);
        if (!m_readingMembers) {
            m_readingMembers = true;
            m_membersRequestedAt = now;
            effects.add(ReadMemberRows{m_context.service});
        }
        if (!m_readingDocument && !m_context.timings.followsDocument) {
            m_readingDocument = true;
            m_documentRequestedAt = now;
            effects.add(ReadDocument{m_context.service, m_context.documents.highestRevisionSeen()});
        }
    }
    // A cell of several services contains their nodes, so it needs no directory of other cells.
    if (!m_context.spansServices() && now >= m_nextDirectoryPoll && !m_readingCells) {
        m_nextDirectoryPoll = now + jittered(m_context.timings.directoryPoll);
        m_readingCells = true;
        effects.add(ReadCells{});
    }
}

void TablePolling::createOrTakeOverCell(MonotonicTime now, EffectList &effects)
{
    CellRowStore &row = m_context.row;
    const bool ready = m_context.documents.document() && m_written && !m_context.stopping && !m_context.target.isDraining();
    if (!ready || row.isBusy() || row.isReadDue(now) || now < row.retryAt()) {
        return;
    }
    if (row.isAbsent()) {
        const bool isNew = !mayTableHaveLostCell() || isAbandoned(*m_context.documents.document(), now);
        if (isNew && mayCreateCell()) {
            row.write(newCellRow(), now, effects);
        }
        return;
    }
    if (std::optional<CellRow> takeover = takeoverRow(now)) {
        row.write(std::move(*takeover), now, effects);
    }
}

/**
 * Returns whether the coordinator and most members have ended. The remaining members must write the row to act beyond their
 * leases; a row written now makes that write fail, and the new cell waits until their leases have expired.
 */
bool TablePolling::haveCoordinatorAndMajorityEnded(const VersionedCellRow &known) const
{
    const MemberSlot coordinator = CoordinatorTerm::slotOf(known.row.map.version.term);
    const MemberList &members = m_context.members;
    const bool coordinatorEnded = members.hasEnded(coordinator) || !members.find(coordinator) || hasResigned(coordinator);
    return m_context.spansServices() && mayCreateCell() && coordinatorEnded && members.haveMostEnded();
}

/** Returns whether the member has announced that it is stopping and will not be coordinator any more; it may never start again. */
bool TablePolling::hasResigned(MemberSlot slot) const
{
    const Member *member = m_context.members.find(slot);
    return member && std::any_of(m_announced.begin(), m_announced.end(), [&](const Member &announced) {
               return announced.node == member->node && announced.incarnation == member->incarnation && announced.resigned;
           });
}

/** Returns whether the member rows were read late enough that all nodes started together have announced themselves. */
bool TablePolling::mayCreateCell() const
{
    const Duration delay = m_context.timings.cellCreationDelay;
    return delay == Duration::zero() || m_announcedRequestedAt >= m_context.identity.startedAt + delay;
}

/** Returns whether the cell may exist although the table has no row of it, because the table was restored from a copy that is older. */
bool TablePolling::mayTableHaveLostCell() const
{
    return m_context.row.epoch() != TableEpoch() && (m_sawRestoration || !m_context.identity.firstStart);
}

/** Returns the longest time for which requests may still run under leases of a cell after its coordinator stopped acting. */
Duration TablePolling::leasedWorkLimit() const
{
    const Timings &timings = m_context.timings;
    return timings.withDrift(timings.voteDuration) + timings.withDrift(timings.memberLease) + m_context.executionWait();
}

/** Returns whether the row has not changed for so long that no coordinator and no member of its cell acts any more. */
bool TablePolling::isAbandoned(const Document &document, MonotonicTime now) const
{
    return now >= m_context.row.unchangedSince() + m_context.timings.withDrift(document.holdLimit) + leasedWorkLimit();
}

CellRow TablePolling::newCellRow() const
{
    CellRow row;
    row.service = m_context.service;
    row.revision = CellRevision(1);
    row.nextSlot = MemberSlot(1);
    admitAnnounced(row);
    row.mark = 1;
    if (mayTableHaveLostCell()) {
        row.termFloor = CoordinatorTerm::termBeyondRestorations(Term(), m_context.row.epoch().value());
    }
    row.document = m_context.documents.revision();
    return row;
}

/**
 * Adds this node to the members and, if cells are created with a delay, all nodes that have announced themselves. If the row
 * had members before, only later incarnations of their nodes are added, as only those are known to be running.
 */
void TablePolling::admitAnnounced(CellRow &row, const std::vector<Member> &before) const
{
    const auto admit = [&](Member member) {
        member.slot = row.nextSlot;
        row.nextSlot = MemberSlot(row.nextSlot.value() + 1);
        row.members.push_back(std::move(member));
    };
    admit(m_context.announcement());
    if (m_context.timings.cellCreationDelay == Duration::zero()) {
        return;
    }
    for (const Member &announced : m_announced) {
        const auto isEarlier = [&](const Member &member) { return member.node == announced.node && member.incarnation < announced.incarnation; };
        const bool isRunning = before.empty() || std::any_of(before.begin(), before.end(), isEarlier);
        if (announced.node != m_context.identity.node && !announced.leaving && isRunning && row.members.size() < maxCellMembers) {
            admit(announced);
        }
    }
    row.members = orderCandidates(row.members);
}

/** Returns the row with which this node takes over the known cell; empty if that cell may still have a coordinator. */
std::optional<CellRow> TablePolling::takeoverRow(MonotonicTime now) const
{
    const std::optional<VersionedCellRow> &known = m_context.row.known();
    const Document *document = m_context.documents.document();
    if (!known || !document) {
        return std::nullopt;
    }
    // Targets with target leases report to the new cell what their ended nodes granted.
    const Duration waitAfterAllEnded = m_context.spansServices() ? Duration(0) : leasedWorkLimit();
    // A row of an earlier epoch may lack the members and the coordinator that were running when the table was restored.
    const bool hasEnded = m_context.row.isOfThisEpoch()
                          && ((m_allEndedSince && now >= *m_allEndedSince + waitAfterAllEnded && mayCreateCell()) || haveCoordinatorAndMajorityEnded(*known));
    if (!hasEnded && !isAbandoned(*document, now)) {
        return std::nullopt;
    }
    CellRow row = known->row;
    row.revision = CellRevision(row.revision.value() + 1);
    row.termFloor = CoordinatorTerm::termBeyondHoldLimit(std::max(row.termFloor, row.map.version.term));
    row.termFloor = CoordinatorTerm::termBeyondRestorations(row.termFloor, m_context.row.epoch().value() - known->epoch.value());
    const std::vector<Member> before = std::exchange(row.members, {});
    row.nonVoting.clear();
    row.change.reset();
    for (const Member &member : before) {
        row.former.emplace_back(member.slot, member.node);
    }
    if (hasEnded) {
        admitAnnounced(row, before);
    } else {
        Member own = m_context.announcement();
        own.slot = m_context.self == noMember ? row.nextSlot : m_context.self;
        row.nextSlot = std::max(row.nextSlot, MemberSlot(own.slot.value() + 1));
        row.members = {own};
    }
    ++row.mark;
    return row;
}

void TablePolling::memberRowsRead(const Event &event)
{
    m_readingMembers = false;
    const auto &result = std::get<MemberRowsRead>(event.body).result;
    if (const auto *rows = std::get_if<std::vector<VersionedMemberRow>>(&result)) {
        m_announced.clear();
        std::optional<VersionedMemberRow> own;
        for (const VersionedMemberRow &row : *rows) {
            m_announced.push_back(row.row.member);
            if (row.row.member.node == m_context.identity.node) {
                own = row;
            }
        }
        if (!m_ownVersion) {
            adoptOwnRow(own);
        }
        m_announcedRequestedAt = m_membersRequestedAt;
        m_context.members.recordAnnouncements(m_announced, event.at + m_context.timings.withDrift(m_context.timings.voteDuration));
    }
}

void TablePolling::documentRead(const Event &event, EffectList &effects)
{
    if (m_context.timings.followsDocument) {
        m_documentFollower.documentRead(std::get<DocumentRead>(event.body), event.at, effects);
        return;
    }
    m_readingDocument = false;
    const auto &result = std::get<DocumentRead>(event.body).result;
    if (const auto *copy = std::get_if<DocumentCopy>(&result)) {
        m_context.offerDocument(*copy, DocumentSource::Platform, event.at, effects);
    }
    if (!std::holds_alternative<PlatformUnavailable>(result)) {
        m_context.documentFreshness.confirmedByPlatform(m_documentRequestedAt);
    }
}

void TablePolling::documentFollowed(const Event &event, EffectList &effects)
{
    m_documentFollower.documentFollowed(std::get<DocumentFollowed>(event.body), event.at, effects);
}

void TablePolling::cellsRead(const Event &event)
{
    m_readingCells = false;
    if (const auto *cells = std::get_if<std::vector<CellRow>>(&std::get<CellsRead>(event.body).result)) {
        m_cells = *cells;
    }
}

Duration TablePolling::jittered(Duration interval)
{
    const std::uint64_t tenth = static_cast<std::uint64_t>(interval.count()) / 10 + 1;
    return interval + Duration(static_cast<std::int64_t>(nextRandom(m_random) % tenth));
}

} // namespace nutmeghinge
