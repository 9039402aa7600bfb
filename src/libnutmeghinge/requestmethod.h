#pragma once

#include <string_view>

namespace nutmeghinge {

/** The method asks for nothing to be changed (RFC 9110, 9.2.1). */
bool isSafeMethod(std::string_view method);
/** Running the request twice has the effect of running it once (RFC 9110, 9.2.2). False for unknown methods. */
bool isIdempotentMethod(std::string_view method);

} // namespace nutmeghinge
