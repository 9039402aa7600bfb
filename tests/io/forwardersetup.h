#pragma once

#include "eventloop.h"
#include "httpclient.h"
#include "httpserver.h"
#include "ownrequestprotocol.h"
#include "rawserver.h"
#include "requestforwarder.h"
#include "rununtil.h"

#include <optional>
#include <vector>

namespace nutmeghinge {

/**
 * Servers for callers and peers, a forwarder, and a raw target. The test plays
 * the reducer by onEvent.
 */
struct ForwarderSetup {
    ForwarderSetup();

    /** Events of one kind, in order. */
    template <typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const EventBody &event : events) {
            if (const T *body = std::get_if<T>(&event)) {
                found.push_back(*body);
            }
        }
        return found;
    }
    template <typename T>
    bool await(std::size_t count = 1)
    {
        return runUntil(loop, [&] { return all<T>().size() >= count; });
    }
    /** Result of the only attempt that has finished. */
    template <typename T>
    std::optional<T> result() const
    {
        const auto finished = all<AttemptFinished>();
        if (finished.size() != 1 || !std::holds_alternative<T>(finished[0].result)) {
            return std::nullopt;
        }
        return std::get<T>(finished[0].result);
    }

    SendToTarget toTarget(RequestId request, std::uint64_t attempt = 7) const;
    ForwardRequest toPeer(RequestId request, std::uint64_t attempt = 7) const;
    /** Sends each request on as it arrives. */
    void sendToTarget(bool keepAnswer = false);
    void sendToPeer();

    EventLoop loop;
    std::vector<EventBody> events;
    std::function<void(const EventBody &)> onEvent;
    /** Heads of requests that the target received. */
    std::vector<std::string> targetRequests;
    std::function<void(RawConnection &)> onTargetRequest;
    Duration timeout = std::chrono::seconds(30);
    RawServer target;
    HttpClient client;
    HttpServer callers;
    HttpServer peers;
    Endpoint callerEndpoint;
    Endpoint peerEndpoint;
    OwnRequestProtocol protocol;
    RequestForwarder forwarder;
};

} // namespace nutmeghinge
