#include "loadgenerator.h"

#include "endpointtext.h"
#include "eventloop.h"
#include "httpanswercollector.h"
#include "jsonreader.h"
#include "wireheaders.h"

#include <algorithm>
#include <cmath>

namespace nutmeghinge {

namespace {

constexpr std::size_t idleConnectionsPerEntry = 64;
constexpr std::size_t keptBodyBytes = 65536;
constexpr std::size_t executionsLimitBytes = std::size_t(64) << 20U;
constexpr Duration sendInterval = std::chrono::milliseconds(1);
constexpr Duration executionsTimeout = std::chrono::seconds(5);
constexpr Duration firstRetryDelay = std::chrono::milliseconds(10);
constexpr std::uint32_t maxRetryDoublings = 5;
constexpr double microsecondsPerSecond = 1000000;

bool isNotRun(const HttpAnswerHead &head)
{
    return findHeader(head.headers, wire::outcome) == wire::notRun;
}

} // namespace

/** One attempt of a request; checks the answer while it is received. */
class LoadGenerator::Attempt : public HttpAnswerReceiver
{
public:
    Attempt(LoadGenerator &generator, LoadRequest request, std::uint32_t earlierAttempts, std::size_t entry)
        : m_generator(generator)
        , m_request(std::move(request))
        , m_earlierAttempts(earlierAttempts)
        , m_entry(entry)
        , m_sentAt(generator.m_loop.now())
    {
    }

    const LoadRequest &request() const { return m_request; }
    std::uint32_t earlierAttempts() const { return m_earlierAttempts; }
    std::size_t entry() const { return m_entry; }
    MonotonicTime sentAt() const { return m_sentAt; }

    void headReceived(const HttpAnswerHead &head) override { m_head = head; }

    bool bodyReceived(std::string_view data) override
    {
        m_bodyBytes += data.size();
        if (m_body.size() < keptBodyBytes) {
            m_body.append(data);
        }
        return true;
    }

    void finished(HttpCallResult result) override
    {
        const LoadOutcome outcome = outcomeOf(result);
        m_generator.attemptEnded(*this, outcome, m_target);
    }

private:
    LoadOutcome outcomeOf(HttpCallResult result)
    {
        switch (result) {
        case HttpCallResult::Complete:
            return outcomeOfAnswer();
        case HttpCallResult::NotConnected:
            return LoadOutcome::NotRun;
        case HttpCallResult::Truncated:
            return LoadOutcome::Truncated;
        case HttpCallResult::Malformed:
            return LoadOutcome::Wrong;
        case HttpCallResult::ConnectionLost:
        case HttpCallResult::Unacknowledged:
        case HttpCallResult::NoProgress:
        case HttpCallResult::DeadlineExpired:
        case HttpCallResult::Cancelled:
            return LoadOutcome::Unknown;
        }
        return LoadOutcome::Unknown;
    }

    LoadOutcome outcomeOfAnswer()
    {
        if (isNotRun(m_head)) {
            return LoadOutcome::NotRun;
        }
        if (m_head.status != 200) {
            return LoadOutcome::Unknown;
        }
        if (m_request.kind == LoadRequest::Kind::Download) {
            return m_bodyBytes == m_generator.m_options.downloadBytes ? LoadOutcome::Answered : LoadOutcome::Wrong;
        }
        JsonReader reader;
        const nlohmann::json body = reader.parse(m_body);
        const bool isOwn = reader.text(body, "key") == m_request.key && reader.text(body, "order") == m_request.order;
        m_target = reader.text(body, "target");
        return isOwn && !reader.error() ? LoadOutcome::Answered : LoadOutcome::Wrong;
    }

