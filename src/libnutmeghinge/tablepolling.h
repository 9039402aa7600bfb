#pragma once

#include "cellrow.h"
#include "documentfollower.h"
#include "ids.h"
#include "memberrow.h"
#include "units.h"

#include <optional>
#include <vector>

namespace nutmeghinge {

class EffectList;
struct CellContext;
struct Document;
struct VersionedCellRow;
struct Event;

/**
 * Schedules this node's reads of the platform's table and the writes of its
 * member row. A node that wants to join polls the cell row, the member rows and
 * the document. A coordinator polls the member rows and the document. A member
 * with a lease relies on the coordinator.
 * Also creates a cell, or takes over one whose members have ended or have not
 * written its row for longer than the hold limit. Owned by the Cell.
 */
class TablePolling
{
public:
    /** This node's role in the cell, which determines what it polls and how often. */
    enum class Role : std::uint8_t {
        /** A member with a lease. */
        LeasedMember,
        /** Not a member, or a member without a lease. */
        Joining,
        Coordinator,
    };

    explicit TablePolling(CellContext &context);

    void tick(Role role, const Event &event, EffectList &effects);
    /** Writes this node's own row if it has changed and the version of the row in the table is known. */
    void announce(MonotonicTime now, EffectList &effects);
    /** Writes this node's row again and reads the document again, since the table may have lost the row and changes of the document. */
    void tableRestored(MonotonicTime now);
    void memberRowWriteFinished(const Event &event);
    void memberRowsRead(const Event &event);
    void documentRead(const Event &event, EffectList &effects);
    void documentFollowed(const Event &event, EffectList &effects);
    void cellsRead(const Event &event);

    /** Returns whether this node relies on an answer of the platform's table. */
    bool hasUsedTable() const { return m_written.has_value() || m_documentFollower.isFollowing(); }
    /** Returns whether the platform has acknowledged this node's row as it is now. */
    bool hasAnnounced() const;
    /** Returns whether the table has this node's own row, or has none, as far as this process knows. */
    bool knowsOwnRow() const { return m_ownRowKnown; }
    /** Returns whether the platform has acknowledged a row of this node that states the target's departure. */
    bool hasRecorded(const TargetInstance &departed) const;
    /** Returns the member rows as last read: the nodes that have announced themselves. */
    const std::vector<Member> &announced() const { return m_announced; }
    /** Returns the rows of all cells as last read; empty in a cell of several services. */
    const std::vector<CellRow> &cells() const { return m_cells; }
    /** Sets the slot that this node had when a cell row removed it; its next announcements name that slot. */
    void setLostSlot(MemberSlot slot) { m_lostSlot = slot; }

private:
    MemberRow ownRow() const;
    void adoptOwnRow(const std::optional<VersionedMemberRow> &present);
    void readDueRows(Role role, MonotonicTime now, EffectList &effects);
    void requestToJoin(MonotonicTime now, EffectList &effects);
    void createOrTakeOverCell(MonotonicTime now, EffectList &effects);
    bool haveCoordinatorAndMajorityEnded(const VersionedCellRow &known) const;
    bool hasResigned(MemberSlot slot) const;
    bool mayCreateCell() const;
    bool mayTableHaveLostCell() const;
    Duration leasedWorkLimit() const;
    bool isAbandoned(const Document &document, MonotonicTime now) const;
    CellRow newCellRow() const;
    void admitAnnounced(CellRow &row, const std::vector<Member> &before = {}) const;
    std::optional<CellRow> takeoverRow(MonotonicTime now) const;
    Duration jittered(Duration interval);

    CellContext &m_context;
    DocumentFollower m_documentFollower;
    /** Whether the table was restored while this node was running. */
    bool m_sawRestoration = false;
    std::vector<Member> m_announced;
    std::vector<CellRow> m_cells;
    MemberSlot m_lostSlot;
    /** Version of this node's own row in the table; empty while this process has not learned it. */
    std::optional<RowVersion> m_ownVersion;
    /** This process has read its row, or has written it under a condition. */
    bool m_ownRowKnown = false;
    std::optional<MemberRow> m_written;
    std::optional<MemberRow> m_writing;
    /** The write in progress was sent before the table was restored. */
    bool m_writeOutdated = false;
    MonotonicTime m_writeAt;
    Duration m_writeRetry;
    MonotonicTime m_nextPoll;
    MonotonicTime m_nextJoinRequest;
    MonotonicTime m_nextDirectoryPoll;
    bool m_readingMembers = false;
    MonotonicTime m_membersRequestedAt;
    /** Time at which the read that returned m_announced was sent. */
    MonotonicTime m_announcedRequestedAt;
    bool m_readingDocument = false;
    MonotonicTime m_documentRequestedAt;
    bool m_readingCells = false;
    std::uint64_t m_random;
    /** Time at which this node first knew that all members have ended; empty while one may be running. */
    std::optional<MonotonicTime> m_allEndedSince;
};

} // namespace nutmeghinge
