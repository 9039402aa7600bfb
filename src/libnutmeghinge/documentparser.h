#pragma once

#include "document.h"
#include "documenterror.h"
#include "yamlmapping.h"

#include <string_view>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** A document, or all errors of its text. */
using ParsedDocument = std::variant<Document, std::vector<DocumentError>>;

/**
 * Parses and checks a document's YAML text. Unknown fields, wrong types and values
 * out of range are errors. All errors are returned, not only the first one.
 */
ParsedDocument parseDocument(std::string_view text);

/**
 * Reads the operator's defaults for all services of a cell: the sections targets,
 * keys, balance, limits and leases of a document. Errors are added to the mapping's list.
 */
Document readServiceDefaults(YamlMapping fields);

} // namespace nutmeghinge
