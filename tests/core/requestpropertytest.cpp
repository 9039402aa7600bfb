#include "requestfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <unordered_map>
#include <unordered_set>

using namespace nutmeghinge;
using namespace nutmeghinge::test;
using namespace std::chrono_literals;

namespace {

using Step = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;

/**
 * Simulates two nodes of one cell, their targets, and a network that can interrupt any exchange. Checks the router's guarantees
 * at each effect.
 */
class TwoNodeCell
{
public:
    TwoNodeCell()
    {
        m_nodes[1].m_ownership.m_self = MemberSlot(2);
        for (RouterFixture &node : m_nodes) {
            node.m_ownership.m_document->retryPercent = 100;
            node.ownershipChanged();
        }
    }

    void run(const Step &step)
    {
        static constexpr std::array<void (TwoNodeCell::*)(std::uint32_t, std::uint32_t), 12> actions{
            &TwoNodeCell::arrive,
            &TwoNodeCell::arrive,
            &TwoNodeCell::finishTarget,
            &TwoNodeCell::finishTarget,
            &TwoNodeCell::deliverForward,
            &TwoNodeCell::deliverForward,
            &TwoNodeCell::deliverResult,
            &TwoNodeCell::cutForward,
            &TwoNodeCell::cancel,
            &TwoNodeCell::advanceTime,
            &TwoNodeCell::moveShards,
            &TwoNodeCell::syncMapOrToggleLease,
        };
        const auto &[kind, choice, variant] = step;
        (this->*actions.at(kind))(choice, variant);
    }

    /** Completes all outstanding work, then checks that each request has ended exactly once. */
    void finish()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i].m_ownership.m_leaseValid = true;
            syncMap(i);
        }
        for (int round = 0; round < 2000 && !isIdle(); ++round) {
            finishTarget(0, 0);
            deliverForward(0, 1);
            deliverResult(0, 0);
            advanceTime(0, 20);
        }
        RC_ASSERT(isIdle());
        for (const CallerRequest &callerRequest : m_callerRequests) {
            RC_ASSERT(callerRequest.ends == 1);
        }
    }

