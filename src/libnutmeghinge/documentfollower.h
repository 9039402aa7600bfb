#pragma once

#include "events.h"
#include "units.h"

#include <optional>

namespace nutmeghinge {

class EffectList;
struct CellContext;

/**
 * Follows the accepted document by long polling: reads its row, then waits for
 * changes after the table version of that read. Retries a failed call from the
 * same version, without waiting until one is answered, so that the platform's
 * return is noticed within a call's timeout. Reads the row again if the platform
 * no longer has the changes since then. Each node follows the document on its own, so the failure
 * of one node does not keep a document from the others.
 *
 * A call that waits can be lost without a sign. Calls wait long only while the
 * coordinator, whose own calls wait briefly, confirms that there is no newer
 * document. Owned by the TablePolling.
 */
class DocumentFollower
{
public:
    explicit DocumentFollower(CellContext &context);

    void tick(MonotonicTime now, EffectList &effects);
    /** Reads the row again: after the restoration of the table, a version of it no longer stands for the same changes. */
    void tableRestored(MonotonicTime now);
    /** Returns whether a table version is known after which changes are requested. */
    bool isFollowing() const { return m_after.has_value(); }
    void documentRead(const DocumentRead &answer, MonotonicTime now, EffectList &effects);
    void documentFollowed(const DocumentFollowed &answer, MonotonicTime now, EffectList &effects);

private:
    /** Returns whether the call in progress waits too long now that the coordinator no longer confirms the document. */
    bool isWaitUnconfirmed(MonotonicTime now) const;
    void sendCall(MonotonicTime now, EffectList &effects);
    /** Returns the time up to which the answer to the latest call, which states no change, excludes one. */
    MonotonicTime noChangeUntil(MonotonicTime now) const;
    /** Schedules the next call after one that the platform answered. */
    void callAgain(MonotonicTime now);
    /** Schedules the next call after one that failed. */
    void retryLater(MonotonicTime now);

    CellContext &m_context;
    /** Table version after which changes are requested; empty if the row has to be read. */
    std::optional<RowVersion> m_after;
    bool m_calling = false;
    /** Time at which the latest call was sent. */
    MonotonicTime m_sentAt;
    /** Time for which the platform may hold the latest call. */
    Duration m_wait{0};
    bool m_lastCallFailed = false;
    /** Earliest time of the next call. */
    MonotonicTime m_callAt;
    /** Shortest interval between the next failed call and the one after it. */
    Duration m_retry;
};

} // namespace nutmeghinge
