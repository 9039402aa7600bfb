#include "requestrate.h"

#include <array>
#include <cstdio>

namespace nutmeghinge {

std::string toText(RequestRate rate)
{
    std::array<char, 64> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.6g requests/s", rate.value());
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace nutmeghinge
