#pragma once

#include "jsonreader.h"
#include "member.h"

#include <string>
#include <string_view>
#include <variant>

namespace nutmeghinge {

/** Translates the rows by which nodes announce themselves, and members of a cell, to and from JSON. */
class MemberCodec
{
public:
    static nlohmann::json toJson(const Member &member);
    /** Reads a member; faults stay with the reader. */
    static Member fromJson(JsonReader &reader, const nlohmann::json &json);

    static std::string toText(const Member &member);
    static std::variant<Member, JsonFault> fromText(std::string_view text);
};

} // namespace nutmeghinge
