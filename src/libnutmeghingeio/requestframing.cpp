#include "requestframing.h"

#include <algorithm>
#include <strings.h>

namespace nutmeghinge {

namespace {

std::string_view takeLine(std::string_view &bytes)
{
    const std::size_t end = std::min(bytes.find('\n'), bytes.size());
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(std::min(end + 1, bytes.size()));
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

bool isHeader(std::string_view line, std::string_view name)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::string_view found = line.substr(0, colon);
    while (found.ends_with(' ') || found.ends_with('\t')) {
        found.remove_suffix(1);
    }
    return found.size() == name.size() && strncasecmp(found.data(), name.data(), name.size()) == 0;
}

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

/** Returns whether the text has no blank and no control character, as required of the parts of a request line and of header names. */
bool hasNoBlankOrControl(std::string_view text)
{
    return std::ranges::none_of(text, [](char c) { return c == ' ' || isControl(c); });
}

bool isHeaderName(std::string_view name)
{
    return !name.empty() && hasNoBlankOrControl(name) && name.find(':') == std::string_view::npos;
}

bool isHeaderValue(std::string_view value)
{
    return std::ranges::none_of(value, [](char c) { return c != '\t' && isControl(c); });
}

} // namespace

bool hasSingleFraming(std::string_view bytesFromHead)
{
    std::string_view line = takeLine(bytesFromHead);
    while (line.empty() && !bytesFromHead.empty()) {
        line = takeLine(bytesFromHead);
    }
    int framings = 0;
    for (line = takeLine(bytesFromHead); !line.empty(); line = takeLine(bytesFromHead)) {
        if (isHeader(line, "content-length") || isHeader(line, "transfer-encoding")) {
            ++framings;
        }
    }
    return framings <= 1;
}

bool isWritableAsHttp1(const HttpRequest &request)
{
    if (request.method.empty() || request.path.empty() || !hasNoBlankOrControl(request.method) || !hasNoBlankOrControl(request.path)
        || !hasNoBlankOrControl(request.host)) {
        return false;
    }
    return std::ranges::all_of(request.headers, [](const auto &header) { return isHeaderName(header.first) && isHeaderValue(header.second); });
}

} // namespace nutmeghinge
