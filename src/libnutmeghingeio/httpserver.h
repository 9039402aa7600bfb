#pragma once

#include "httplistener.h"
#include "units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace nutmeghinge {

class EventLoop;

/**
 * HTTP/1.1 and cleartext HTTP/2 server based on h2o, with one listener. Requests
 * are passed to the handler once they are complete. A request with invalid
 * framing (two lengths, a length together with chunked encoding, a body over the
 * limit) is answered 400 or 413 and never reaches the handler. Borrows the loop,
 * which must outlive the server.
 */
class HttpServer : public HttpListener
{
public:
    HttpServer(EventLoop &loop, Options options, Handler handler);
    ~HttpServer() override;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

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
