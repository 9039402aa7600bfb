#pragma once

#include "cellrow.h"
#include "jsonreader.h"

#include <string>
#include <string_view>
#include <variant>

namespace nutmeghinge {

/**
 * Translates the row of a cell to and from JSON. Each distinct ownership and
 * each distinct list of successors is written once, and each shard as its index.
 */
class CellRowCodec
{
public:
    static std::string toText(const CellRow &row);
    static std::variant<CellRow, JsonFault> fromText(std::string_view text);
};

} // namespace nutmeghinge
