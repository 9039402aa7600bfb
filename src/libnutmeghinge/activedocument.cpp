#include "activedocument.h"

#include "documentformat.h"
#include "effectlist.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

const YamlDocumentFormat yamlFormat;

const char *describe(DocumentSource source)
{
    switch (source) {
    case DocumentSource::Platform:
        return "from the platform";
    case DocumentSource::Coordinator:
        return "from the coordinator";
    case DocumentSource::Member:
        break;
    }
    return "from a member";
}

} // namespace

ActiveDocument::ActiveDocument(const DocumentFormat *format)
    : m_format(format ? format : &yamlFormat)
{
}

bool ActiveDocument::offer(const DocumentCopy &copy,
                           const ServiceName &service,
                           std::uint32_t assignedShards,
                           const DocumentArrival &arrival,
                           EffectList &effects)
{
    if (copy.revision <= m_copy.revision || copy.revision == m_rejected || copy.text.empty()) {
        return false;
    }
    auto parsed = m_format->parse(copy.text);
    if (const auto *errors = std::get_if<std::vector<DocumentError>>(&parsed)) {
        reject(copy, errors->empty() ? "faulty" : errors->front().field + ": " + errors->front().reason, effects);
        return false;
    }
    auto &next = std::get<DocumentSet>(parsed);
    if (std::string error = validationError(next, service, assignedShards); !error.empty()) {
        reject(copy, std::move(error), effects);
        return false;
    }
    m_documents = std::make_shared<const DocumentSet>(std::move(next));
    m_document = m_documents->find(service);
    m_copy = copy;
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::DocumentInForce;
    record.document = copy.revision;
    record.longestDelay = arrival.unconfirmedFor;
    record.detail = describe(arrival.source) + describeLongRoutes();
    effects.record(std::move(record));
    return true;
}

std::string ActiveDocument::describeLongRoutes() const
{
    const RequestRoute *longest = m_documents->routes.longest();
    if (!longest || longest->timeout <= m_longestWork) {
        return {};
    }
    const auto toText = [](Duration time) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms"; };
    return "; the time limit of route " + longest->name + ", " + toText(longest->timeout) + ", is longer than a target may work at an attempt, "
           + toText(m_longestWork) + ", since a stop ends the node";
}

DocumentRevision ActiveDocument::highestRevisionSeen() const
{
    return std::max(m_copy.revision, m_rejected);
}

std::string ActiveDocument::validationError(const DocumentSet &next, const ServiceName &service, std::uint32_t assignedShards) const
{
    const Document *own = next.find(service);
    if (!own) {
        return "service: the document does not define the service of this node's target";
    }
    const std::uint32_t shards = own->isSharded() ? own->shards : 0;
    if (assignedShards != 0 && shards != assignedShards) {
        return "keys.shards: must not change while shards have owners";
    }
    return {};
}

void ActiveDocument::reject(const DocumentCopy &copy, std::string reason, EffectList &effects)
{
    m_rejected = copy.revision;
    TimelineRecord record;
    record.kind = TimelineRecord::Kind::DocumentRejected;
    record.document = copy.revision;
    record.detail = std::move(reason);
    effects.record(std::move(record));
}

} // namespace nutmeghinge