private:
    /** A request from a caller; the nodes may hold several requests of their own for it. */
    struct CallerRequest {
        bool idempotent = false;
        std::string key;
        std::size_t entry = 0;
        RequestId request;
        std::uint32_t runs = 0;
        std::uint32_t ends = 0;
    };
    struct Attempt {
        std::size_t node = 0;
        AttemptId id;
        RequestId request;
        bool toTarget = false;
        std::uint32_t hops = 0;
        ShardIndex shard;
        /** Request at the other node; empty until the attempt was delivered. */
        std::optional<RequestId> delivered;
        std::optional<std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown>> result;
    };

    CallerRequest &callerRequestOf(RequestId request) { return m_callerRequests.at(m_callerRequestOf.at(request)); }

    void arrive(std::uint32_t choice, std::uint32_t variant)
    {
        static constexpr std::array<const char *, 4> methods{"POST", "POST", "GET", "PUT"};
        CallerRequest callerRequest;
        const std::string method = methods.at(variant % methods.size());
        callerRequest.idempotent = method != "POST";
        callerRequest.key = variant % 3 == 0 || callerRequest.idempotent ? "" : "order-" + std::to_string(variant % 5);
        callerRequest.entry = choice % 2;
        callerRequest.request = RequestId(++m_lastRequest);
        m_callerRequestOf[callerRequest.request] = m_callerRequests.size();
        m_callerRequests.push_back(callerRequest);
        RequestArrived arrived = RouterFixture::request(callerRequest.request.value(), method, callerRequest.key);
        if (variant % 7 == 0) {
            arrived.timeout = std::chrono::milliseconds(variant);
        }
        handleEffects(callerRequest.entry, m_nodes[callerRequest.entry].arrive(arrived));
    }

    void finishTarget(std::uint32_t choice, std::uint32_t variant)
    {
        Attempt *attempt = pick(choice, [](const Attempt &candidate) { return candidate.toTarget; });
        if (!attempt) {
            return;
        }
        RouterFixture &node = m_nodes[attempt->node];
        const Attempt ended = *attempt;
        if (variant % 2 == 0) {
            countRun(ended);
            erase(ended);
            finishAnswered(ended, variant % 4 == 0 ? std::optional(StoredAnswer{200, {}, "taken"}) : std::nullopt);
        } else if (variant % 3 == 0) {
            countRun(ended);
            erase(ended);
            const bool begun = variant % 5 == 0;
            finishUnknown(ended, begun);
        } else {
            erase(ended);
            static constexpr std::array<NotRunReason, 3> reasons{NotRunReason::NotConnected, NotRunReason::Overloaded, NotRunReason::StaleFence};
            handleEffects(ended.node, node.notRun(ended.id, reasons.at(variant % reasons.size())));
        }
    }

    void deliverForward(std::uint32_t choice, std::uint32_t variant)
    {
        Attempt *attempt = pick(choice, [](const Attempt &candidate) { return !candidate.toTarget && !candidate.delivered; });
        if (!attempt) {
            return;
        }
        if (variant % 5 == 0) {
            const Attempt ended = *attempt;
            erase(ended);
            handleEffects(ended.node, m_nodes[ended.node].notRun(ended.id, NotRunReason::NotConnected));
            return;
        }
        const CallerRequest &callerRequest = callerRequestOf(attempt->request);
        RequestArrived arrived = RouterFixture::request(++m_lastRequest, callerRequest.idempotent ? "PUT" : "POST", callerRequest.key);
        arrived.hops = attempt->hops;
        m_callerRequestOf[arrived.request] = m_callerRequestOf.at(attempt->request);
        attempt->delivered = arrived.request;
        const std::size_t other = 1 - attempt->node;
        handleEffects(other, m_nodes[other].arrive(arrived));
    }

    void deliverResult(std::uint32_t choice, std::uint32_t)
    {
        Attempt *attempt = pick(choice, [](const Attempt &candidate) { return candidate.result.has_value(); });
        if (!attempt) {
            return;
        }
        const Attempt ended = *attempt;
        erase(ended);
        if (std::holds_alternative<AttemptAnswered>(*ended.result)) {
            finishAnswered(ended, std::nullopt);
        } else if (const auto *notRun = std::get_if<AttemptNotRun>(&*ended.result)) {
            handleEffects(ended.node, m_nodes[ended.node].notRun(ended.id, notRun->reason));
        } else {
            finishUnknown(ended, false);
        }
    }

    void cutForward(std::uint32_t choice, std::uint32_t)
    {
        Attempt *attempt = pick(choice, [](const Attempt &candidate) { return candidate.delivered.has_value(); });
        if (!attempt) {
            return;
        }
        const Attempt ended = *attempt;
        erase(ended);
        const std::size_t other = 1 - ended.node;
        handleEffects(other, m_nodes[other].cancel(ended.delivered->value()));
        finishUnknown(ended, false);
    }

    void cancel(std::uint32_t choice, std::uint32_t)
    {
        if (m_callerRequests.empty()) {
            return;
        }
        CallerRequest &callerRequest = m_callerRequests[choice % m_callerRequests.size()];
        if (callerRequest.ends == 0) {
            ++callerRequest.ends;
            handleEffects(callerRequest.entry, m_nodes[callerRequest.entry].cancel(callerRequest.request.value()));
        }
    }

    void advanceTime(std::uint32_t, std::uint32_t milliseconds)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            handleEffects(i, m_nodes[i].ownershipChanged());
            handleEffects(i, m_nodes[i].tickAfter(std::chrono::milliseconds(milliseconds % 300)));
        }
    }

    /** Does one step of a planned handover: start releasing, wait for running requests, move the deduplication memory, grant. */
    void moveShards(std::uint32_t, std::uint32_t)
    {
        RouterFixture &from = m_nodes[m_owner];
        if (!m_releasing) {
            m_releasing = true;
            from.m_ownership.setOwner(from.m_ownership.m_self, ShardOwnership::State::Releasing);
            handleEffects(m_owner, from.ownershipChanged());
            return;
        }
        RouterFixture &to = m_nodes[1 - m_owner];
        for (std::uint32_t shard = 0; shard < 4; ++shard) {
            if (from.m_router.blockingRequests(ShardIndex(shard)) > 0) {
                return;
            }
        }
        for (std::uint32_t shard = 0; shard < 4; ++shard) {
            to.m_router.importDeduplication(from.m_router.exportDeduplication(ShardIndex(shard), from.m_now), to.m_now);
        }
        m_owner = 1 - m_owner;
        m_releasing = false;
        to.m_ownership.m_map = from.m_ownership.m_map;
        to.m_ownership.setOwner(to.m_ownership.m_self);
        handleEffects(m_owner, to.ownershipChanged());
    }

    void syncMapOrToggleLease(std::uint32_t choice, std::uint32_t variant)
    {
        const std::size_t node = choice % 2;
        if (variant % 3 == 0) {
            m_nodes[node].m_ownership.m_leaseValid = !m_nodes[node].m_ownership.m_leaseValid;
            handleEffects(node, m_nodes[node].ownershipChanged());
            return;
        }
        syncMap(node);
    }

    void syncMap(std::size_t node)
    {
        m_nodes[node].m_ownership.m_map = m_nodes[m_owner].m_ownership.m_map;
        handleEffects(node, m_nodes[node].ownershipChanged());
    }

    void handleEffects(std::size_t node, const Effects &effects)
    {
        for (const Effect &effect : effects) {
            std::visit([&](const auto &one) { handle(node, one); }, effect);
        }
    }
    template <typename Other>
    void handle(std::size_t, const Other &)
    {
    }
    void handle(std::size_t node, const SendToTarget &effect)
    {
        const CallerRequest &callerRequest = callerRequestOf(effect.request);
        RC_ASSERT(m_nodes[node].m_ownership.mayAdmit(effect.shard, m_nodes[node].m_now));
        RC_ASSERT(effect.keepAnswer == !callerRequest.key.empty());
        RC_ASSERT(callerRequest.idempotent || (callerRequest.runs == 0 && !isOnTarget(callerRequest)));
        RC_ASSERT(callerRequest.key.empty() || (m_runsOfKey[callerRequest.key] == 0 && !isKeyOnTarget(callerRequest.key)));
        add({node, effect.attempt, effect.request, true, 0, effect.shard, {}, {}});
    }
    void handle(std::size_t node, const ForwardRequest &effect)
    {
        RC_ASSERT(effect.hops <= 2);
        add({node, effect.attempt, effect.request, false, effect.hops, ShardIndex(0), {}, {}});
    }
    void handle(std::size_t node, const RefuseRequest &effect)
    {
        CallerRequest &callerRequest = callerRequestOf(effect.request);
        RC_ASSERT(effect.status != 503 || effect.retryAfter > Duration(0));
        const bool isFromCaller = callerRequest.request == effect.request;
        const bool ran = isFromCaller ? callerRequest.runs > 0 || isOnTarget(callerRequest) : m_ran.contains(effect.request);
        RC_ASSERT(effect.outcome == Outcome::Unknown || !ran);
        AttemptNotRun notRun;
        notRun.reason = effect.reason;
        if (effect.outcome == Outcome::NotRun) {
            endRequest(node, effect.request, notRun);
        } else {
            endRequest(node, effect.request, AttemptUnknown{});
        }
    }
    void handle(std::size_t node, const AnswerFromStore &effect) { endRequest(node, effect.request, AttemptAnswered{}); }

    void finishAnswered(const Attempt &attempt, std::optional<StoredAnswer> answer)
    {
        if (!isCancelled(attempt.request)) {
            endRequest(attempt.node, attempt.request, AttemptAnswered{});
        }
        handleEffects(attempt.node, m_nodes[attempt.node].answered(attempt.id, std::move(answer)));
    }
    void finishUnknown(const Attempt &attempt, bool answerBegun)
    {
        if (answerBegun && !isCancelled(attempt.request)) {
            endRequest(attempt.node, attempt.request, AttemptUnknown{});
        }
        handleEffects(attempt.node, m_nodes[attempt.node].unknown(attempt.id, AttemptUnknown::Reason::ConnectionLost, answerBegun));
    }
    bool isCancelled(RequestId request)
    {
        const CallerRequest &callerRequest = callerRequestOf(request);
        if (callerRequest.request == request) {
            return callerRequest.ends > 0;
        }
        return std::none_of(m_attempts.begin(), m_attempts.end(), [&](const Attempt &attempt) { return attempt.delivered == request; });
    }

    /** Handles the node's final answer to the request. */
    template <typename Result>
    void endRequest(std::size_t node, RequestId request, Result result)
    {
        CallerRequest &callerRequest = callerRequestOf(request);
        RC_ASSERT(
            std::none_of(m_attempts.begin(), m_attempts.end(), [&](const Attempt &attempt) { return attempt.request == request && attempt.node == node; }));
        if (callerRequest.request == request) {
            RC_ASSERT(++callerRequest.ends == 1);
            return;
        }
        for (Attempt &attempt : m_attempts) {
            if (attempt.delivered == request) {
                RC_ASSERT(!attempt.result);
                attempt.result = result;
            }
        }
    }

    void add(Attempt attempt)
    {
        RC_ASSERT(std::none_of(m_attempts.begin(), m_attempts.end(), [&](const Attempt &other) { return other.request == attempt.request; }));
        m_attempts.push_back(std::move(attempt));
    }
    void erase(const Attempt &ended)
    {
        std::erase_if(m_attempts, [&](const Attempt &attempt) { return attempt.node == ended.node && attempt.id == ended.id; });
    }
    void countRun(const Attempt &attempt)
    {
        CallerRequest &callerRequest = callerRequestOf(attempt.request);
        ++callerRequest.runs;
        m_ran.insert(attempt.request);
        m_runsOfKey[callerRequest.key] += callerRequest.key.empty() ? 0 : 1;
    }
    bool isOnTarget(const CallerRequest &callerRequest)
    {
        return std::any_of(m_attempts.begin(), m_attempts.end(), [&](const Attempt &a) { return a.toTarget && &callerRequestOf(a.request) == &callerRequest; });
    }
    bool isKeyOnTarget(const std::string &key)
    {
        return std::any_of(m_attempts.begin(), m_attempts.end(), [&](const Attempt &a) { return a.toTarget && callerRequestOf(a.request).key == key; });
    }
    template <typename Predicate>
    Attempt *pick(std::uint32_t choice, Predicate predicate)
    {
        std::vector<Attempt *> found;
        for (Attempt &attempt : m_attempts) {
            if (predicate(attempt)) {
                found.push_back(&attempt);
            }
        }
        return found.empty() ? nullptr : found[choice % found.size()];
    }
    bool isIdle() const { return m_attempts.empty() && m_nodes[0].m_router.runningRequests() == 0 && m_nodes[1].m_router.runningRequests() == 0; }

    std::array<RouterFixture, 2> m_nodes;
    std::size_t m_owner = 0;
    bool m_releasing = false;
    std::vector<CallerRequest> m_callerRequests;
    std::unordered_map<RequestId, std::size_t> m_callerRequestOf;
    std::deque<Attempt> m_attempts;
    std::unordered_set<RequestId> m_ran;
    std::map<std::string, std::uint32_t> m_runsOfKey;
    std::uint64_t m_lastRequest = 0;
};

} // namespace

TEST_CASE("Under any sequence of failures a non-idempotent request runs at most once, and any request ends once and did not run if refused as \"not run\"",
          "[request][property]")
{
    CHECK(rc::check([] {
        const auto step = rc::gen::tuple(rc::gen::inRange(0U, 12U), rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 1000U));
        const auto steps = *rc::gen::resize(400, rc::gen::container<std::vector<Step>>(step));
        TwoNodeCell cell;
        for (const Step &one : steps) {
            cell.run(one);
        }
        cell.finish();
    }));
}
