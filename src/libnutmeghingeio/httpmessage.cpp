#include "httpmessage.h"

#include <algorithm>

namespace nutmeghinge {

namespace {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = std::min(text.find_first_not_of(blanks), text.size());
    return text.substr(begin, text.find_last_not_of(blanks) + 1 - begin);
}

} // namespace

std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view lowerCaseName)
{
    for (const auto &[name, value] : headers) {
        if (name == lowerCaseName) {
            return value;
        }
    }
    return std::nullopt;
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::ranges::transform(lower, lower.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return lower;
}

std::vector<std::string> listItems(std::string_view value)
{
    std::vector<std::string> items;
    while (!value.empty()) {
        const std::size_t comma = std::min(value.find(','), value.size());
        const std::string_view item = trimmed(value.substr(0, comma));
        if (!item.empty()) {
            items.push_back(lowerCase(item));
        }
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return items;
}

const char *reasonPhrase(std::uint16_t status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 206:
        return "Partial Content";
    case 301:
        return "Moved Permanently";
    case 302:
        return "Found";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Payload Too Large";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace nutmeghinge
