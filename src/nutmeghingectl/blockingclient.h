#pragma once

#include "eventloop.h"
#include "httpanswercollector.h"
#include "httpclient.h"

#include <vector>

namespace nutmeghinge {

/**
 * HTTP requests of a command, each waited for. Owns a loop of its own, so that a
 * command reads from top to bottom.
 */
class BlockingClient
{
public:
    BlockingClient();

    /** Sends one request; its deadline is a few seconds from now. */
    CollectedAnswer send(HttpClientRequest request);
    /** Sends all at once; the answers stand in the order of the requests. */
    std::vector<CollectedAnswer> sendAll(std::vector<HttpClientRequest> requests);

private:
    EventLoop m_loop;
    HttpClient m_client;
};

} // namespace nutmeghinge
