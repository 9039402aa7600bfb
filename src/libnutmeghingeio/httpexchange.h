#pragma once

#include "httpmessage.h"

#include <functional>
#include <string>
#include <string_view>

namespace nutmeghinge {

/**
 * One request that a server has received and its answer. Shared between the
 * server and whoever answers. Calls after the caller has gone do nothing.
 */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    /** Sends a whole answer. */
    virtual void answer(std::uint16_t status, HttpHeaders headers, std::string body) = 0;
    /** Begins a streamed answer; with a content length, fewer bytes at the end reset the stream. */
    virtual void beginAnswer(HttpAnswerHead head) = 0;
    /** Sends a part of the body. Returns false where the caller of write() has to wait for the writable function. */
    virtual bool write(std::string_view data) = 0;
    /** Ends a streamed answer cleanly. */
    virtual void finish() = 0;
    /** Ends the answer so that the client cannot take it for whole: resets the stream or connection. */
    virtual void reset() = 0;
    /** Called each time that the data of write() has been taken over. */
    virtual void setWritableFunction(std::function<void()> function) = 0;
    /** Called once if the client goes before the answer is complete. */
    virtual void setClosedFunction(std::function<void()> function) = 0;
};

} // namespace nutmeghinge
