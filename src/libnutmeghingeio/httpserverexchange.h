#pragma once

#include "httpexchange.h"

#include <h2o.h>

#include <memory>
#include <optional>

namespace nutmeghinge {

/**
 * Exchange of an HttpServer: sends the answer to an h2o request through an h2o
 * generator. The h2o request keeps the exchange alive until the request ends.
 */
class HttpServerExchange final : public HttpExchange, public std::enable_shared_from_this<HttpServerExchange>
{
public:
    /** Creates an exchange that the h2o request co-owns until it ends. charge: kept as long as a copy of the body exists. */
    static std::shared_ptr<HttpServerExchange> create(h2o_req_t &request, std::shared_ptr<const void> charge);

    HttpServerExchange(h2o_req_t &request, std::shared_ptr<const void> charge);
    ~HttpServerExchange() override;
    HttpServerExchange(const HttpServerExchange &) = delete;
    HttpServerExchange &operator=(const HttpServerExchange &) = delete;

    const HttpRequest &request() const override { return m_request; }
    Endpoint client() const override;
    void answer(std::uint16_t status, HttpHeaders headers, std::string body) override;
    void beginAnswer(HttpAnswerHead head) override;
    bool write(std::string_view data) override;
    void finish() override;
    void reset() override;
    void setWritableFunction(std::function<void()> function) override;
    void setClosedFunction(std::function<void()> function) override;

    /** Handles a closed client connection: ends the h2o request and calls the closed function. */
    void onClientDisconnected();
    /** Sets the function that is called once when the h2o request ends, for any reason. */
    void setEndedFunction(std::function<void()> function) { m_endedFunction = std::move(function); }

private:
    struct Generator {
        h2o_generator_t super;
        HttpServerExchange *exchange;
    };
    struct FlushEntry {
        h2o_timeout_entry_t super;
        HttpServerExchange *exchange;
    };

    bool canWrite() const { return m_h2oRequest != nullptr && m_answerBegun && !m_finished; }
    void addHeaders(const HttpAnswerHead &head);
    void scheduleFlush();
    void send(h2o_send_state_t state);
    void proceed();
    void onRequestEnded();
    void resetHttp1Connection();

    h2o_req_t *m_h2oRequest;
    HttpRequest m_request;
    Generator m_generator{};
    FlushEntry m_flush{};
    std::optional<std::uint64_t> m_contentLength;
    /** Bytes of the body passed to write() so far. */
    std::uint64_t m_bodyBytesWritten = 0;
    /** Data that h2o is sending. */
    std::string m_inFlight;
    /** Data that has not been passed to h2o yet. */
    std::string m_pending;
    std::function<void()> m_writableFunction;
    std::function<void()> m_closedFunction;
    std::function<void()> m_endedFunction;
    /** True once the head of the answer has been set. */
    bool m_answerBegun = false;
    bool m_bodyless = false;
    /** True once h2o has been told to start the response. */
    bool m_responseStarted = false;
    bool m_sending = false;
    bool m_finished = false;
    /** True once the end of a complete answer has been passed to h2o. */
    bool m_finalStateSent = false;
    bool m_resetRequested = false;
};

} // namespace nutmeghinge
