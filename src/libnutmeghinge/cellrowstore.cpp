#include "cellrowstore.h"

#include "effectlist.h"

#include <algorithm>

namespace nutmeghinge {

CellRowStore::CellRowStore(const Timings &timings)
    : m_retryFirst(timings.tablePoll / 10)
    , m_retryLongest(2 * timings.tablePoll)
    , m_retry(m_retryFirst)
{
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
    if (isBusy()) {
        return;
    }
    m_writing = true;
    m_pendingWrite = row;
    m_pendingWriteSentAt = now;
    effects.add(WriteCellRow{m_known ? m_known->version : RowVersion(0), std::move(row)});
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
    const auto *row = std::get_if<VersionedCellRow>(&result.result);
    if (!row) {
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

CellRowStore::WriteOutcome CellRowStore::writeFinished(const CellRowWriteFinished &result, MonotonicTime now, EffectList &effects)
{
    m_writing = false;
    const bool reachable = !std::holds_alternative<PlatformUnavailable>(result.result);
    recordReachability(reachable, now, effects);
    const auto *written = std::get_if<RowWritten>(&result.result);
    if (written && m_pendingWrite) {
        setKnown(VersionedCellRow{*m_pendingWrite, written->version}, now);
        m_pendingWrite.reset();
        m_writtenAt = m_pendingWriteSentAt;
        m_hasWritten = true;
        TimelineRecord record;
        record.kind = TimelineRecord::Kind::RowWritten;
        record.fence = m_known->row.map.version;
        effects.record(std::move(record));
        return WriteOutcome::Written;
    }
    m_readWanted = true;
    if (!reachable) {
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
