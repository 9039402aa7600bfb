#include "cellrowstore.h"

#include "effectlist.h"
#include "timetext.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace nutmeghinge {

namespace {

/** More than the changes of the members that a restoration of the table can lose. */
constexpr std::uint64_t lostRevisionsLimit = 1000;
/** More than the members that such changes admit. */
constexpr std::uint32_t lostSlotsLimit = 256;

/** Delay of the next write after one that the platform can never accept. The row may have changed by then. */
constexpr Duration refusedWriteDelay = std::chrono::seconds(10);

/** Returns whether one row of a cell was written after the other, as far as their content tells. */
bool isNewer(const CellRow &row, const CellRow &other)
{
    return std::tie(row.revision, row.map.version, row.mark) > std::tie(other.revision, other.map.version, other.mark);
}

} // namespace

CellRowStore::CellRowStore(const Timings &timings)
    : m_retryFirst(timings.tablePoll / 10)
    , m_retryLongest(2 * timings.tablePoll)
    , m_retry(m_retryFirst)
{
}

void CellRowStore::enterEpoch(TableEpoch epoch, MonotonicTime now)
{
    m_epoch = epoch;
    m_pendingWrite.reset();
    m_writeOutdated = m_writing;
    m_wasRead = false;
    m_absent = false;
    if (m_known) {
        m_known->version = RowVersion(0);
        skipLostSlots();
        m_unchangedSince = now;
    }
}

/** Makes the next members get slots above all that rows may have given which the restoration has lost. */
void CellRowStore::skipLostSlots()
{
    m_known->row.nextSlot = MemberSlot(m_known->row.nextSlot.value() + lostSlotsLimit);
}

void CellRowStore::read(const ServiceName &service, MonotonicTime now, EffectList &effects)
{
    if (isBusy() || now < m_retryAt) {
        return;
    }
    m_reading = true;
    m_readWanted = false;
    effects.add(ReadCellRow{service});
}

void CellRowStore::write(CellRow row, MonotonicTime now, EffectList &effects)
{
    if (isBusy() || now < m_refusedUntil) {
        return;
    }
    if (m_known && !isOfThisEpoch()) {
        row.revision = CellRevision(row.revision.value() + lostRevisionsLimit);
    }
    m_writing = true;
    m_pendingWrite = row;
    m_pendingWriteSentAt = now;
    effects.add(WriteCellRow{m_known ? m_known->version : RowVersion(0), std::move(row), m_epoch});
}

CellRowStore::ReadOutcome CellRowStore::readFinished(const CellRowRead &result, MonotonicTime now, EffectList &effects)
{
    m_reading = false;
    if (std::holds_alternative<PlatformUnavailable>(result.result)) {
        recordReachability(false, now, effects);
        m_readWanted = m_readWanted || m_pendingWrite.has_value();
        return ReadOutcome::Unavailable;
    }
    recordReachability(true, now, effects);
    m_wasRead = true;
    const auto *row = std::get_if<VersionedCellRow>(&result.result);
    if (row ? row->epoch != m_epoch : m_known && m_epoch != TableEpoch()) {
        return keepNewest(row, now);
    }
    if (!row) {
        m_unchangedSince = m_absent ? m_unchangedSince : now;
        m_absent = true;
        m_pendingWrite.reset();
        return ReadOutcome::Absent;
    }
    const bool confirmed = m_pendingWrite && *m_pendingWrite == row->row;
    const bool unchanged = m_known && m_known->version == row->version;
    m_pendingWrite.reset();
    setKnown(*row, now);
    if (confirmed) {
        m_writtenAt = m_pendingWriteSentAt;
        m_hasWritten = true;
        return ReadOutcome::WriteConfirmed;
    }
    return unchanged ? ReadOutcome::Unchanged : ReadOutcome::Changed;
}

/** Keeps the newest known row for the first write in this epoch. read: row of an earlier epoch, or null if the table has none. */
CellRowStore::ReadOutcome CellRowStore::keepNewest(const VersionedCellRow *read, MonotonicTime now)
{
    m_pendingWrite.reset();
    const bool changed = read && (!m_known || isNewer(read->row, m_known->row));
    if (changed) {
        const MemberSlot nextSlot = m_known ? m_known->row.nextSlot : MemberSlot();
        m_known = *read;
        skipLostSlots();
        m_known->row.nextSlot = std::max(m_known->row.nextSlot, nextSlot);
        m_unchangedSince = now;
    }
    m_known->version = RowVersion(0);
    return changed ? ReadOutcome::Changed : ReadOutcome::Unchanged;
}

CellRowStore::WriteOutcome CellRowStore::writeFinished(const CellRowWriteFinished &result, MonotonicTime now, EffectList &effects)
{
    m_writing = false;
    const bool reachable = !std::holds_alternative<PlatformUnavailable>(result.result);
    recordReachability(reachable, now, effects);
    const bool outdated = std::exchange(m_writeOutdated, false);
    const auto *written = std::get_if<RowWritten>(&result.result);
    if (written && m_pendingWrite && !outdated) {
        const bool isFirstOfEpoch = m_known && !isOfThisEpoch();
        const Duration gap = now - m_unchangedSince;
        setKnown(VersionedCellRow{*m_pendingWrite, written->version, m_epoch}, now);
        m_pendingWrite.reset();
        m_writtenAt = m_pendingWriteSentAt;
        m_hasWritten = true;
        TimelineRecord record;
        record.kind = TimelineRecord::Kind::RowWritten;
        record.fence = m_known->row.map.version;
        if (isFirstOfEpoch) {
            record.detail = "first write in epoch " + std::to_string(m_epoch.value()) + " of the table, " + durationText(gap) + " after it began here";
        }
        effects.record(std::move(record));
        return WriteOutcome::Written;
    }
    if (const auto *refused = std::get_if<RowRefused>(&result.result)) {
        m_pendingWrite.reset();
        m_refusedUntil = now + refusedWriteDelay;
        TimelineRecord record;
        record.kind = TimelineRecord::Kind::RowRefused;
        record.detail = refused->reason;
        effects.record(std::move(record));
        return WriteOutcome::Refused;
    }
    m_readWanted = true;
    if (!reachable || outdated) {
        return WriteOutcome::Unknown;
    }
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::RowConflict;
    effects.record(std::move(record));
    return WriteOutcome::Conflict;
}

void CellRowStore::setKnown(VersionedCellRow row, MonotonicTime now)
{
    m_absent = false;
    if (!m_known || m_known->version != row.version) {
        m_unchangedSince = now;
    }
    m_known = std::move(row);
}

void CellRowStore::recordReachability(bool reachable, MonotonicTime now, EffectList &effects)
{
    if (reachable) {
        m_retry = m_retryFirst;
        m_retryAt = now;
    } else {
        m_retryAt = now + m_retry;
        m_retry = std::min(2 * m_retry, m_retryLongest);
    }
    if (reachable == m_reachable) {
        return;
    }
    m_reachable = reachable;
    TimelineRecord record;
    record.kind = reachable ? TimelineRecord::Kind::PlatformUp : TimelineRecord::Kind::PlatformDown;
    effects.record(std::move(record));
}

} // namespace nutmeghinge
