#pragma once

#include "requestbody.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmeghinge {

/** Header names in lower case and their values, in the order of the message. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Returns the value of the first header with the name; std::nullopt if there is none. */
std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view lowerCaseName);

/** Returns the text with the letters A to Z in lower case. */
std::string lowerCase(std::string_view text);

/** Returns the items of a comma-separated header value, trimmed and in lower case. */
std::vector<std::string> listItems(std::string_view value);

/** A complete request, as a server received it. */
struct HttpRequest {
    std::string method;
    /** Path with query. */
    std::string path;
    /** Authority, as sent. */
    std::string host;
    HttpHeaders headers;
    RequestBody body;
    /** Earliest time at which it may have begun to arrive; empty if the server does not know it. */
    std::optional<MonotonicTime> arrivedAfter{};
};

/** Head of an answer. */
struct HttpAnswerHead {
    std::uint16_t status = 0;
    HttpHeaders headers;
    /** Size of the body in bytes, if the answer states it. */
    std::optional<std::uint64_t> contentLength;
};

/** Returns the reason phrase of a status for the head of an HTTP/1 answer. */
const char *reasonPhrase(std::uint16_t status);

} // namespace nutmeghinge
