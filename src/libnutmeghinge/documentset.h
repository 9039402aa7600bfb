#pragma once

#include "document.h"
#include "routetable.h"

#include <vector>

namespace nutmeghinge {

/** Documents of all services of a cell and the routes to them, all from one revision. */
struct DocumentSet {
    /** At least one document, sorted by service name. */
    std::vector<Document> services;
    /** Empty if requests select their service only by the Host header. */
    RouteTable routes;

    /** Returns the service's document, or null if the set has no such service. */
    const Document *find(const ServiceName &service) const;
};

} // namespace nutmeghinge
