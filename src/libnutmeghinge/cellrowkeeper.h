#pragma once

#include "cellrow.h"
#include "events.h"
#include "timings.h"
#include "units.h"

#include <optional>

namespace nutmeghinge {

class EffectList;

/**
 * Reads and writes the cell's row, one access at a time. A write whose answer
 * was lost is resolved by reading the row again.
 */
class CellRowKeeper
{
public:
    enum class ReadOutcome : std::uint8_t {
        Unavailable,
        Absent,
        /** The row is as it was known. */
        Unchanged,
        Changed,
        /** The write whose answer was lost has taken effect. */
        WriteConfirmed,
    };
    enum class WriteOutcome : std::uint8_t {
        Written,
        /** Another write came first; the row is to be read. */
        Conflict,
        /** Nothing is known; the row is to be read. */
        Unknown,
    };

    explicit CellRowKeeper(const Timings &timings);

    bool isBusy() const { return m_reading || m_writing; }
    /** Starts a read unless an access runs. */
    void read(const ServiceName &service, MonotonicTime now, EffectList &effects);
    /** Starts a conditional write; only while no access runs. */
    void write(CellRow row, MonotonicTime now, EffectList &effects);
    ReadOutcome readFinished(const CellRowRead &result, MonotonicTime now, EffectList &effects);
    WriteOutcome writeFinished(const CellRowWriteFinished &result, MonotonicTime now, EffectList &effects);

    /** Row as last read or written; empty where none is known. */
    const std::optional<VersionedCellRow> &known() const { return m_known; }
    /** The table said that there is no row. */
    bool isAbsent() const { return m_absent; }
    /** A read is to follow a conflict or a lost answer, or was asked for. */
    bool isReadWanted(MonotonicTime now) const { return m_readWanted && now >= m_retryAt; }
    void wantRead() { m_readWanted = true; }
    /** Earliest time of the next access after failures. */
    MonotonicTime retryAt() const { return m_retryAt; }
    /** This node has got a write through. */
    bool hasWritten() const { return m_hasWritten; }
    /** Time at which the latest successful write was sent. */
    MonotonicTime writtenAt() const { return m_writtenAt; }
    /** Time since which the row has had its known version, as far as this node has seen. */
    MonotonicTime unchangedSince() const { return m_unchangedSince; }

private:
    void learn(VersionedCellRow row, MonotonicTime now);
    void noteReachable(bool reachable, MonotonicTime now, EffectList &effects);

    Duration m_retryFirst;
    Duration m_retryLongest;
    Duration m_retry;
    MonotonicTime m_retryAt;
    bool m_reading = false;
    bool m_writing = false;
    bool m_readWanted = false;
    bool m_absent = false;
    bool m_reachable = true;
    bool m_hasWritten = false;
    std::optional<VersionedCellRow> m_known;
    /** Row that is being written, or whose write has an unknown outcome. */
    std::optional<CellRow> m_attempt;
    MonotonicTime m_attemptedAt;
    MonotonicTime m_writtenAt;
    MonotonicTime m_unchangedSince;
};

} // namespace nutmeghinge
