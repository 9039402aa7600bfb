#pragma once

#include "httpmessage.h"

namespace nutmeghinge {

class RequestProtocol;

/**
 * Returns the headers that may be forwarded. Leaves out hop-by-hop headers
 * (RFC 9110, 7.6.1), headers that "connection" lists, the content length, which is
 * set anew for each connection, and headers that the protocol reserves.
 */
HttpHeaders endToEndHeaders(const HttpHeaders &headers, const RequestProtocol &protocol);

} // namespace nutmeghinge
