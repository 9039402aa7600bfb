#pragma once

#include "strongtype.h"

#include <string>

namespace nutmeghinge {

/** Number of requests per second; not negative. */
using RequestRate = StrongType<struct RequestRateTag, double>;

/** Returns the rate with its unit, for messages. */
std::string toText(RequestRate rate);

} // namespace nutmeghinge
