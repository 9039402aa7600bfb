#pragma once

#include <string_view>

namespace nutmeghinge {

/** Returns whether the method is safe, that is read-only (RFC 9110, 9.2.1). */
bool isSafeMethod(std::string_view method);
/** Returns whether running a request of the method twice has the effect of running it once (RFC 9110, 9.2.2). False for unknown methods. */
bool isIdempotentMethod(std::string_view method);

} // namespace nutmeghinge
