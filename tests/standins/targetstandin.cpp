#include "targetstandin.h"

#include "eventloop.h"
#include "fencetext.h"
#include "httpexchange.h"
#include "jsonanswer.h"
#include "jsonreader.h"
#include "socketsilencer.h"
#include "wireheaders.h"

#include <algorithm>
#include <charconv>
#include <iostream>

namespace nutmeghinge {

namespace {

using nlohmann::json;

constexpr std::uint64_t bodyLimitBytes = std::uint64_t(64) << 20U;
constexpr std::uint64_t coldFactor = 10;
constexpr std::size_t downloadChunkBytes = 65536;
constexpr std::size_t maxLoadSamples = 100000;
/** Delay before the connections are silenced, so that the answer to the control request can be sent first. */
constexpr Duration silenceDelay = std::chrono::milliseconds(20);

std::string headerOf(const HttpRequest &request, std::string_view name)
{
    return std::string(findHeader(request.headers, name).value_or(std::string_view()));
}

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isComplete = error == std::errc() && end == text.data() + text.size();
    return isComplete ? std::optional(number) : std::nullopt;
}

/** Returns whether the HTTP method changes no state at the target. */
bool isSafe(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::string orderOf(const HttpRequest &request)
{
    std::string order = headerOf(request, "x-order");
    return order.empty() ? headerOf(request, wire::idempotencyKey) : order;
}

} // namespace

/** A request that waits for a slot or runs. */
struct TargetStandin::Work {
    std::shared_ptr<HttpExchange> exchange;
    std::string key;
    std::string order;
    std::string requestId;
    /** Time at which the caller stops waiting; empty if the request states no deadline. */
    std::optional<MonotonicTime> deadline;
    /** Value of m_silences at the arrival of the request. */
    std::uint64_t silences = 0;
    bool hasSlot = false;
    bool ended = false;
    bool cancelled = false;
    /** Bytes of a download that have not been written yet. */
    std::uint64_t bytesLeft = 0;
    /** Continues writing a download. */
    std::function<void()> resume;
};

TargetStandin::TargetStandin(EventLoop &loop, Options options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_startedAt(loop.now())
    , m_slots(m_options.slots, m_options.queue)
    , m_server(loop, {bodyLimitBytes, m_options.name}, [this](const std::shared_ptr<HttpExchange> &exchange) { handleRequest(exchange); })
{
}

std::variant<Endpoint, ListenError> TargetStandin::listen(const Endpoint &endpoint)
{
    auto result = m_server.listen(endpoint);
    if (const auto *listening = std::get_if<Endpoint>(&result)) {
        m_endpoint = *listening;
        if (!m_options.node.isEmpty()) {
            m_announcer.emplace(m_loop, m_options.node, [this] { return m_frozen ? std::nullopt : std::optional(announcement()); });
            m_announcer->announce();
        }
    }
    return result;
}

json TargetStandin::announcement() const
{
    return {{"service", m_options.service},
            {"target", m_options.name},
            {"address", m_endpoint.address},
            {"port", m_endpoint.port},
            {"slots", m_options.slots},
            {"connections", m_options.connections},
            {"incarnation", m_options.incarnation},
            {"draining", m_drainingSince.has_value()}};
}

void TargetStandin::handleRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string path = exchange->request().path.substr(0, exchange->request().path.find('?'));
    if (path == "/control") {
        handleControl(*exchange);
    } else if (path == "/executions") {
        answerExecutions(*exchange);
    } else if (m_frozen) {
        m_deferred.emplace_back([this, exchange] { handleRequest(exchange); });
    } else if (path == "/health") {
        answerHealth(*exchange);
    } else if (path == "/load") {
        answerLoad(*exchange);
    } else if (path == "/grants") {
        answerGrant(*exchange);
    } else {
        acceptRequest(exchange);
    }
}

void TargetStandin::handleControl(HttpExchange &exchange)
{
    if (exchange.request().method == "GET") {
        answerCounts(exchange);
        return;
    }
    JsonReader reader;
    const json body = reader.parse(exchange.request().body.text());
    applyControl(reader, body);
    if (reader.error()) {
        answerBadRequest(exchange, *reader.error());
        return;
    }
    exchange.answer(204, {}, {});
}

void TargetStandin::applyControl(JsonReader &reader, const json &from)
{
    const auto number = [&](const char *field, std::uint64_t &value) { value = from.contains(field) ? reader.number(from, field) : value; };
    number("lagLoadMs", m_faults.lagLoadMs);
    number("crossAnswers", m_faults.crossAnswers);
    number("truncateAnswers", m_faults.truncateAnswers);
    number("dropAnswers", m_faults.dropAnswers);
    number("serviceTimeMs", m_options.serviceTimeMs);
    if (from.contains("falseHealth")) {
        m_faults.falseHealth = reader.flag(from, "falseHealth");
    }
    if (from.contains("falseLoad")) {
        m_faults.falseLoad = from["falseLoad"].is_null() ? std::nullopt : std::optional(reader.number(from, "falseLoad"));
    }
    if (from.contains("limit")) {
        m_namedLimit = from["limit"].is_null() ? std::nullopt : std::optional(reader.number(from, "limit"));
    }
    if (from.contains("leaving")) {
        m_saysLeaving = reader.flag(from, "leaving");
    }
    if (from.contains("drain")) {
        m_drainingSince = reader.flag(from, "drain") ? std::optional(m_loop.now()) : std::nullopt;
        if (m_announcer) {
            m_announcer->announce();
        }
    }
    if (from.contains("freeze")) {
        setFrozen(reader.flag(from, "freeze"));
    }
    if (from.contains("silenceConnections") && reader.flag(from, "silenceConnections")) {
        ++m_silences;
        m_loop.callLater(silenceDelay, [this] { silenceConnections(m_loop, m_endpoint.port); });
    }
}

void TargetStandin::setFrozen(bool frozen)
{
    m_frozen = frozen;
    while (!m_frozen && !m_deferred.empty()) {
        const std::function<void()> resume = std::move(m_deferred.front());
        m_deferred.pop_front();
        resume();
    }
}

void TargetStandin::answerHealth(HttpExchange &exchange)
{
    const bool healthy = !m_faults.falseHealth;
    answerJson(exchange, healthy ? 200 : 503, {{"healthy", healthy}});
}

void TargetStandin::answerLoad(HttpExchange &exchange)
{
    if (m_faults.falseLoad) {
        answerJson(exchange, 200, {{"inFlight", *m_faults.falseLoad}});
        return;
    }
    const MonotonicTime at = m_loop.now() - std::chrono::milliseconds(m_faults.lagLoadMs);
    const auto later = std::find_if(m_loadSamples.begin(), m_loadSamples.end(), [at](const LoadSample &sample) { return sample.at > at; });
    const std::size_t inFlight = later == m_loadSamples.begin() ? 0 : std::prev(later)->inFlight;
    answerJson(exchange, 200, {{"inFlight", inFlight}});
}

void TargetStandin::answerGrant(HttpExchange &exchange)
{
    JsonReader reader;
    const json body = reader.parse(exchange.request().body.text());
    const std::optional<Fence> fence = fenceFromText(reader.text(body, "fence"));
    reader.check(fence.has_value(), "fence");
    std::vector<std::uint32_t> shards;
    for (const json &shard : reader.list(body, "shards")) {
        shards.push_back(static_cast<std::uint32_t>(reader.element(shard, "shards", std::numeric_limits<std::uint32_t>::max())));
    }
    if (reader.error()) {
        answerBadRequest(exchange, *reader.error());
        return;
    }
    const std::optional<Fence> newer = m_options.checkFence ? m_fences.grant(*fence, shards) : std::nullopt;
    if (newer) {
        answerJson(exchange, 409, {{"newerFence", fenceToText(*newer)}});
        return;
    }
    exchange.answer(204, {}, {});
}

void TargetStandin::answerExecutions(HttpExchange &exchange)
{
    answerJson(exchange, 200, json(m_executions));
}

void TargetStandin::answerCounts(HttpExchange &exchange)
{
    const auto lastArrival = std::chrono::duration_cast<std::chrono::milliseconds>(m_lastArrivalAfterDrain).count();
    answerJson(exchange,
               200,
               {{"target", m_options.name},
                {"incarnation", m_options.incarnation},
                {"served", m_served},
                {"cancelled", m_cancelled},
                {"keys", m_servedByKey},
                {"refusals", m_refusals},
                {"arrivalsSinceDrain", m_arrivalsSinceDrain},
                {"lastArrivalAfterDrainMs", lastArrival}});
}

void TargetStandin::acceptRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (m_drainingSince) {
        ++m_arrivalsSinceDrain;
        m_lastArrivalAfterDrain = m_loop.now() - *m_drainingSince;
    }
    if (m_server.openConnections() > m_options.connections) {
        refuse(*exchange, 503, "connections");
        return;
    }
    const auto work = std::make_shared<Work>();
    work->exchange = exchange;
    work->key = headerOf(request, m_options.keyHeader);
    work->order = orderOf(request);
    work->requestId = headerOf(request, wire::requestId);
    work->silences = m_silences;
    if (const auto remaining = numberOf(headerOf(request, wire::deadline))) {
        work->deadline = m_loop.now() + std::chrono::milliseconds(*remaining);
    }
    exchange->setClosedFunction([this, weak = std::weak_ptr<Work>(work)] {
        const auto cancelled = weak.lock();
        if (cancelled && !cancelled->ended) {
            ++m_cancelled;
            cancelled->cancelled = true;
            endWork(*cancelled);
        }
    });
    if (!m_slots.submit([this, work] { startWork(work); })) {
        refuse(*exchange, 503, "slots");
        work->ended = true;
    }
    recordLoadSample();
}

