#pragma once

#include "requestroute.h"

#include <cstddef>
#include <string_view>
#include <unordered_map>

namespace nutmeghinge {

/**
 * All routes of one document revision. Finds the route of a request by its host
 * and the longest matching prefix of its path, with one hash lookup for each
 * slash of the path.
 */
class RouteTable
{
public:
    RouteTable() = default;
    /** If several routes have the same host and prefix, the first one is used. */
    explicit RouteTable(std::vector<RequestRoute> routes);

    /** Returns null if no route matches. The path may include a query. */
    const RequestRoute *find(std::string_view host, std::string_view path) const;
    /** Returns a route with the longest time limit; null if there is no route. */
    const RequestRoute *longest() const;
    std::size_t size() const { return m_routes.size(); }
    bool isEmpty() const { return m_routes.empty(); }

private:
    std::unordered_map<std::string, RequestRoute> m_routes;
};

} // namespace nutmeghinge
