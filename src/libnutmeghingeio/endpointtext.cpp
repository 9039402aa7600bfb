#include "endpointtext.h"

#include <charconv>

namespace nutmeghinge {

std::string endpointToText(const Endpoint &endpoint)
{
    return endpoint.isEmpty() ? std::string() : endpoint.address + ':' + std::to_string(endpoint.port);
}

std::optional<Endpoint> endpointFromText(std::string_view text)
{
    if (text.empty()) {
        return Endpoint();
    }
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    Endpoint endpoint{std::string(text.substr(0, colon)), 0};
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return endpoint;
}

} // namespace nutmeghinge
