#pragma once

#include "documenterror.h"
#include "nodesettings.h"

#include <string_view>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** Settings, or every fault that their text has. */
using ParsedNodeSettings = std::variant<NodeSettings, std::vector<DocumentError>>;

/** Parses and checks a node's YAML settings; all faults are reported, unknown fields too. */
ParsedNodeSettings parseNodeSettings(std::string_view text);

} // namespace nutmeghinge
