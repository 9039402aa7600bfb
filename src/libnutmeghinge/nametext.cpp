#include "nametext.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

constexpr std::string_view lowerCase = "abcdefghijklmnopqrstuvwxyz";
constexpr std::string_view upperCase = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
constexpr std::string_view digits = "0123456789";

constexpr std::size_t maximumNameBytes = 63;
constexpr std::size_t maximumHostBytes = 253;
/** The time of matching grows exponentially with the number of '*'. */
constexpr std::ptrdiff_t maximumPatternStars = 2;

bool containsOnly(std::string_view text, std::initializer_list<std::string_view> sets)
{
    return std::all_of(text.begin(), text.end(), [&](char character) {
        return std::any_of(sets.begin(), sets.end(), [&](std::string_view set) { return set.find(character) != std::string_view::npos; });
    });
}

std::optional<std::string> lengthError(std::string_view text, std::size_t maximum)
{
    if (text.empty()) {
        return "must not be empty";
    }
    if (text.size() > maximum) {
        return "must not be longer than " + std::to_string(maximum) + " characters";
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> nameError(std::string_view text)
{
    if (auto reason = lengthError(text, maximumNameBytes)) {
        return reason;
    }
    if (!containsOnly(text, {lowerCase, upperCase, digits, "._-"}) || text.front() == '.') {
        return "must be made of letters, digits, '.', '_' and '-' and not begin with '.'";
    }
    return std::nullopt;
}

std::optional<std::string> patternError(std::string_view text)
{
    if (auto reason = lengthError(text, maximumNameBytes)) {
        return reason;
    }
    if (!containsOnly(text, {lowerCase, upperCase, digits, "._-*"})) {
        return "must be a target name, in which '*' matches any text";
    }
    if (std::count(text.begin(), text.end(), '*') > maximumPatternStars) {
        return "must not hold more than " + std::to_string(maximumPatternStars) + " '*'";
    }
    return std::nullopt;
}

std::optional<std::string> hostError(std::string_view text)
{
    if (auto reason = lengthError(text, maximumHostBytes)) {
        return reason;
    }
    if (!containsOnly(text, {lowerCase, digits, ".-:[]"})) {
        return "must be a host name or IP number in lower case";
    }
    return std::nullopt;
}

std::optional<std::string> headerError(std::string_view text)
{
    if (auto reason = lengthError(text, maximumNameBytes)) {
        return reason;
    }
    if (!containsOnly(text, {lowerCase, digits, "!#$%&'*+-.^_`|~"})) {
        return "must be the name of an HTTP header in lower case";
    }
    if (text.starts_with("nutmeghinge-")) {
        return "must not be in the system's own namespace";
    }
    return std::nullopt;
}

} // namespace nutmeghinge
