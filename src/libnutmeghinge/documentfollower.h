#pragma once

#include "events.h"
#include "units.h"

#include <optional>

namespace nutmeghinge {

class EffectList;
struct CellContext;

/**
 * Keeps up with the accepted document by calls that wait for its changes: reads
 * the row, then follows the table behind it, and reads again when the platform
 * lost the history or a call failed. Each node follows by itself, so that no
 * node's loss keeps a document from the others. Owned by the TablePolling.
 */
class DocumentFollower
{
public:
    explicit DocumentFollower(CellContext &context);

    void tick(MonotonicTime now, EffectList &effects);
    void documentRead(const DocumentRead &answer, MonotonicTime now, EffectList &effects);
    void documentFollowed(const DocumentFollowed &answer, MonotonicTime now, EffectList &effects);

private:
    void failed(MonotonicTime now);

    CellContext &m_context;
    /** Table version behind which changes are followed; nothing where the row has to be read. */
    std::optional<RowVersion> m_after;
    bool m_calling = false;
    MonotonicTime m_callAt;
    Duration m_retry;
};

} // namespace nutmeghinge
