#include "httpanswerparser.h"

#include "numberparsing.h"

#include <algorithm>
#include <array>

namespace nutmeghinge {

namespace {

constexpr std::size_t maxHeaders = 100;
/** Largest chunk extension or trailer; a longer one would never end. */
constexpr std::size_t maxChunkOverheadBytes = 65536;
constexpr int switchingProtocols = 101;
constexpr int firstFinalStatus = 200;

bool hasItem(const std::optional<std::string_view> &list, std::string_view item)
{
    const std::vector<std::string> items = listItems(list.value_or(""));
    return std::ranges::find(items, item) != items.end();
}

std::size_t countHeaders(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count(headers, name, [](const auto &header) { return std::string_view(header.first); }));
}

bool parseContentLength(HttpAnswerHead &head)
{
    head.contentLength = parseNumber(*findHeader(head.headers, "content-length"));
    return head.contentLength.has_value();
}

bool isBodyless(int status)
{
    return status == 204 || status == 304;
}

} // namespace

std::variant<HttpAnswerParser::Incomplete, HttpAnswerParser::Malformed, HttpAnswerParser::Head> HttpAnswerParser::parseHead(std::string_view bytes)
{
    std::size_t offset = 0;
    for (;;) {
        std::array<phr_header, maxHeaders> headers{};
        std::size_t count = headers.size();
        int minorVersion = 0;
        int status = 0;
        const char *reason = nullptr;
        std::size_t reasonSize = 0;
        const std::string_view rest = bytes.substr(offset);
        const int size = phr_parse_response(rest.data(), rest.size(), &minorVersion, &status, &reason, &reasonSize, headers.data(), &count, 0);
        if (size == -2) {
            return Incomplete();
        }
        if (size < 0 || status < 100 || status > 999 || status == switchingProtocols) {
            return Malformed();
        }
        offset += static_cast<std::size_t>(size);
        if (status < firstFinalStatus) {
            continue;
        }
        Head result;
        result.headSize = offset;
        result.head.status = static_cast<std::uint16_t>(status);
        for (const phr_header &header : std::span(headers).first(count)) {
            if (header.name == nullptr) {
                return Malformed();
            }
            result.head.headers.emplace_back(lowerCase({header.name, header.name_len}), std::string(header.value, header.value_len));
        }
        if (!interpretHead(minorVersion, result.head)) {
            return Malformed();
        }
        return result;
    }
}

bool HttpAnswerParser::interpretHead(int minorVersion, HttpAnswerHead &head)
{
    const std::optional<std::string_view> connection = findHeader(head.headers, "connection");
    m_persistent = minorVersion >= 1 ? !hasItem(connection, "close") : hasItem(connection, "keep-alive");
    const std::size_t encodings = countHeaders(head.headers, "transfer-encoding");
    const std::size_t lengths = countHeaders(head.headers, "content-length");
    if (encodings + lengths > 1) {
        return false;
    }
    if (encodings == 1 && (minorVersion < 1 || lowerCase(*findHeader(head.headers, "transfer-encoding")) != "chunked")) {
        return false;
    }
    if (lengths == 1 && !parseContentLength(head)) {
        return false;
    }
    chooseFraming(head, encodings == 1);
    return true;
}

void HttpAnswerParser::chooseFraming(const HttpAnswerHead &head, bool chunked)
{
    if (m_answersHead || isBodyless(head.status)) {
        m_framing = Framing::NoBody;
    } else if (chunked) {
        m_framing = Framing::Chunked;
        m_chunks.consume_trailer = 1;
    } else if (head.contentLength) {
        m_framing = Framing::Length;
        m_bytesLeft = *head.contentLength;
    }
}

HttpAnswerParser::BodyPart HttpAnswerParser::parseBody(std::span<char> bytes)
{
    if (m_framing == Framing::UntilClose) {
        return {.data = {bytes.data(), bytes.size()}};
    }
    if (m_framing == Framing::Chunked) {
        return parseChunks(bytes);
    }
    const std::size_t size = std::min<std::uint64_t>(m_bytesLeft, bytes.size());
    m_bytesLeft -= size;
    return {.data = {bytes.data(), size}, .complete = m_bytesLeft == 0, .leftover = size < bytes.size()};
}

HttpAnswerParser::BodyPart HttpAnswerParser::parseChunks(std::span<char> bytes)
{
    if (bytes.empty()) {
        return {};
    }
    std::size_t size = bytes.size();
    const ssize_t left = phr_decode_chunked(&m_chunks, bytes.data(), &size);
    m_chunkOverhead = size > 0 ? 0 : m_chunkOverhead + bytes.size();
    if (left == -1 || (left == -2 && m_chunkOverhead > maxChunkOverheadBytes)) {
        return {.data = {}, .malformed = true};
    }
    return {.data = {bytes.data(), size}, .complete = left >= 0, .leftover = left > 0};
}

} // namespace nutmeghinge
