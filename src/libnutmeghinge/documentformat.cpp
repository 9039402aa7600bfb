#include "documentformat.h"

#include "documentparser.h"

namespace nutmeghinge {

std::variant<DocumentSet, std::vector<DocumentError>> YamlDocumentFormat::parse(std::string_view text) const
{
    ParsedDocument parsed = parseDocument(text);
    if (auto *errors = std::get_if<std::vector<DocumentError>>(&parsed)) {
        return std::move(*errors);
    }
    DocumentSet set;
    set.services.push_back(std::get<Document>(std::move(parsed)));
    return set;
}

} // namespace nutmeghinge
