#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/** An error in JSON input: a text that is not a JSON object, or a field that is missing or invalid. */
struct JsonError {
    std::string reason;
};

/**
 * Reads typed fields of JSON input. Keeps the first error; the values read are
 * only valid if there was none. Never throws.
 */
class JsonReader
{
public:
    static constexpr std::uint64_t anyNumber = std::numeric_limits<std::uint64_t>::max();

    /** Parses the text. Records an error and returns null if it is not a JSON object. */
    nlohmann::json parse(std::string_view text);

    /** Returns the first error, or std::nullopt if there was none. */
    const std::optional<std::string> &error() const { return m_error; }

    /** Records an error for the field unless it is valid. */
    void check(bool valid, std::string_view field);

    /** Returns the field as an integer from 0 to the limit, or records an error and returns 0. */
    std::uint64_t number(const nlohmann::json &object, const char *field, std::uint64_t limit = anyNumber);
    std::uint32_t number32(const nlohmann::json &object, const char *field);
    std::string text(const nlohmann::json &object, const char *field);
    bool flag(const nlohmann::json &object, const char *field);
    /** Returns the field as an array, or records an error and returns an empty one. */
    const nlohmann::json &list(const nlohmann::json &object, const char *field);
    /** Returns the field as an object, or records an error and returns an empty one. */
    const nlohmann::json &object(const nlohmann::json &object, const char *field);
    /** Returns an element of an array as an integer from 0 to the limit. The field name is only used for errors. */
    std::uint64_t element(const nlohmann::json &element, const char *field, std::uint64_t limit = anyNumber);

private:
    const nlohmann::json &member(const nlohmann::json &object, const char *field);

    std::optional<std::string> m_error;
};

/** Returns the JSON as compact text. Invalid UTF-8 is replaced. */
std::string jsonToText(const nlohmann::json &json);

} // namespace nutmeghinge
