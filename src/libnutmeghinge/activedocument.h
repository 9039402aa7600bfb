#pragma once

#include "documentset.h"
#include "ids.h"
#include "peermessages.h"
#include "units.h"

#include <memory>
#include <optional>
#include <string>

namespace nutmeghinge {

class DocumentFormat;
class EffectList;

/** Where a node got a document from. */
enum class DocumentSource : std::uint8_t {
    Platform,
    Coordinator,
    /** A member's heartbeat; only coordinators receive them. */
    Member,
};

/** How a document reached this node. */
struct DocumentArrival {
    DocumentSource source = DocumentSource::Platform;
    /** Time since the earlier document was last known to be the newest, which bounds the delay of this one; empty if it never was. */
    std::optional<Duration> unconfirmedFor;
};

/**
 * Holds the document in force at this node. Its revision never decreases; an
 * invalid document leaves the earlier one in force. Owned by the CellContext.
 */
class ActiveDocument
{
public:
    /** The format must outlive this object; null selects YAML. */
    explicit ActiveDocument(const DocumentFormat *format = nullptr);

    /** Sets the longest time for which a target may work at an attempt; routes with a longer time limit are recorded. */
    void setLongestWork(Duration longest) { m_longestWork = longest; }

    /**
     * Puts a document in force if its revision is higher and it is valid. Returns whether the document came into force.
     * @param service service of the target beside the node
     * @param assignedShards number of shards in the ownership map, which the document must not change; 0: no check
     */
    bool offer(const DocumentCopy &copy, const ServiceName &service, std::uint32_t assignedShards, const DocumentArrival &arrival, EffectList &effects);

    /** Returns the document of the node's own service; null before one is known. */
    const Document *document() const { return m_document; }
    /** Returns the documents of all services of the cell; null before one is known. */
    const DocumentSet *documents() const { return m_documents.get(); }
    /** Returns the revision in force. */
    DocumentRevision revision() const { return m_copy.revision; }
    /** Returns the highest revision that came into force or was rejected. */
    DocumentRevision highestRevisionSeen() const;
    /** Returns the text and revision in force. */
    const DocumentCopy &copy() const { return m_copy; }

private:
    std::string validationError(const DocumentSet &next, const ServiceName &service, std::uint32_t assignedShards) const;
    void reject(const DocumentCopy &copy, std::string reason, EffectList &effects);

    /** Names a route whose time limit exceeds the longest work; empty if there is none. */
    std::string describeLongRoutes() const;

    const DocumentFormat *m_format;
    Duration m_longestWork = Duration::max();
    std::shared_ptr<const DocumentSet> m_documents;
    const Document *m_document = nullptr;
    DocumentCopy m_copy;
    /** Revision that was rejected last. */
    DocumentRevision m_rejected;
};

} // namespace nutmeghinge
