#include "routetable.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

std::string keyOf(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + prefix.size() + 1);
    key += host;
    // A separator that no host parsed from a request can contain.
    key += '\n';
    key += prefix;
    return key;
}

} // namespace

RouteTable::RouteTable(std::vector<RequestRoute> routes)
{
    m_routes.reserve(routes.size());
    for (RequestRoute &route : routes) {
        std::string key = keyOf(route.host, route.prefix);
        m_routes.emplace(std::move(key), std::move(route));
    }
}

const RequestRoute *RouteTable::find(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = m_routes.find(keyOf(host, path.substr(0, slash + 1)));
        if (found != m_routes.end()) {
            return &found->second;
        }
        if (slash == 0) {
            break;
        }
    }
    return nullptr;
}

const RequestRoute *RouteTable::longest() const
{
    const auto isShorter = [](const auto &a, const auto &b) { return a.second.timeout < b.second.timeout; };
    const auto found = std::max_element(m_routes.begin(), m_routes.end(), isShorter);
    return found == m_routes.end() ? nullptr : &found->second;
}

} // namespace nutmeghinge
