#pragma once

#include "documenterror.h"
#include "nodesettings.h"

#include <string_view>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** The settings, or all errors found in their text. */
using ParsedNodeSettings = std::variant<NodeSettings, std::vector<DocumentError>>;

/** Parses and checks a node's YAML settings. Reports all errors, including unknown fields. */
ParsedNodeSettings parseNodeSettings(std::string_view text);

} // namespace nutmeghinge
