#pragma once

#include "document.h"
#include "ids.h"
#include "peermessages.h"

#include <optional>
#include <string>

namespace nutmeghinge {

class EffectList;

/**
 * The document in force at this node. Its revision never falls; a text with
 * faults leaves the earlier one in force.
 */
class DocumentKeeper
{
public:
    /**
     * Puts a document in force if its revision is higher and it has no faults.
     * assignedShards is the number of shards that already have owners; 0 where
     * none has. True if it came into force.
     */
    bool offer(const DocumentCopy &copy, const ServiceName &service, std::uint32_t assignedShards, EffectList &effects);

    /** Null before one is known. */
    const Document *document() const { return m_document ? &*m_document : nullptr; }
    /** Revision in force. */
    DocumentRevision revision() const { return m_copy.revision; }
    /** Highest revision that was seen, in force or rejected. */
    DocumentRevision highestSeen() const;
    const DocumentCopy &copy() const { return m_copy; }

private:
    std::string faultOf(const Document &next, const ServiceName &service, std::uint32_t assignedShards) const;
    void reject(const DocumentCopy &copy, std::string reason, EffectList &effects);

    std::optional<Document> m_document;
    DocumentCopy m_copy;
    DocumentRevision m_rejected;
};

} // namespace nutmeghinge
