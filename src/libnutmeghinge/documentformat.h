#pragma once

#include "documentfault.h"
#include "documentset.h"

#include <string_view>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** Reads the text in which a revision is kept and passed between nodes. */
class DocumentFormat
{
public:
    virtual ~DocumentFormat() = default;

    /** The documents, or every fault of the text with its place. */
    virtual std::variant<DocumentSet, std::vector<DocumentFault>> parse(std::string_view text) const = 0;
};

/** The product's own format: the YAML document of one service. */
class YamlDocumentFormat : public DocumentFormat
{
public:
    std::variant<DocumentSet, std::vector<DocumentFault>> parse(std::string_view text) const override;
};

} // namespace nutmeghinge
