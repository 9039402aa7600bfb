#include "targetstatementreader.h"

#include <algorithm>
#include <charconv>

namespace nutmeghinge {

namespace {

constexpr std::size_t maxLimitDigits = 20;
/** A higher limit is read as this one, which never binds. In requests per second. */
constexpr double maxLimit = 1e9;
/** Length at which an invalid value is cut off in messages. */
constexpr std::size_t maxShownValue = 40;

/** Parses digits with an optional fraction. Returns std::nullopt for signs, exponents, infinities and other text. */
std::optional<RequestRate> parseRate(std::string_view text)
{
    const auto isPlain = [](char character) { return (character >= '0' && character <= '9') || character == '.'; };
    if (text.empty() || text.size() > maxLimitDigits || !std::ranges::all_of(text, isPlain) || text.front() == '.' || text.back() == '.') {
        return std::nullopt;
    }
    double rate = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, rate, std::chars_format::fixed);
    return error == std::errc() && stop == end ? std::optional(RequestRate(std::min(rate, maxLimit))) : std::nullopt;
}

/** Returns the value for a message, without bytes that are no printable ASCII. */
std::string shown(std::string_view value)
{
    std::string text(value.substr(0, maxShownValue));
    std::ranges::replace_if(
        text, [](char character) { return character < ' ' || character > '~'; }, '?');
    return text;
}

} // namespace

TargetStatement readTargetStatement(const HttpHeaders &headers, const TargetStatementHeaders &names)
{
    TargetStatement statement;
    for (const auto &[name, value] : headers) {
        if (name == names.limit) {
            const std::optional<RequestRate> rate = parseRate(value);
            if (!rate) {
                statement.problem = "the limit '" + shown(value) + "' is not a decimal number";
            } else if (!statement.limit || *rate < *statement.limit) {
                statement.limit = rate;
            }
        } else if (name == names.leaving) {
            const bool leaving = value == "1";
            statement.leaving = statement.leaving || leaving;
            if (!leaving) {
                statement.problem = "'" + shown(value) + "' does not say whether the target leaves";
            }
        }
    }
    return statement;
}

} // namespace nutmeghinge
