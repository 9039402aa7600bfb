#pragma once

#include "httpmessage.h"

#include <string_view>

namespace nutmeghinge {

/**
 * Returns whether the head of an HTTP/1 request states the length of its body at
 * most once. Servers interpret two lengths, or a length beside a transfer encoding,
 * differently, which allows request smuggling. bytesFromHead begins with the head.
 */
bool hasSingleFraming(std::string_view bytesFromHead);

/** Returns whether the request can be written as an HTTP/1 head with the same meaning. HTTP/2 allows more characters. */
bool isWritableAsHttp1(const HttpRequest &request);

} // namespace nutmeghinge
