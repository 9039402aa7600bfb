#pragma once

#include "httplistener.h"
#include "units.h"

#include <memory>

namespace nutmeghinge {

class EventLoop;

/**
 * HTTP/1.1 server with pipelining: passes the requests of a connection to the
 * handler as they arrive, without waiting for earlier answers, and sends the
 * answers in the order of the requests. Heads are parsed by picohttpparser. A
 * request with invalid framing is answered 400, 413 or 431 and never reaches the
 * handler. Borrows the loop, which must outlive the server.
 */
class PipelinedServer : public HttpListener
{
public:
    PipelinedServer(EventLoop &loop, Options options, Handler handler);
    ~PipelinedServer() override;
    PipelinedServer(const PipelinedServer &) = delete;
    PipelinedServer &operator=(const PipelinedServer &) = delete;

    std::variant<Endpoint, ListenError> listen(const Endpoint &endpoint) override;
    void announceClose() override;
    void shutDown(std::function<void()> closed) override;
    std::size_t openConnections() const override;
    std::uint64_t refusedInputs() const override;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