void TargetStandin::startWork(const std::shared_ptr<Work> &work)
{
    work->hasSlot = true;
    if (work->ended) {
        endWork(*work);
        return;
    }
    if (refuseOutdatedFence(*work)) {
        endWork(*work);
        return;
    }
    if (work->deadline && m_loop.now() + serviceTime() > *work->deadline) {
        refuse(*work->exchange, 503, "deadline");
        endWork(*work);
        return;
    }
    countExecution(*work);
    if (work->exchange->request().path.starts_with("/crash")) {
        m_loop.callLater(serviceTime(), [] { std::_Exit(1); });
        return;
    }
    if (work->exchange->request().path.starts_with("/download")) {
        startDownload(work);
        return;
    }
    m_loop.callLater(serviceTime(), [this, work] { finishWork(work); });
}

bool TargetStandin::refuseOutdatedFence(Work &work)
{
    if (!m_options.checkFence) {
        return false;
    }
    const HttpRequest &request = work.exchange->request();
    const auto shard = numberOf(headerOf(request, wire::shard));
    const auto fence = fenceFromText(headerOf(request, wire::fence));
    if (!shard || !fence) {
        refuse(*work.exchange, 400, "fence missing");
        return true;
    }
    const auto newer = m_fences.check(static_cast<std::uint32_t>(*shard), *fence);
    if (newer) {
        refuse(*work.exchange, 409, "fence", {{std::string(wire::newerFence), fenceToText(*newer)}});
    }
    return newer.has_value();
}

