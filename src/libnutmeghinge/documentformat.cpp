#include "documentformat.h"

#include "documentparser.h"

namespace nutmeghinge {

std::variant<DocumentSet, std::vector<DocumentFault>> YamlDocumentFormat::parse(std::string_view text) const
{
    ParsedDocument parsed = parseDocument(text);
    if (auto *faults = std::get_if<std::vector<DocumentFault>>(&parsed)) {
        return std::move(*faults);
    }
    DocumentSet set;
    set.services.push_back(std::get<Document>(std::move(parsed)));
    return set;
}

} // namespace nutmeghinge
