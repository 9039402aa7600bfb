#pragma once

#include "documenterror.h"
#include "documentset.h"

#include <string_view>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** Parser of the text format in which document revisions are stored and sent between nodes. */
class DocumentFormat
{
public:
    virtual ~DocumentFormat() = default;

    /** Returns the documents, or all errors of the text with their lines and fields. */
    virtual std::variant<DocumentSet, std::vector<DocumentError>> parse(std::string_view text) const = 0;
};

/** nutmeghinge's native format: the YAML document of one service. */
class YamlDocumentFormat : public DocumentFormat
{
public:
    std::variant<DocumentSet, std::vector<DocumentError>> parse(std::string_view text) const override;
};

} // namespace nutmeghinge
