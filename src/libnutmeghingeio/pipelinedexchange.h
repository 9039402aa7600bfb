#pragma once

#include "httpexchange.h"
#include "units.h"

#include <optional>

namespace nutmeghinge {

class PipelinedConnection;

/** Exchange of a PipelinedConnection: formats the answer and buffers it until the earlier answers are sent. */
class PipelinedExchange : public HttpExchange
{
public:
    PipelinedExchange(PipelinedConnection &connection, HttpRequest request, bool keepAlive);

    const HttpRequest &request() const override { return m_request; }
    Endpoint client() const override;
    void answer(std::uint16_t status, HttpHeaders headers, std::string body) override;
    void beginAnswer(HttpAnswerHead head) override;
    bool write(std::string_view data) override;
    void finish() override;
    void reset() override;
    void setWritableFunction(std::function<void()> function) override { m_writableFunction = std::move(function); }
    void setClosedFunction(std::function<void()> function) override { m_closedFunction = std::move(function); }

private:
    friend class PipelinedConnection;

    bool canWrite() const { return m_connection != nullptr && m_answerBegun && !m_finished; }

    /** Null once the connection or the exchange has ended. */
    PipelinedConnection *m_connection;
    HttpRequest m_request;
    /** True if the connection stays open after this answer. */
    bool m_keepAlive;
    bool m_answerBegun = false;
    MonotonicTime m_begunAt;
    /** Bytes of the answer that were formatted so far. */
    std::uint64_t m_answerBytes = 0;
    /** The answer is complete in so few bytes that it does not wait behind larger ones. */
    bool m_small = false;
    bool m_finished = false;
    bool m_bodyless = false;
    bool m_chunked = false;
    /** Bytes of the body that are still to be written; empty without a content length. */
    std::optional<std::uint64_t> m_bodyLeft;
    /** Formatted output that has not been passed to the socket yet. */
    std::string m_output;
    std::function<void()> m_writableFunction;
    std::function<void()> m_closedFunction;
};

} // namespace nutmeghinge
