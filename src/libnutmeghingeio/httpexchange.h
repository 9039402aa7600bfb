#pragma once

#include "endpoint.h"
#include "httpmessage.h"

#include <functional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/**
 * One request that a server has received, and its answer. Shared between the
 * server and the code that answers. After the client has disconnected, calls have
 * no effect.
 */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    /** Returns the endpoint from which the client connected; empty if it is not known or the client has disconnected. */
    virtual Endpoint client() const = 0;
    /** Sends a complete answer. */
    virtual void answer(std::uint16_t status, HttpHeaders headers, std::string body) = 0;
    /** Begins a streamed answer. If a content length is given, a body that is shorter or longer resets the stream. */
    virtual void beginAnswer(HttpAnswerHead head) = 0;
    /** Sends a part of the body. Returns false if the caller must wait for the writable function before it writes more. */
    virtual bool write(std::string_view data) = 0;
    /** Ends a streamed answer normally. */
    virtual void finish() = 0;
    /** Aborts the answer by resetting the stream or connection, so that the client cannot mistake it for complete. */
    virtual void reset() = 0;
    /** Sets the function that is called each time the server can take more data. */
    virtual void setWritableFunction(std::function<void()> function) = 0;
    /** Sets the function that is called once if the client disconnects before the answer is complete. */
    virtual void setClosedFunction(std::function<void()> function) = 0;
};

} // namespace nutmeghinge
