#include "endtoendheaders.h"

#include "requestprotocol.h"

#include <algorithm>
#include <array>

namespace nutmeghinge {

namespace {

constexpr std::array<std::string_view, 7> hopByHopNames{"connection", "content-length", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"};
constexpr std::string_view proxyPrefix = "proxy-";

bool isHopByHop(std::string_view name)
{
    return std::ranges::find(hopByHopNames, name) != hopByHopNames.end() || name.starts_with(proxyPrefix);
}

} // namespace

HttpHeaders endToEndHeaders(const HttpHeaders &headers, const RequestProtocol &protocol)
{
    std::vector<std::string> connectionHeaders;
    for (const auto &[name, value] : headers) {
        if (name == "connection") {
            std::ranges::copy(listItems(value), std::back_inserter(connectionHeaders));
        }
    }
    HttpHeaders kept;
    for (const auto &header : headers) {
        const std::string &name = header.first;
        if (!isHopByHop(name) && !protocol.isReserved(name) && std::ranges::find(connectionHeaders, name) == connectionHeaders.end()) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace nutmeghinge
