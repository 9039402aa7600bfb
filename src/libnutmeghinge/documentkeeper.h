#pragma once

#include "documentset.h"
#include "ids.h"
#include "peermessages.h"

#include <memory>
#include <string>

namespace nutmeghinge {

class DocumentFormat;
class EffectList;

/**
 * The document in force at this node. Its revision never falls; a text with
 * faults leaves the earlier one in force.
 */
class DocumentKeeper
{
public:
    /** The format must outlive the keeper; null: the product's own. */
    explicit DocumentKeeper(const DocumentFormat *format = nullptr);

    /**
     * Puts a document in force if its revision is higher and it has no faults.
     * service is the one of the target beside the node; assignedShards is the number of shards that already have owners; 0 where
     * none has. True if it came into force.
     */
    bool offer(const DocumentCopy &copy, const ServiceName &service, std::uint32_t assignedShards, EffectList &effects);

    /** Document of the node's own service; null before one is known. */
    const Document *document() const { return m_document; }
    /** Documents of all services of the cell; null before one is known. */
    const DocumentSet *documents() const { return m_documents.get(); }
    /** Revision in force. */
    DocumentRevision revision() const { return m_copy.revision; }
    /** Highest revision that was seen, in force or rejected. */
    DocumentRevision highestSeen() const;
    const DocumentCopy &copy() const { return m_copy; }

private:
    std::string faultOf(const DocumentSet &next, const ServiceName &service, std::uint32_t assignedShards) const;
    void reject(const DocumentCopy &copy, std::string reason, EffectList &effects);

    const DocumentFormat *m_format;
    std::shared_ptr<const DocumentSet> m_documents;
    const Document *m_document = nullptr;
    DocumentCopy m_copy;
    DocumentRevision m_rejected;
};

} // namespace nutmeghinge
