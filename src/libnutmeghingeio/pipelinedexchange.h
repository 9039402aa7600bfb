#pragma once

#include "httpexchange.h"

#include <optional>

namespace nutmeghinge {

class PipelinedConnection;

/** Exchange of a PipelinedConnection: formats the answer and holds it until the ones before it are sent. */
class PipelinedExchange : public HttpExchange
{
public:
    PipelinedExchange(PipelinedConnection &connection, HttpRequest request, bool keepAlive);

    const HttpRequest &request() const override { return m_request; }
    void answer(std::uint16_t status, HttpHeaders headers, std::string body) override;
    void beginAnswer(HttpAnswerHead head) override;
    bool write(std::string_view data) override;
    void finish() override;
    void reset() override;
    void setWritableFunction(std::function<void()> function) override { m_writable = std::move(function); }
    void setClosedFunction(std::function<void()> function) override { m_closed = std::move(function); }

private:
    friend class PipelinedConnection;

    bool canWrite() const { return m_connection != nullptr && m_begun && !m_finished; }

    /** Null once the connection or the exchange has ended. */
    PipelinedConnection *m_connection;
    HttpRequest m_request;
    /** The connection may serve another request after this one. */
    bool m_keepAlive;
    bool m_begun = false;
    bool m_finished = false;
    bool m_bodyless = false;
    bool m_chunked = false;
    std::optional<std::uint64_t> m_bodyLeft;
    /** Formatted and not yet handed to the socket. */
    std::string m_output;
    std::function<void()> m_writable;
    std::function<void()> m_closed;
};

} // namespace nutmeghinge
