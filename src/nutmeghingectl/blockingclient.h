#pragma once

#include "eventloop.h"
#include "httpanswercollector.h"
#include "httpclient.h"

#include <vector>

namespace nutmeghinge {

/**
 * Sends HTTP requests and blocks until they are answered. Owns its own event loop,
 * so that the code of a command is sequential.
 */
class BlockingClient
{
public:
    BlockingClient();

    /** Sends one request, with a timeout of a few seconds, and returns its answer. */
    CollectedAnswer send(HttpClientRequest request);
    /** Sends all requests concurrently and returns their answers in the order of the requests. */
    std::vector<CollectedAnswer> sendAll(std::vector<HttpClientRequest> requests);

private:
    EventLoop m_loop;
    HttpClient m_client;
};

} // namespace nutmeghinge
