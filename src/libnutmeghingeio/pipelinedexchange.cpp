#include "pipelinedexchange.h"

#include "eventloop.h"
#include "pipelinedconnection.h"

#include <algorithm>
#include <array>
#include <spdlog/fmt/fmt.h>

namespace nutmeghinge {

namespace {

/** Largest body of an answer that does not wait behind larger ones. */
constexpr std::uint64_t smallAnswerBytes = 8192;
/** Size of the buffered output at which the source of the answer must pause. */
constexpr std::size_t outputLimitBytes = 65536;
/** Headers that the server generates itself; those of the answer are dropped. */
constexpr std::array<std::string_view, 4> serverHeaders{"connection", "content-length", "keep-alive", "transfer-encoding"};

/** Status of an answer that promises nothing about the request. */
constexpr std::uint16_t badGateway = 502;

bool hasNoBody(std::uint16_t status)
{
    return status == 204 || status == 304;
}

} // namespace

PipelinedExchange::PipelinedExchange(PipelinedConnection &connection, HttpRequest request, bool keepAlive)
    : m_connection(&connection)
    , m_request(std::move(request))
    , m_keepAlive(keepAlive)
{
}

Endpoint PipelinedExchange::client() const
{
    return m_connection == nullptr ? Endpoint() : m_connection->client();
}

void PipelinedExchange::answer(std::uint16_t status, HttpHeaders headers, std::string body)
{
    beginAnswer({.status = status, .headers = std::move(headers), .contentLength = body.size()});
    write(body);
    finish();
}

void PipelinedExchange::beginAnswer(HttpAnswerHead head)
{
    if (m_connection == nullptr || m_answerBegun) {
        return;
    }
    m_answerBegun = true;
    m_begunAt = m_connection->m_loop.now();
    m_bodyless = hasNoBody(head.status) || m_request.method == "HEAD";
    m_chunked = !m_bodyless && !head.contentLength;
    m_bodyLeft = head.contentLength;
    m_small = m_bodyless || (head.contentLength && *head.contentLength <= smallAnswerBytes);
    m_keepAlive = !m_connection->beginLastAnswer(*this) && m_keepAlive;
    m_output = fmt::format("HTTP/1.1 {} {}\r\n", head.status, reasonPhrase(head.status));
    for (const auto &[name, value] : head.headers) {
        if (std::ranges::find(serverHeaders, name) == serverHeaders.end()) {
            m_output += fmt::format("{}: {}\r\n", name, value);
        }
    }
    if (head.contentLength) {
        m_output += fmt::format("content-length: {}\r\n", *head.contentLength);
    } else if (m_chunked) {
        m_output += "transfer-encoding: chunked\r\n";
    }
    m_output += m_keepAlive ? "\r\n" : "connection: close\r\n\r\n";
    m_answerBytes = m_output.size();
    if (!m_bodyless && head.contentLength == 0U) {
        return;
    }
    m_connection->flush();
}

bool PipelinedExchange::write(std::string_view data)
{
    if (!canWrite() || m_bodyless || data.empty()) {
        return true;
    }
    if (m_bodyLeft) {
        if (data.size() > *m_bodyLeft) {
            reset();
            return true;
        }
        *m_bodyLeft -= data.size();
    }
    m_answerBytes += data.size();
    if (m_chunked) {
        m_output += fmt::format("{:x}\r\n", data.size());
        m_output += data;
        m_output += "\r\n";
    } else {
        m_output += data;
    }
    PipelinedConnection &connection = *m_connection;
    connection.flush();
    return m_connection == nullptr || (m_output.size() < outputLimitBytes && !connection.isWriteQueueFull());
}

void PipelinedExchange::finish()
{
    if (!canWrite()) {
        return;
    }
    if (!m_bodyless && m_bodyLeft && *m_bodyLeft > 0) {
        reset();
        return;
    }
    if (m_chunked) {
        m_output += "0\r\n\r\n";
    }
    m_finished = true;
    m_connection->flush();
}

void PipelinedExchange::reset()
{
    if (m_connection == nullptr || m_finished) {
        return;
    }
    m_closedFunction = nullptr;
    if (m_connection->isFirst(*this)) {
        m_connection->reset();
        return;
    }
    // Nothing of this answer has been sent, and the answers before it are still to come on this connection.
    m_output.clear();
    m_answerBegun = false;
    m_bodyLeft.reset();
    answer(badGateway, {{"content-type", "text/plain"}}, "the answer of the server broke off\n");
}

} // namespace nutmeghinge
