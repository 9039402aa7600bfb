#pragma once

#include "requestroute.h"

#include <cstddef>
#include <string_view>
#include <unordered_map>

namespace nutmeghinge {

/**
 * All routes of one document revision. Finds the route of a request by its host
 * and the longest prefix of its path, in one look-up for each slash of the path.
 */
class RouteTable
{
public:
    RouteTable() = default;
    /** Of two routes with the same host and prefix the first one counts. */
    explicit RouteTable(std::vector<RequestRoute> routes);

    /** Null where no route matches. The path may carry a query. */
    const RequestRoute *find(std::string_view host, std::string_view path) const;
    std::size_t size() const { return m_routes.size(); }
    bool isEmpty() const { return m_routes.empty(); }

private:
    std::unordered_map<std::string, RequestRoute> m_routes;
};

} // namespace nutmeghinge
