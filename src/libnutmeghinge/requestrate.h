#pragma once

#include "strongtype.h"

namespace nutmeghinge {

/** Number of requests per second; not negative. */
using RequestRate = StrongType<struct RequestRateTag, double>;

} // namespace nutmeghinge
