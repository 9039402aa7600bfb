#pragma once

#include "document.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** One fault of a document or settings file. */
struct DocumentFault {
    /** Line from 1; 0 where the fault has no line. */
    int line = 0;
    /** Path of the field, such as "targets.allow"; empty for the whole file. */
    std::string field;
    std::string reason;

    friend bool operator==(const DocumentFault &, const DocumentFault &) = default;
};

/** A document, or every fault that its text has. */
using ParsedDocument = std::variant<Document, std::vector<DocumentFault>>;

/**
 * Parses and checks a document's YAML text. Unknown fields, wrong types and
 * values out of range are faults; all of them are reported, not the first alone.
 */
ParsedDocument parseDocument(std::string_view text);

} // namespace nutmeghinge
