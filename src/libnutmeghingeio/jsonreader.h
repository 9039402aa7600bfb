#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/** JSON from outside that is not what it should be. */
struct JsonFault {
    std::string reason;
};

/**
 * Reads typed fields out of JSON from outside. Keeps the first fault; after one,
 * what was read is meaningless. Never throws.
 */
class JsonReader
{
public:
    static constexpr std::uint64_t anyNumber = std::numeric_limits<std::uint64_t>::max();

    /** The parsed text; a null with a fault where it is no JSON object. */
    nlohmann::json parse(std::string_view text);

    const std::optional<std::string> &fault() const { return m_fault; }

    /** Records the field as faulty unless the condition holds. */
    void check(bool holds, std::string_view field);

    /** A whole number from 0 to the limit. */
    std::uint64_t number(const nlohmann::json &object, const char *field, std::uint64_t limit = anyNumber);
    std::uint32_t number32(const nlohmann::json &object, const char *field);
    std::string text(const nlohmann::json &object, const char *field);
    bool flag(const nlohmann::json &object, const char *field);
    /** A list; an empty one with a fault where there is none. */
    const nlohmann::json &list(const nlohmann::json &object, const char *field);
    /** An object; an empty one with a fault where there is none. */
    const nlohmann::json &object(const nlohmann::json &object, const char *field);
    /** An element of a list as a whole number from 0 to the limit. */
    std::uint64_t element(const nlohmann::json &element, const char *field, std::uint64_t limit = anyNumber);

private:
    const nlohmann::json &member(const nlohmann::json &object, const char *field);

    std::optional<std::string> m_fault;
};

/** The JSON as text; bytes that are no UTF-8 are replaced. */
std::string jsonToText(const nlohmann::json &json);

} // namespace nutmeghinge
