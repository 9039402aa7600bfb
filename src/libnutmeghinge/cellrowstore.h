#pragma once

#include "cellrow.h"
#include "events.h"
#include "timings.h"
#include "units.h"

#include <optional>

namespace nutmeghinge {

class EffectList;

/**
 * Reads and writes the cell row in the platform's table, one operation at a
 * time. If the answer to a write is lost, the row is read again to find out
 * whether the write took effect. Owned by the CellContext.
 */
class CellRowStore
{
public:
    enum class ReadOutcome : std::uint8_t {
        Unavailable,
        Absent,
        /** The row has the version that was already known. */
        Unchanged,
        Changed,
        /** The row shows that a write whose answer was lost has taken effect. */
        WriteConfirmed,
    };
    enum class WriteOutcome : std::uint8_t {
        Written,
        /** The row was changed by another write and has to be read again. */
        Conflict,
        /** The platform can never accept the row; another write is started only after some time. */
        Refused,
        /** The answer was lost; the row has to be read again. */
        Unknown,
    };

    explicit CellRowStore(const Timings &timings);

    /** Keeps the known row as the one to write in the new epoch of the table. The outcome of a write in progress counts as unknown. */
    void enterEpoch(TableEpoch epoch, MonotonicTime now);

    /** Returns whether a read or write is in progress. */
    bool isBusy() const { return m_reading || m_writing; }
    /** Starts a read unless an operation is in progress or the retry delay has not passed. */
    void read(const ServiceName &service, MonotonicTime now, EffectList &effects);
    /** Starts a conditional write unless an operation is in progress or a write was refused a short time ago. */
    void write(CellRow row, MonotonicTime now, EffectList &effects);
    ReadOutcome readFinished(const CellRowRead &result, MonotonicTime now, EffectList &effects);
    WriteOutcome writeFinished(const CellRowWriteFinished &result, MonotonicTime now, EffectList &effects);

    /** Returns the row as last read or written; empty if none is known. */
    const std::optional<VersionedCellRow> &known() const { return m_known; }
    /** Returns whether the known row was read or written in the table's current epoch. */
    bool isOfThisEpoch() const { return m_known && m_known->epoch == m_epoch; }
    /** Returns whether the row was read in the table's current epoch, whichever epoch it was written in. */
    bool wasReadInThisEpoch() const { return m_wasRead; }
    TableEpoch epoch() const { return m_epoch; }
    /** Returns whether the last read found no row. */
    bool isAbsent() const { return m_absent; }
    /** Returns whether a read is due: because it was requested, or because a write ended with a conflict or its answer was lost. */
    bool isReadDue(MonotonicTime now) const { return m_readWanted && now >= m_retryAt; }
    /** Requests a read of the row. */
    void requestRead() { m_readWanted = true; }
    /** Returns the earliest time of the next operation after a failure. */
    MonotonicTime retryAt() const { return m_retryAt; }
    /** Returns whether a write of this node has succeeded. */
    bool hasWritten() const { return m_hasWritten; }
    /** Returns the time at which the latest successful write was sent. */
    MonotonicTime writtenAt() const { return m_writtenAt; }
    /** Returns the time at which this node first saw the known version of the row, or that there is none. */
    MonotonicTime unchangedSince() const { return m_unchangedSince; }

private:
    void setKnown(VersionedCellRow row, MonotonicTime now);
    void skipLostSlots();
    ReadOutcome keepNewest(const VersionedCellRow *read, MonotonicTime now);
    void recordReachability(bool reachable, MonotonicTime now, EffectList &effects);

    Duration m_retryFirst;
    Duration m_retryLongest;
    Duration m_retry;
    MonotonicTime m_retryAt;
    /** End of the delay after a write that the platform can never accept. */
    MonotonicTime m_refusedUntil;
    TableEpoch m_epoch;
    /** Whether a read has succeeded in this epoch. */
    bool m_wasRead = false;
    bool m_reading = false;
    bool m_writing = false;
    /** The write in progress was sent in an earlier epoch of the table. */
    bool m_writeOutdated = false;
    bool m_readWanted = false;
    bool m_absent = false;
    bool m_reachable = true;
    bool m_hasWritten = false;
    std::optional<VersionedCellRow> m_known;
    /** Row that is being written, or whose write has an unknown outcome. */
    std::optional<CellRow> m_pendingWrite;
    MonotonicTime m_pendingWriteSentAt;
    MonotonicTime m_writtenAt;
    MonotonicTime m_unchangedSince;
};

} // namespace nutmeghinge
