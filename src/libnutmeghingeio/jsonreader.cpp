#include "jsonreader.h"

namespace nutmeghinge {

namespace {

const nlohmann::json nothing;
const nlohmann::json emptyList = nlohmann::json::array();
const nlohmann::json emptyObject = nlohmann::json::object();

} // namespace

nlohmann::json JsonReader::parse(std::string_view text)
{
    nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        check(false, "text");
        return nullptr;
    }
    return json;
}

void JsonReader::check(bool valid, std::string_view field)
{
    if (!valid && !m_error) {
        m_error = std::string(field) + " is missing or invalid";
    }
}

const nlohmann::json &JsonReader::member(const nlohmann::json &object, const char *field)
{
    if (!object.is_object()) {
        return nothing;
    }
    const auto found = object.find(field);
    return found == object.end() ? nothing : *found;
}

std::uint64_t JsonReader::number(const nlohmann::json &object, const char *field, std::uint64_t limit)
{
    return element(member(object, field), field, limit);
}

std::uint32_t JsonReader::number32(const nlohmann::json &object, const char *field)
{
    return static_cast<std::uint32_t>(number(object, field, std::numeric_limits<std::uint32_t>::max()));
}

std::uint64_t JsonReader::element(const nlohmann::json &element, const char *field, std::uint64_t limit)
{
    const bool valid = element.is_number_unsigned() && element.get<std::uint64_t>() <= limit;
    check(valid, field);
    return valid ? element.get<std::uint64_t>() : 0;
}

std::string JsonReader::text(const nlohmann::json &object, const char *field)
{
    const nlohmann::json &value = member(object, field);
    check(value.is_string(), field);
    return value.is_string() ? value.get<std::string>() : std::string();
}

bool JsonReader::flag(const nlohmann::json &object, const char *field)
{
    const nlohmann::json &value = member(object, field);
    check(value.is_boolean(), field);
    return value.is_boolean() && value.get<bool>();
}

const nlohmann::json &JsonReader::list(const nlohmann::json &object, const char *field)
{
    const nlohmann::json &value = member(object, field);
    check(value.is_array(), field);
    return value.is_array() ? value : emptyList;
}

const nlohmann::json &JsonReader::object(const nlohmann::json &object, const char *field)
{
    const nlohmann::json &value = member(object, field);
    check(value.is_object(), field);
    return value.is_object() ? value : emptyObject;
}

std::string jsonToText(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace nutmeghinge
