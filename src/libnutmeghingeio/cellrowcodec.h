#pragma once

#include "cellrow.h"
#include "jsonreader.h"

#include <string>
#include <string_view>
#include <variant>

namespace nutmeghinge {

/**
 * Translates the cell row to and from JSON. Equal entries are written once: each
 * distinct list of successors, with an index for each shard, and each distinct
 * ownership, with an index for each shard, or as runs of equal shards where the
 * cell has sections.
 */
class CellRowCodec
{
public:
    static std::string toText(const CellRow &row);
    static std::variant<CellRow, JsonError> fromText(std::string_view text);
};

} // namespace nutmeghinge
