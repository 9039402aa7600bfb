#pragma once

#include "httpmessage.h"

#include <string_view>

namespace nutmeghinge {

/**
 * Whether the head of an HTTP/1 request states the length of its body at most
 * once. Two lengths, or a length beside a transfer encoding, are read
 * differently by different servers and serve to smuggle requests.
 */
bool hasSingleFraming(std::string_view bytesFromHead);

/** Whether the request can be written as an HTTP/1 head that means the same; HTTP/2 allows more characters. */
bool isWritableAsHttp1(const HttpRequest &request);

} // namespace nutmeghinge
