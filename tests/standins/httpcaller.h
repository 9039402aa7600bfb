#pragma once

#include "httpanswercollector.h"
#include "httpclient.h"
#include "looprunner.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace nutmeghinge {

/** HTTP client for tests. Sends requests to a stand-in that runs on the same event loop. */
class HttpCaller
{
public:
    explicit HttpCaller(EventLoop &loop)
        : m_loop(loop)
        , m_runner(loop)
        , m_client(loop, 1)
    {
    }

    void setEndpoint(const Endpoint &endpoint) { m_endpoint = endpoint; }
    LoopRunner &runner() { return m_runner; }
    HttpClient &client() { return m_client; }

    /** Answer of a request in flight; empty until the request has ended. */
    using Pending = std::shared_ptr<std::optional<CollectedAnswer>>;

    /** Sends a request and returns at once. The request times out after 2 s. */
    Pending start(const std::string &method, const std::string &path, const HttpHeaders &headers = {}, const std::string &body = {})
    {
        auto pending = std::make_shared<std::optional<CollectedAnswer>>();
        HttpClientRequest request;
        request.to = m_endpoint;
        request.method = method;
        request.path = path;
        request.headers = headers;
        request.headers.emplace_back("host", "standin");
        request.body = RequestBody(body);
        request.deadline = m_loop.now() + std::chrono::seconds(2);
        const auto collector =
            std::make_shared<HttpAnswerCollector>(std::size_t(64) << 20U, [pending](CollectedAnswer answer) { *pending = std::move(answer); });
        m_lastCall = m_client.send(std::move(request), collector);
        return pending;
    }

    /** Runs the loop until the request has ended. Returns a default answer if the runner times out first. */
    CollectedAnswer finish(const Pending &pending)
    {
        m_runner.runUntil([&] { return pending->has_value(); });
        return pending->value_or(CollectedAnswer());
    }

    /** Sends a request and runs the loop until it has ended. */
    CollectedAnswer call(const std::string &method, const std::string &path, const HttpHeaders &headers = {}, const std::string &body = {})
    {
        return finish(start(method, path, headers, body));
    }

    CollectedAnswer post(const std::string &path, const nlohmann::json &body) { return call("POST", path, {}, body.dump()); }

    /** Sends a GET request and returns the body of the answer as JSON. */
    nlohmann::json read(const std::string &path) { return nlohmann::json::parse(call("GET", path).body); }

    /** Cancels the request that was sent last. */
    void cancelLast() { m_client.cancel(m_lastCall); }

private:
    EventLoop &m_loop;
    LoopRunner m_runner;
    HttpClient m_client;
    Endpoint m_endpoint;
    HttpClient::CallId m_lastCall = 0;
};

} // namespace nutmeghinge
