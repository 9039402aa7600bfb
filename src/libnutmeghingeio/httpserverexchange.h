#pragma once

#include "httpexchange.h"

#include <h2o.h>

#include <memory>
#include <optional>

namespace nutmeghinge {

/**
 * Exchange of the HttpServer: feeds an h2o request from an h2o generator. Kept
 * alive by the h2o request until that ends.
 */
class HttpServerExchange final : public HttpExchange, public std::enable_shared_from_this<HttpServerExchange>
{
public:
    /** Makes an exchange and ties it to the life of the h2o request. */
    static std::shared_ptr<HttpServerExchange> create(h2o_req_t &request);

    explicit HttpServerExchange(h2o_req_t &request);
    ~HttpServerExchange() override;
    HttpServerExchange(const HttpServerExchange &) = delete;
    HttpServerExchange &operator=(const HttpServerExchange &) = delete;

    const HttpRequest &request() const override { return m_request; }
    void answer(std::uint16_t status, HttpHeaders headers, std::string body) override;
    void beginAnswer(HttpAnswerHead head) override;
    bool write(std::string_view data) override;
    void finish() override;
    void reset() override;
    void setWritableFunction(std::function<void()> function) override;
    void setClosedFunction(std::function<void()> function) override;

    /** The client has gone: tells the holder and ends the h2o request. */
    void clientGone();
    /** Called once, when the h2o request has ended for whatever reason. */
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

    bool canWrite() const { return m_h2oRequest != nullptr && m_begun && !m_finished; }
    void addHeaders(const HttpAnswerHead &head);
    void scheduleFlush();
    void send(h2o_send_state_t state);
    void proceed();
    void requestEnded();
    void breakConnection();

    h2o_req_t *m_h2oRequest;
    HttpRequest m_request;
    Generator m_generator{};
    FlushEntry m_flush{};
    std::optional<std::uint64_t> m_contentLength;
    std::uint64_t m_accepted = 0;
    std::string m_inFlight;
    std::string m_pending;
    std::function<void()> m_writableFunction;
    std::function<void()> m_closedFunction;
    std::function<void()> m_endedFunction;
    bool m_begun = false;
    bool m_bodyless = false;
    bool m_started = false;
    bool m_sending = false;
    bool m_finished = false;
    bool m_complete = false;
    bool m_broken = false;
};

} // namespace nutmeghinge
