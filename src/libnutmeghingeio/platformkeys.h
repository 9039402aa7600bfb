#pragma once

#include "ids.h"

#include <string>

/**
 * Keys of the rows in the platform's table service, and names of the objects in its
 * object store.
 */
namespace nutmeghinge::platformkeys {

inline const std::string cellPrefix = "cell/";

inline std::string cellRow(const ServiceName &service)
{
    return cellPrefix + service.value();
}

/** Returns the prefix of the member rows of a service, by which nodes announce themselves. */
inline std::string memberPrefix(const ServiceName &service)
{
    return "member/" + service.value() + '/';
}

inline std::string memberRow(const ServiceName &service, const NodeName &node)
{
    return memberPrefix(service) + node.value();
}

inline std::string documentRow(const ServiceName &service)
{
    return "document/" + service.value();
}

/** Returns the prefix of the objects that hold the revisions of a service's document. */
inline std::string documentObjectPrefix(const ServiceName &service)
{
    return "documents/" + service.value() + '/';
}

} // namespace nutmeghinge::platformkeys
