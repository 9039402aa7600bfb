#pragma once

#include "eventloop.h"
#include "httpclient.h"
#include "httpserver.h"
#include "nativerequestprotocol.h"
#include "rawserver.h"
#include "requestforwarder.h"
#include "rununtil.h"

#include <optional>
#include <vector>

namespace nutmeghinge {

/**
 * Servers for callers and peers, a forwarder, and a raw server as its target. The
 * test takes the reducer's place with onEvent.
 */
struct ForwarderSetup {
    ForwarderSetup();

    /** Returns the events of one type in the order in which they were emitted. */
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
    /** Runs the loop until count events of one type were emitted. Returns false on timeout. */
    template <typename T>
    bool await(std::size_t count = 1)
    {
        return runUntil(loop, [&] { return all<T>().size() >= count; });
    }
    /** Returns the result of the only finished attempt; std::nullopt if not exactly one has finished or its result has another type. */
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
    /** Sends each request to the target when it arrives. */
    void sendToTarget(bool keepAnswer = false);
    /** Forwards each request to the raw server as a peer when it arrives. */
    void sendToPeer();

    EventLoop loop;
    std::vector<EventBody> events;
    std::function<void(const EventBody &)> onEvent;
    /** Requests that the target received. */
    std::vector<std::string> targetRequests;
    std::function<void(RawConnection &)> onTargetRequest;
    Duration timeout = std::chrono::seconds(30);
    RawServer target;
    HttpClient client;
    HttpServer callers;
    HttpServer peers;
    Endpoint callerEndpoint;
    Endpoint peerEndpoint;
    NativeRequestProtocol protocol;
    RequestForwarder forwarder;
};

} // namespace nutmeghinge
