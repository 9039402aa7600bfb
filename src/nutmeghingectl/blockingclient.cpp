#include "blockingclient.h"

namespace nutmeghinge {

namespace {

constexpr Duration requestTimeout = std::chrono::seconds(5);
constexpr std::size_t answerLimitBytes = 67108864;
constexpr std::size_t idleConnections = 4;

} // namespace

BlockingClient::BlockingClient()
    : m_client(m_loop, idleConnections)
{
}

CollectedAnswer BlockingClient::send(HttpClientRequest request)
{
    std::vector<HttpClientRequest> requests;
    requests.push_back(std::move(request));
    return std::move(sendAll(std::move(requests)).front());
}

std::vector<CollectedAnswer> BlockingClient::sendAll(std::vector<HttpClientRequest> requests)
{
    std::vector<CollectedAnswer> answers(requests.size());
    std::size_t open = requests.size();
    for (std::size_t index = 0; index < requests.size(); ++index) {
        requests[index].deadline = m_loop.now() + requestTimeout;
        const auto finished = [this, &answers, &open, index](CollectedAnswer answer) {
            answers[index] = std::move(answer);
            if (--open == 0) {
                m_loop.stop();
            }
        };
        m_client.send(std::move(requests[index]), std::make_shared<HttpAnswerCollector>(answerLimitBytes, finished));
    }
    if (open > 0) {
        m_loop.run();
    }
    return answers;
}

} // namespace nutmeghinge
