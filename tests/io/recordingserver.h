#pragma once

#include "httpexchange.h"
#include "httpserver.h"

#include <memory>
#include <vector>

namespace nutmeghinge {

/** An HttpServer on the loopback address that records its exchanges, which the test answers. */
struct RecordingServer {
    static constexpr std::uint64_t bodyLimit = 100000;

    explicit RecordingServer(EventLoop &loop)
        : server(loop, {.bodyLimit = bodyLimit, .name = "test"}, [this](std::shared_ptr<HttpExchange> exchange) {
            exchange->setClosedFunction([this] { ++closed; });
            exchanges.push_back(std::move(exchange));
            if (onRequest) {
                onRequest(*exchanges.back());
            }
        })
    {
        endpoint = std::get<Endpoint>(server.listen({"127.0.0.1", 0}));
    }

    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    std::function<void(HttpExchange &)> onRequest;
    /** Number of exchanges whose client disconnected. */
    int closed = 0;
    Endpoint endpoint;
    HttpServer server;
};

} // namespace nutmeghinge
