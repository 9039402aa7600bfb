#pragma once

#include "jsonreader.h"
#include "memberrow.h"

#include <string>
#include <string_view>
#include <variant>

namespace nutmeghinge {

/** Translates members to and from JSON: as entries of the cell row and as member rows, by which nodes announce themselves. */
class MemberCodec
{
public:
    static nlohmann::json toJson(const Member &member);
    /** Reads a member. Errors are recorded in the reader. */
    static Member fromJson(JsonReader &reader, const nlohmann::json &json);

    static std::string rowToText(const MemberRow &row);
    static std::variant<MemberRow, JsonError> rowFromText(std::string_view text);
};

} // namespace nutmeghinge
