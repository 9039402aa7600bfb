#pragma once

#include "cellrow.h"
#include "jsonreader.h"

#include <string>
#include <string_view>
#include <variant>

namespace nutmeghinge {

/**
 * Translates the cell row to and from JSON. To keep the row small, each distinct
 * list of successors and each distinct ownership is written once, and each shard
 * refers to them by index. In a cell with sections, the ownerships are run-length
 * encoded instead.
 */
class CellRowCodec
{
public:
    static std::string toText(const CellRow &row);
    static std::variant<CellRow, JsonError> fromText(std::string_view text);
};

} // namespace nutmeghinge
