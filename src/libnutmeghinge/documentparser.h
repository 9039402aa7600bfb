#pragma once

#include "document.h"
#include "documentfault.h"
#include "yamlmapping.h"

#include <string_view>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** A document, or every fault that its text has. */
using ParsedDocument = std::variant<Document, std::vector<DocumentFault>>;

/**
 * Parses and checks a document's YAML text. Unknown fields, wrong types and
 * values out of range are faults; all of them are reported, not the first alone.
 */
ParsedDocument parseDocument(std::string_view text);

/**
 * Reads what an operator sets for every service of a cell: the sections targets,
 * keys, balance, limits and leases of a document.
 */
Document readServiceDefaults(YamlMapping fields);

} // namespace nutmeghinge
