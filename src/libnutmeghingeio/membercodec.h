#pragma once

#include "jsonreader.h"
#include "member.h"

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

    static std::string toText(const Member &member);
    static std::variant<Member, JsonError> fromText(std::string_view text);
};

} // namespace nutmeghinge
