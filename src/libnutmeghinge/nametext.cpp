#include "nametext.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

constexpr std::string_view lowerCase = "abcdefghijklmnopqrstuvwxyz";
constexpr std::string_view upperCase = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
constexpr std::string_view digits = "0123456789";

constexpr std::size_t maximumNameBytes = 63;
constexpr std::size_t maximumHostBytes = 253;
/** Matching takes time with the power of their number. */
constexpr std::ptrdiff_t maximumPatternStars = 2;

bool isMadeOf(std::string_view text, std::initializer_list<std::string_view> sets)
{
    return std::all_of(text.begin(), text.end(), [&](char character) {
        return std::any_of(sets.begin(), sets.end(), [&](std::string_view set) { return set.find(character) != std::string_view::npos; });
    });
}

std::optional<std::string> faultOfLength(std::string_view text, std::size_t maximum)
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

std::optional<std::string> faultOfName(std::string_view text)
{
    if (auto reason = faultOfLength(text, maximumNameBytes)) {
        return reason;
    }
    if (!isMadeOf(text, {lowerCase, upperCase, digits, "._-"}) || text.front() == '.') {
        return "must be made of letters, digits, '.', '_' and '-' and not begin with '.'";
    }
    return std::nullopt;
}

std::optional<std::string> faultOfPattern(std::string_view text)
{
    if (auto reason = faultOfLength(text, maximumNameBytes)) {
        return reason;
    }
    if (!isMadeOf(text, {lowerCase, upperCase, digits, "._-*"})) {
        return "must be a target's name, in which '*' stands for any text";
    }
    if (std::count(text.begin(), text.end(), '*') > maximumPatternStars) {
        return "must not hold more than " + std::to_string(maximumPatternStars) + " '*'";
    }
    return std::nullopt;
}

std::optional<std::string> faultOfHost(std::string_view text)
{
    if (auto reason = faultOfLength(text, maximumHostBytes)) {
        return reason;
    }
    if (!isMadeOf(text, {lowerCase, digits, ".-:[]"})) {
        return "must be a host name or IP number in lower case";
    }
    return std::nullopt;
}

std::optional<std::string> faultOfHeader(std::string_view text)
{
    if (auto reason = faultOfLength(text, maximumNameBytes)) {
        return reason;
    }
    if (!isMadeOf(text, {lowerCase, digits, "!#$%&'*+-.^_`|~"})) {
        return "must be the name of an HTTP header in lower case";
    }
    if (text.starts_with("nutmeghinge-")) {
        return "must not be in the system's own namespace";
    }
    return std::nullopt;
}

} // namespace nutmeghinge
