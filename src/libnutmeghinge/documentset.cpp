#include "documentset.h"

#include <algorithm>

namespace nutmeghinge {

const Document *DocumentSet::find(const ServiceName &service) const
{
    const auto found = std::find_if(services.begin(), services.end(), [&](const Document &document) { return document.service == service; });
    return found == services.end() ? nullptr : &*found;
}

} // namespace nutmeghinge