void TargetStandin::countExecution(Work &work)
{
    ++m_served;
    ++m_servedByKey[work.key];
    if (m_options.printExecutions) {
        const auto now = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch());
        std::cout << "execution " << now.count() << ' ' << work.key << ' ' << headerOf(work.exchange->request(), wire::fence) << ' ' << work.order << std::endl;
    }
    if (!isSafe(work.exchange->request().method) && !work.order.empty()) {
        ++m_executions[work.order];
    }
}

void TargetStandin::finishWork(const std::shared_ptr<Work> &work)
{
    if (m_frozen) {
        m_deferred.emplace_back([this, work] { finishWork(work); });
        return;
    }
    if (work->ended) {
        return;
    }
    if (work->silences == m_silences) {
        sendAnswer(*work);
    }
    endWork(*work);
}

void TargetStandin::sendAnswer(Work &work)
{
    if (m_faults.dropAnswers > 0) {
        --m_faults.dropAnswers;
        work.exchange->reset();
        return;
    }
    Answer answer{work.requestId, jsonToText({{"target", m_options.name}, {"key", work.key}, {"order", work.order}, {"served", m_served}})};
    const Answer own = answer;
    if (m_faults.crossAnswers > 0) {
        --m_faults.crossAnswers;
        std::swap(answer, m_previousAnswer);
    }
    m_previousAnswer = own;
    if (m_faults.truncateAnswers > 0) {
        --m_faults.truncateAnswers;
        sendTruncated(work, answer);
        return;
    }
    HttpHeaders headers = {{"content-type", "application/json"}};
    if (!answer.requestId.empty()) {
        headers.emplace_back(wire::requestId, answer.requestId);
    }
    appendStatement(headers);
    work.exchange->answer(200, std::move(headers), answer.body);
}

