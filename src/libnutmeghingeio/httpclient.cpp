#include "httpclient.h"

#include "connectionbudget.h"
#include "eventloop.h"
#include "httpclientconnection.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace nutmeghinge {

namespace {

constexpr std::size_t readBufferBytes = 65536;

struct EndpointHash {
    std::size_t operator()(const Endpoint &endpoint) const { return std::hash<std::string>()(endpoint.address) ^ endpoint.port; }
};

} // namespace

struct HttpClient::Private final : HttpClientConnection::Owner {
    using Exchange = HttpClientConnection::Exchange;

    Private(EventLoop &usedLoop, std::size_t idleLimit, ConnectionBudget *usedBudget, LinkTraffic *usedTraffic)
        : loop(usedLoop)
        , idlePerEndpoint(idleLimit)
        , budget(usedBudget)
        , traffic(usedTraffic)
        , buffer(readBufferBytes)
    {
        finishTimer = new uv_timer_t;
        uv_timer_init(loop.handle(), finishTimer);
        finishTimer->data = this;
    }

    ~Private() override
    {
        for (HttpClientConnection *connection : connections) {
            connection->close();
        }
        uv_close(reinterpret_cast<uv_handle_t *>(finishTimer), [](uv_handle_t *handle) { delete reinterpret_cast<uv_timer_t *>(handle); });
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void exchangeEnded(HttpClientConnection &connection, Exchange exchange, HttpCallResult result, bool reusable) override
    {
        running.erase(exchange.call);
        if (reusable) {
            addToPool(connection);
        } else {
            remove(connection);
        }
        exchange.receiver->finished(result);
    }

    void idleClosed(HttpClientConnection &connection) override
    {
        std::erase(idle[connection.endpoint()], &connection);
        remove(connection);
    }

    void add(HttpClientConnection &connection)
    {
        if (connections.insert(&connection).second && budget != nullptr) {
            budget->addOwn();
        }
    }

    void remove(HttpClientConnection &connection)
    {
        if (connections.erase(&connection) > 0 && budget != nullptr) {
            budget->removeOwn();
        }
    }

    std::span<char> readBuffer() override { return buffer; }
    void countSent(ConnectionUse use, std::size_t bytes) override
    {
        if (traffic != nullptr) {
            traffic->of(use).sent += bytes;
        }
    }
    void countReceived(ConnectionUse use, std::size_t bytes) override
    {
        if (traffic != nullptr) {
            traffic->of(use).received += bytes;
        }
    }

    void addToPool(HttpClientConnection &connection)
    {
        std::vector<HttpClientConnection *> &pool = idle[connection.endpoint()];
        if (pool.size() >= idlePerEndpoint) {
            closeConnection(*(pool.empty() ? &connection : pool.front()));
        }
        if (connections.contains(&connection)) {
            pool.push_back(&connection);
        }
    }

    void closeConnection(HttpClientConnection &connection)
    {
        std::erase(idle[connection.endpoint()], &connection);
        remove(connection);
        connection.close();
    }

    bool sendOnIdle(Exchange &exchange)
    {
        std::vector<HttpClientConnection *> &pool = idle[exchange.request.to];
        const auto mayCarry = [&](const HttpClientConnection *connection) { return !connection->hasCarried(exchange.request.answerId); };
        for (auto found = std::find_if(pool.rbegin(), pool.rend(), mayCarry); found != pool.rend();
             found = std::find_if(pool.rbegin(), pool.rend(), mayCarry)) {
            HttpClientConnection *connection = *found;
            std::erase(pool, connection);
            const CallId call = exchange.call;
            if (connection->reuse(exchange)) {
                running[call] = connection;
                return true;
            }
            closeConnection(*connection);
        }
        return false;
    }

    bool sendOnNew(Exchange &exchange)
    {
        auto *connection = new HttpClientConnection(loop, *this);
        const CallId call = exchange.call;
        if (!connection->open(exchange)) {
            connection->close();
            return false;
        }
        add(*connection);
        running[call] = connection;
        return true;
    }

    void finishLater(Exchange exchange, HttpCallResult result)
    {
        pendingResults.emplace_back(std::move(exchange.receiver), result);
        const auto finishAll = [](uv_timer_t *timer) { static_cast<Private *>(timer->data)->deliverResults(); };
        uv_timer_start(finishTimer, finishAll, 0, 0);
    }

    void deliverResults()
    {
        const auto ended = std::exchange(pendingResults, {});
        for (const auto &[receiver, result] : ended) {
            receiver->finished(result);
        }
    }

    EventLoop &loop;
    std::size_t idlePerEndpoint;
    ConnectionBudget *budget;
    LinkTraffic *traffic;
    std::vector<char> buffer;
    CallId lastCall = 0;
    std::unordered_set<HttpClientConnection *> connections;
    std::unordered_map<CallId, HttpClientConnection *> running;
    std::unordered_map<Endpoint, std::vector<HttpClientConnection *>, EndpointHash> idle;
    std::vector<std::pair<std::shared_ptr<HttpAnswerReceiver>, HttpCallResult>> pendingResults;
    uv_timer_t *finishTimer = nullptr;
};

HttpClient::HttpClient(EventLoop &loop, std::size_t idlePerEndpoint, ConnectionBudget *budget, LinkTraffic *traffic)
    : m_d(std::make_unique<Private>(loop, idlePerEndpoint, budget, traffic))
{
}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::send(HttpClientRequest request, std::shared_ptr<HttpAnswerReceiver> receiver)
{
    const CallId call = ++m_d->lastCall;
    HttpClientConnection::Exchange exchange{call, std::move(request), std::move(receiver)};
    const bool reuse = !exchange.request.freshConnection;
    if (m_d->loop.now() >= exchange.request.deadline) {
        m_d->finishLater(std::move(exchange), HttpCallResult::NotConnected);
        return call;
    }
    if ((reuse && m_d->sendOnIdle(exchange)) || m_d->sendOnNew(exchange)) {
        return call;
    }
    m_d->finishLater(std::move(exchange), HttpCallResult::NotConnected);
    return call;
}

void HttpClient::cancel(CallId call)
{
    const auto found = m_d->running.find(call);
    if (found == m_d->running.end()) {
        return;
    }
    HttpClientConnection *connection = found->second;
    m_d->running.erase(found);
    m_d->remove(*connection);
    m_d->finishLater(connection->abandon(), HttpCallResult::Cancelled);
}

void HttpClient::resume(CallId call)
{
    const auto found = m_d->running.find(call);
    if (found != m_d->running.end()) {
        found->second->resume();
    }
}

void HttpClient::closeIdleConnections(const Endpoint &endpoint)
{
    const std::vector<HttpClientConnection *> dropped = std::exchange(m_d->idle[endpoint], {});
    for (HttpClientConnection *connection : dropped) {
        m_d->remove(*connection);
        connection->close();
    }
}

} // namespace nutmeghinge
