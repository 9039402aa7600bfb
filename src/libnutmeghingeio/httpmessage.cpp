#include "httpmessage.h"

namespace nutmeghinge {

std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view lowerCaseName)
{
    for (const auto &[name, value] : headers) {
        if (name == lowerCaseName) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace nutmeghinge
