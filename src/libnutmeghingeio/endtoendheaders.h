#pragma once

#include "httpmessage.h"

namespace nutmeghinge {

class RequestProtocol;

/**
 * Headers that may be passed on: without the hop-by-hop headers (RFC 9110,
 * 7.6.1), those that "connection" names, the length, which each connection
 * states anew, and those of the system's namespace.
 */
HttpHeaders endToEndHeaders(const HttpHeaders &headers, const RequestProtocol &protocol);

} // namespace nutmeghinge