void TargetStandin::appendStatement(HttpHeaders &headers) const
{
    if (m_namedLimit) {
        headers.emplace_back(wire::targetLimit, std::to_string(*m_namedLimit));
    }
    if (m_saysLeaving) {
        headers.emplace_back(wire::targetLeaving, "1");
    }
}

void TargetStandin::sendTruncated(Work &work, const Answer &answer)
{
    work.exchange->beginAnswer({200, {{std::string(wire::requestId), answer.requestId}}, answer.body.size()});
    work.exchange->write(std::string_view(answer.body).substr(0, answer.body.size() / 2));
    m_loop.callLater(std::chrono::milliseconds(1), [exchange = work.exchange] { exchange->reset(); });
}

void TargetStandin::startDownload(const std::shared_ptr<Work> &work)
{
    work->bytesLeft = numberOf(queryParameter(work->exchange->request().path, "bytes")).value_or(0);
    HttpHeaders headers = {{"content-type", "application/octet-stream"}};
    if (!work->requestId.empty()) {
        headers.emplace_back(wire::requestId, work->requestId);
    }
    work->exchange->beginAnswer({200, std::move(headers), work->bytesLeft});
    const auto writeMore = [this, weak = std::weak_ptr<Work>(work)] {
        static const std::string chunk(downloadChunkBytes, 'x');
        const auto download = weak.lock();
        if (!download || download->ended) {
            return;
        }
        if (m_frozen) {
            m_deferred.emplace_back([download] { download->resume(); });
            return;
        }
        bool writable = true;
        while (writable && download->bytesLeft > 0) {
            const std::uint64_t size = std::min<std::uint64_t>(download->bytesLeft, chunk.size());
            download->bytesLeft -= size;
            writable = download->exchange->write(std::string_view(chunk).substr(0, size));
        }
        if (download->bytesLeft == 0) {
            download->exchange->finish();
            endWork(*download);
        }
    };
    work->resume = writeMore;
    work->exchange->setWritableFunction([work] { work->resume(); });
    writeMore();
}

void TargetStandin::refuse(HttpExchange &exchange, std::uint16_t status, const std::string &reason, HttpHeaders headers)
{
    ++m_refusals[reason];
    const std::string requestId = headerOf(exchange.request(), wire::requestId);
    headers.emplace_back(wire::outcome, wire::notRun);
    if (!requestId.empty()) {
        headers.emplace_back(wire::requestId, requestId);
    }
    appendStatement(headers);
    exchange.answer(status, std::move(headers), reason);
}

void TargetStandin::endWork(Work &work)
{
    work.ended = true;
    if (work.resume) {
        // Deferred, because the writable function holds the work and may be calling this function.
        m_loop.callLater(Duration(0), [exchange = work.exchange] { exchange->setWritableFunction(nullptr); });
    }
    if (work.hasSlot) {
        work.hasSlot = false;
        m_slots.release();
    }
    recordLoadSample();
}

void TargetStandin::recordLoadSample()
{
    m_loadSamples.push_back({m_loop.now(), m_slots.inFlight()});
    if (m_loadSamples.size() > maxLoadSamples) {
        m_loadSamples.pop_front();
    }
}

Duration TargetStandin::serviceTime() const
{
    const bool isCold = m_loop.now() - m_startedAt < std::chrono::milliseconds(m_options.coldStartMs);
    return std::chrono::milliseconds(m_options.serviceTimeMs * (isCold ? coldFactor : 1));
}

} // namespace nutmeghinge
