#include "targetannouncer.h"

#include "endpointtext.h"
#include "eventloop.h"
#include "httpanswercollector.h"
#include "jsonreader.h"

#include <spdlog/spdlog.h>

namespace nutmeghinge {

namespace {

constexpr Duration interval = std::chrono::seconds(1);
constexpr std::size_t answerLimitBytes = 4096;

} // namespace

TargetAnnouncer::TargetAnnouncer(EventLoop &loop, Endpoint node, AnnouncementFunction announcement)
    : m_loop(loop)
    , m_client(loop, 0)
    , m_node(std::move(node))
    , m_announcement(std::move(announcement))
{
    m_loop.callEvery(interval, [this, alive = std::weak_ptr<void>(m_alive)] {
        if (!alive.expired()) {
            announce();
        }
    });
}

void TargetAnnouncer::announce()
{
    const std::optional<nlohmann::json> announcement = m_announcement();
    if (!announcement) {
        return;
    }
    HttpClientRequest request;
    request.to = m_node;
    request.method = "POST";
    request.path = "/announce";
    request.headers = {{"host", endpointToText(m_node)}, {"content-type", "application/json"}};
    request.body = RequestBody(jsonToText(*announcement));
    request.deadline = m_loop.now() + interval;
    const auto finished = [](const CollectedAnswer &answer) {
        if (!answer.isComplete(204)) {
            spdlog::warn("target stand-in: the node did not accept the announcement, result {}, status {}: {}",
                         static_cast<int>(answer.result),
                         answer.status,
                         answer.body);
        }
    };
    m_client.send(std::move(request), std::make_shared<HttpAnswerCollector>(answerLimitBytes, finished));
}

} // namespace nutmeghinge
