#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmeghinge {

/** Header names in lower case with their values, in the order of the message. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Value of the first header of that name; nothing where there is none. */
std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view lowerCaseName);

/** Text with the letters A to Z in lower case. */
std::string lowerCase(std::string_view text);

/** Items of a comma-separated header value, in lower case without blanks around them. */
std::vector<std::string> listItems(std::string_view value);

/** A whole request, as a server received it. */
struct HttpRequest {
    std::string method;
    /** Path with query. */
    std::string path;
    /** Authority, as sent. */
    std::string host;
    HttpHeaders headers;
    std::string body;
};

/** Head of an answer. */
struct HttpAnswerHead {
    std::uint16_t status = 0;
    HttpHeaders headers;
    /** Bytes of the body where the answer states them. */
    std::optional<std::uint64_t> contentLength;
};

/** Text that goes with a status in the head of an HTTP/1 answer. */
const char *reasonPhrase(std::uint16_t status);

} // namespace nutmeghinge
