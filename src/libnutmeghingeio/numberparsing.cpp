#include "numberparsing.h"

#include <charconv>

namespace nutmeghinge {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (text.empty() || error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace nutmeghinge
