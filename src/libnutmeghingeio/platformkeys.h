#pragma once

#include "ids.h"

#include <string>

/**
 * Keys of the rows of the platform's table service.
 */
namespace nutmeghinge::platformkeys {

inline const std::string cellPrefix = "cell/";

inline std::string cellRow(const ServiceName &service)
{
    return cellPrefix + service.value();
}

/** Prefix of the rows by which nodes announce themselves for a service. */
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

/** Prefix of the objects that hold the revisions of a service's document. */
inline std::string documentObjectPrefix(const ServiceName &service)
{
    return "documents/" + service.value() + '/';
}

} // namespace nutmeghinge::platformkeys
