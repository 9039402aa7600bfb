#pragma once

#include "cellrow.h"
#include "documentfollower.h"
#include "ids.h"
#include "member.h"
#include "units.h"

#include <optional>
#include <vector>

namespace nutmeghinge {

class EffectList;
struct CellContext;
struct VersionedCellRow;
struct Event;

/**
 * When this node reads the platform and writes its own row: often while it
 * looks for its cell, as coordinator for changes, as a settled member hardly at
 * all. Also founds a cell, and takes one over whose members are gone.
 */
class TablePolling
{
public:
    enum class Need : std::uint8_t {
        /** A member with a lease. */
        Settled,
        /** No member, or without a lease. */
        Searching,
        Coordinating,
    };

    explicit TablePolling(CellContext &context);

    void tick(Need need, const Event &event, EffectList &effects);
    /** Writes this node's own row if it has changed. */
    void announce(MonotonicTime now, EffectList &effects);
    void memberRowWriteFinished(const Event &event);
    void memberRowsRead(const Event &event);
    void documentRead(const Event &event, EffectList &effects);
    void documentFollowed(const Event &event, EffectList &effects);
    void cellsRead(const Event &event);

    /** Nodes that announced themselves, as last read. */
    const std::vector<Member> &announced() const { return m_announced; }
    const std::vector<CellRow> &cells() const { return m_cells; }
    /** Slot that this node had when a row left it out; the announcement names it. */
    void setLostSlot(MemberSlot slot) { m_lostSlot = slot; }

private:
    void readWhatIsDue(Need need, MonotonicTime now, EffectList &effects);
    void askForPlace(MonotonicTime now, EffectList &effects);
    void claimCell(MonotonicTime now, EffectList &effects);
    bool isCoordinatorLostWithMost(const VersionedCellRow &known) const;
    bool mayFound() const;
    CellRow foundedRow() const;
    void admitAnnounced(CellRow &row, const std::vector<Member> &before = {}) const;
    std::optional<CellRow> takenOverRow(MonotonicTime now) const;
    Duration jittered(Duration interval);

    CellContext &m_context;
    DocumentFollower m_documentFollower;
    std::vector<Member> m_announced;
    std::vector<CellRow> m_cells;
    MemberSlot m_lostSlot;
    std::optional<Member> m_written;
    std::optional<Member> m_writing;
    MonotonicTime m_writeAt;
    Duration m_writeRetry;
    MonotonicTime m_nextPoll;
    MonotonicTime m_nextJoinRequest;
    MonotonicTime m_nextDirectoryPoll;
    bool m_readingMembers = false;
    MonotonicTime m_membersAskedAt;
    /** Time at which the known announcements were asked for. */
    MonotonicTime m_membersKnownAt;
    bool m_readingDocument = false;
    bool m_readingCells = false;
    std::uint64_t m_random;
    /** Time since which all members are known to have ended. */
    std::optional<MonotonicTime> m_allEndedSince;
};

} // namespace nutmeghinge
