#pragma once

#include "httplistener.h"
#include "units.h"

#include <memory>

namespace nutmeghinge {

class EventLoop;

/**
 * HTTP/1.1 server that hands over the requests of one connection as they come,
 * without waiting for the answers to those before, and sends the answers in the
 * order of the requests. Heads are parsed by picohttpparser. A request with
 * faulty framing is answered 400, 413 or 431 and never handed over. Must be gone
 * before the loop.
 */
class PipelinedServer : public HttpListener
{
public:
    PipelinedServer(EventLoop &loop, Options options, Handler handler);
    ~PipelinedServer() override;
    PipelinedServer(const PipelinedServer &) = delete;
    PipelinedServer &operator=(const PipelinedServer &) = delete;

    std::variant<Endpoint, ListenFault> listen(const Endpoint &endpoint) override;
    void shutDown(std::function<void()> closed) override;
    std::size_t openConnections() const override;
    std::uint64_t refusedInputs() const override;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace nutmeghinge