    LoadGenerator &m_generator;
    LoadRequest m_request;
    std::uint32_t m_earlierAttempts;
    std::size_t m_entry;
    MonotonicTime m_sentAt;
    HttpAnswerHead m_head;
    std::string m_body;
    std::uint64_t m_bodyBytes = 0;
    std::string m_target;
};

LoadGenerator::LoadGenerator(EventLoop &loop, LoadOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_client(loop, idleConnectionsPerEntry)
    , m_random(m_options.seed)
    , m_keys(m_options.keys, m_options.skew)
    , m_report(static_cast<std::size_t>(std::ceil(2 * m_options.rate * static_cast<double>(m_options.duration.count()) / microsecondsPerSecond)))
{
}

void LoadGenerator::start(std::function<void()> finished)
{
    m_finished = std::move(finished);
    m_start = m_loop.now();
    m_nextDue = m_start;
    sendDueRequests();
}

void LoadGenerator::sendDueRequests()
{
    std::exponential_distribution<double> gap(m_options.rate / microsecondsPerSecond);
    const MonotonicTime now = m_loop.now();
    const MonotonicTime end = m_start + m_options.duration;
    while (m_nextDue <= now && m_nextDue < end) {
        ++m_openRequests;
        send(nextRequest(), 0, m_nextEntry++);
        m_nextDue += Duration(std::max<std::int64_t>(1, std::llround(gap(m_random))));
    }
    m_allSent = m_nextDue >= end;
    if (m_allSent) {
        finishIfDone();
        return;
    }
    m_loop.callLater(sendInterval, [this, alive = std::weak_ptr<void>(m_alive)] {
        if (!alive.expired()) {
            sendDueRequests();
        }
    });
}

LoadRequest LoadGenerator::nextRequest()
{
    LoadRequest request;
    const auto percent = std::uniform_int_distribution<std::uint32_t>(0, 99)(m_random);
    if (percent < m_options.orderPercent) {
        request.kind = LoadRequest::Kind::Order;
    } else if (percent < m_options.orderPercent + m_options.downloadPercent) {
        request.kind = LoadRequest::Kind::Download;
    }
    request.key = "customer-" + std::to_string(m_keys.draw(m_random));
    request.order = "load-" + std::to_string(m_options.seed) + '-' + std::to_string(++m_sequence);
    request.due = m_nextDue;
    return request;
}

void LoadGenerator::send(const LoadRequest &request, std::uint32_t earlierAttempts, std::size_t entry)
{
    HttpClientRequest message = toHttpRequest(request);
    message.to = m_options.entries[entry % m_options.entries.size()];
    m_client.send(std::move(message), std::make_shared<Attempt>(*this, request, earlierAttempts, entry));
}

HttpClientRequest LoadGenerator::toHttpRequest(const LoadRequest &request) const
{
    HttpClientRequest message;
    message.headers = {{"host", m_options.host}, {m_options.keyHeader, request.key}, {"x-order", request.order}};
    message.path = "/lookup";
    if (request.kind == LoadRequest::Kind::Order) {
        message.method = "POST";
        message.path = "/orders";
        message.headers.emplace_back(wire::idempotencyKey, request.order);
        message.body = RequestBody(std::string(m_options.orderBytes, 'x'));
    } else if (request.kind == LoadRequest::Kind::Download) {
        message.path = "/download?bytes=" + std::to_string(m_options.downloadBytes);
    }
    const auto wait = std::chrono::ceil<std::chrono::seconds>(m_options.timeout);
    message.headers.emplace_back(wire::prefer, "wait=" + std::to_string(wait.count()));
    message.deadline = request.due + m_options.timeout;
    message.progressTimeout = m_options.timeout;
    return message;
}

void LoadGenerator::attemptEnded(const Attempt &attempt, LoadOutcome outcome, const std::string &target)
{
    const MonotonicTime now = m_loop.now();
    m_report.attemptEnded(attempt.request().key, outcome, attempt.sentAt(), now);
    if (shouldRetry(attempt, outcome)) {
        m_report.countRetry();
        const Duration delay = firstRetryDelay * (1U << std::min(attempt.earlierAttempts(), maxRetryDoublings));
        // Uses the next entry, since this one may be why the attempt failed.
        const auto resend = [this, request = attempt.request(), attempts = attempt.earlierAttempts() + 1, entry = attempt.entry() + 1] {
            send(request, attempts, entry);
        };
        m_loop.callLater(delay, [resend, alive = std::weak_ptr<void>(m_alive)] {
            if (!alive.expired()) {
                resend();
            }
        });
        return;
    }
    m_report.requestEnded(attempt.request(), outcome, target, now);
    --m_openRequests;
    finishIfDone();
}

bool LoadGenerator::shouldRetry(const Attempt &attempt, LoadOutcome outcome) const
{
    const Duration delay = firstRetryDelay * (1U << std::min(attempt.earlierAttempts(), maxRetryDoublings));
    return m_options.retry && outcome == LoadOutcome::NotRun && m_loop.now() + delay < attempt.request().due + m_options.timeout;
}

void LoadGenerator::finishIfDone()
{
    if (!m_allSent || m_openRequests > 0) {
        return;
    }
    m_report.finish(m_start, m_loop.now());
    readExecutions();
}

void LoadGenerator::readExecutions()
{
    // The additional 1 is for the call of onExecutionsRead() below, which ends the run if there are no targets.
    m_pendingExecutionReads = m_options.targets.size() + 1;
    for (const Endpoint &target : m_options.targets) {
        HttpClientRequest request;
        request.to = target;
        request.path = "/executions";
        request.headers = {{"host", endpointToText(target)}};
        request.deadline = m_loop.now() + executionsTimeout;
        const auto received = [this](const CollectedAnswer &answer) {
            JsonReader reader;
            const nlohmann::json body = reader.parse(answer.body);
            if (!answer.isComplete(200) || reader.error()) {
                ++m_unreadTargets;
            } else {
                for (const auto &[order, count] : body.items()) {
                    m_executions[order] += reader.element(count, "executions");
                }
            }
            onExecutionsRead();
        };
        m_client.send(std::move(request), std::make_shared<HttpAnswerCollector>(executionsLimitBytes, received));
    }
    onExecutionsRead();
}

void LoadGenerator::onExecutionsRead()
{
    if (--m_pendingExecutionReads > 0) {
        return;
    }
    m_report.compareExecutions(m_executions, m_unreadTargets);
    m_finished();
}

} // namespace nutmeghinge
