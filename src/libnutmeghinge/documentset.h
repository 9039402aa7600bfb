#pragma once

#include "document.h"
#include "routetable.h"

#include <vector>

namespace nutmeghinge {

/** Documents of all services of a cell and the routes to them, as one revision states them. */
struct DocumentSet {
    /** At least one; in the order of their names. */
    std::vector<Document> services;
    /** Empty where the services are found by their hosts alone. */
    RouteTable routes;

    /** Null where the set has no such service. */
    const Document *find(const ServiceName &service) const;
};

} // namespace nutmeghinge
