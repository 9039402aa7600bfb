#include "targetclient.h"

#include "connectioncheck.h"
#include "eventloop.h"
#include "fencetext.h"
#include "httpanswercollector.h"
#include "jsonreader.h"

#include <spdlog/spdlog.h>

namespace nutmeghinge {

namespace {

constexpr Duration probeTimeout = std::chrono::seconds(1);
constexpr Duration checkTimeout = std::chrono::milliseconds(300);
constexpr Duration grantTimeout = std::chrono::milliseconds(500);
constexpr std::size_t answerLimitBytes = 65536;

/** Returns the number of requests in flight that an answer to GET /load states; std::nullopt if it states none. */
std::optional<std::uint32_t> inFlightOf(const CollectedAnswer &answer)
{
    if (!answer.isComplete(200)) {
        return std::nullopt;
    }
    JsonReader reader;
    const std::uint32_t inFlight = reader.number32(reader.parse(answer.body), "inFlight");
    if (reader.error()) {
        spdlog::warn("target: invalid answer to GET /load: {}", *reader.error());
        return std::nullopt;
    }
    return inFlight;
}

std::optional<Fence> newerFenceOf(const CollectedAnswer &answer)
{
    JsonReader reader;
    const std::string text = reader.text(reader.parse(answer.body), "newerFence");
    return reader.error() ? std::nullopt : fenceFromText(text);
}

std::string grantBody(const GrantToTarget &effect)
{
    nlohmann::json shards = nlohmann::json::array();
    for (const ShardIndex shard : effect.shards) {
        shards.push_back(shard.value());
    }
    return jsonToText({{"fence", fenceToText(effect.fence)}, {"shards", std::move(shards)}});
}

/** State of one probe, which consists of a call for health and one for load. */
struct Probe {
    std::optional<bool> healthy;
    bool loadFinished = false;
    std::optional<std::uint32_t> inFlight;
};

} // namespace

struct TargetClient::Private {
    Private(EventLoop &eventLoop, HttpClient &httpClient, EventFunction eventFunction)
        : loop(eventLoop)
        , client(httpClient)
        , events(std::move(eventFunction))
    {
    }

    void send(HttpClientRequest request, Duration timeout, std::function<void(Private &, const CollectedAnswer &)> function)
    {
        request.headers.emplace_back("host", request.to.address + ':' + std::to_string(request.to.port));
        request.deadline = loop.now() + timeout;
        request.progressTimeout = timeout;
        const auto finished = [this, exists = std::weak_ptr<void>(alive), to = request.to, function = std::move(function)](const CollectedAnswer &answer) {
            if (exists.expired()) {
                return;
            }
            if (answer.result != HttpCallResult::Complete) {
                client.closeIdleConnections(to);
            }
            function(*this, answer);
        };
        client.send(std::move(request), std::make_shared<HttpAnswerCollector>(answerLimitBytes, finished));
    }

    void finishProbe(const Probe &probe)
    {
        if (probe.healthy && probe.loadFinished) {
            events(TargetProbed{*probe.healthy, probe.inFlight});
        }
    }

    EventLoop &loop;
    HttpClient &client;
    EventFunction events;
    /** Calls in progress hold a weak reference. Answers that arrive after the client's destruction are ignored. */
    std::shared_ptr<void> alive = std::make_shared<char>();
};

TargetClient::TargetClient(EventLoop &loop, HttpClient &client, EventFunction events)
    : m_d(std::make_unique<Private>(loop, client, std::move(events)))
{
}

TargetClient::~TargetClient() = default;

void TargetClient::run(const ProbeTarget &effect)
{
    const auto probe = std::make_shared<Probe>();
    HttpClientRequest health;
    health.to = effect.endpoint;
    health.path = "/health";
    m_d->send(std::move(health), probeTimeout, [probe](Private &self, const CollectedAnswer &answer) {
        probe->healthy = answer.isComplete(200);
        self.finishProbe(*probe);
    });
    HttpClientRequest load;
    load.to = effect.endpoint;
    load.path = "/load";
    m_d->send(std::move(load), probeTimeout, [probe](Private &self, const CollectedAnswer &answer) {
        probe->inFlight = inFlightOf(answer);
        probe->loadFinished = true;
        self.finishProbe(*probe);
    });
}

void TargetClient::run(const CheckTarget &effect)
{
    const auto finished = [self = m_d.get(), exists = std::weak_ptr<void>(m_d->alive), target = effect.target](TargetChecked::State state) {
        if (!exists.expired()) {
            self->events(TargetChecked{.target = target, .state = state});
        }
    };
    ConnectionCheck::start(m_d->loop, effect.endpoint, checkTimeout, finished);
}

void TargetClient::run(const GrantToTarget &effect)
{
    HttpClientRequest request;
    request.to = effect.endpoint;
    request.method = "POST";
    request.path = "/grants";
    request.headers = {{"content-type", "application/json"}};
    request.body = RequestBody(grantBody(effect));
    m_d->send(std::move(request), grantTimeout, [fence = effect.fence](Private &self, const CollectedAnswer &answer) {
        TargetGrantFinished finished{fence, answer.isComplete(204), std::nullopt};
        if (answer.isComplete(409)) {
            finished.newerFence = newerFenceOf(answer);
        }
        self.events(finished);
    });
}

} // namespace nutmeghinge
