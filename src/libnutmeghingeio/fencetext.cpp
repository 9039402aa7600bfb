#include "fencetext.h"

#include <charconv>

namespace nutmeghinge {

namespace {

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string fenceToText(const Fence &fence)
{
    return std::to_string(fence.term.value()) + '.' + std::to_string(fence.sequence);
}

std::optional<Fence> fenceFromText(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto term = numberOf(text.substr(0, dot));
    const auto sequence = numberOf(text.substr(dot + 1));
    if (!term || !sequence) {
        return std::nullopt;
    }
    return Fence{Term(*term), *sequence};
}

} // namespace nutmeghinge
