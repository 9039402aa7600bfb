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

/** Two nodes of one cell, their targets, and a network that cuts any exchange. Checks each promise at each effect. */
class Pair
{
public:
    Pair()
    {
        m_nodes[1].m_ownership.m_self = MemberSlot(2);
        for (RouterFixture &node : m_nodes) {
            node.m_ownership.m_document->retryPercent = 100;
            node.ownershipChanged();
        }
    }

    void run(const Step &step)
    {
        static constexpr std::array<void (Pair::*)(std::uint32_t, std::uint32_t), 12> actions{
            &Pair::arrive,
            &Pair::arrive,
            &Pair::finishTarget,
            &Pair::finishTarget,
            &Pair::deliverForward,
            &Pair::deliverForward,
            &Pair::deliverResult,
            &Pair::cutForward,
            &Pair::cancel,
            &Pair::pass,
            &Pair::moveShards,
            &Pair::syncOrLapse,
        };
        const auto &[kind, choice, variant] = step;
        (this->*actions.at(kind))(choice, variant);
    }

    /** Lets everything end; each request must then have ended. */
    void finish()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i].m_ownership.m_leaseHolds = true;
            sync(i);
        }
        for (int round = 0; round < 2000 && !isIdle(); ++round) {
            finishTarget(0, 0);
            deliverForward(0, 1);
            deliverResult(0, 0);
            pass(0, 20);
        }
        RC_ASSERT(isIdle());
        for (const Origin &origin : m_origins) {
            RC_ASSERT(origin.ends == 1);
        }
    }

private:
    /** A caller's request. */
    struct Origin {
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
        /** Request at the other node, once delivered. */
        std::optional<RequestId> delivered;
        std::optional<std::variant<AttemptAnswered, AttemptNotRun, AttemptUnknown>> result;
    };

    Origin &originOf(RequestId request) { return m_origins.at(m_originOf.at(request)); }

    void arrive(std::uint32_t choice, std::uint32_t variant)
    {
        static constexpr std::array<const char *, 4> methods{"POST", "POST", "GET", "PUT"};
        Origin origin;
        const std::string method = methods.at(variant % methods.size());
        origin.idempotent = method != "POST";
        origin.key = variant % 3 == 0 || origin.idempotent ? "" : "order-" + std::to_string(variant % 5);
        origin.entry = choice % 2;
        origin.request = RequestId(++m_lastRequest);
        m_originOf[origin.request] = m_origins.size();
        m_origins.push_back(origin);
        RequestArrived arrived = RouterFixture::request(origin.request.value(), method, origin.key);
        if (variant % 7 == 0) {
            arrived.timeout = std::chrono::milliseconds(variant);
        }
        take(origin.entry, m_nodes[origin.entry].arrive(arrived));
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
            take(ended.node, node.notRun(ended.id, reasons.at(variant % reasons.size())));
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
            take(ended.node, m_nodes[ended.node].notRun(ended.id, NotRunReason::NotConnected));
            return;
        }
        const Origin &origin = originOf(attempt->request);
        RequestArrived arrived = RouterFixture::request(++m_lastRequest, origin.idempotent ? "PUT" : "POST", origin.key);
        arrived.hops = attempt->hops;
        m_originOf[arrived.request] = m_originOf.at(attempt->request);
        attempt->delivered = arrived.request;
        const std::size_t other = 1 - attempt->node;
        take(other, m_nodes[other].arrive(arrived));
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
            take(ended.node, m_nodes[ended.node].notRun(ended.id, notRun->reason));
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
        take(other, m_nodes[other].cancel(ended.delivered->value()));
        finishUnknown(ended, false);
    }

    void cancel(std::uint32_t choice, std::uint32_t)
    {
        if (m_origins.empty()) {
            return;
        }
        Origin &origin = m_origins[choice % m_origins.size()];
        if (origin.ends == 0) {
            ++origin.ends;
            take(origin.entry, m_nodes[origin.entry].cancel(origin.request.value()));
        }
    }

    void pass(std::uint32_t, std::uint32_t milliseconds)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            take(i, m_nodes[i].ownershipChanged());
            take(i, m_nodes[i].tickAfter(std::chrono::milliseconds(milliseconds % 300)));
        }
    }

    /** Planned handover: releasing, drained, memory handed over, granted. */
    void moveShards(std::uint32_t, std::uint32_t)
    {
        RouterFixture &from = m_nodes[m_owner];
        if (!m_releasing) {
            m_releasing = true;
            from.m_ownership.own(from.m_ownership.m_self, ShardOwnership::State::Releasing);
            take(m_owner, from.ownershipChanged());
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
        to.m_ownership.own(to.m_ownership.m_self);
        take(m_owner, to.ownershipChanged());
    }

    void syncOrLapse(std::uint32_t choice, std::uint32_t variant)
    {
        const std::size_t node = choice % 2;
        if (variant % 3 == 0) {
            m_nodes[node].m_ownership.m_leaseHolds = !m_nodes[node].m_ownership.m_leaseHolds;
            take(node, m_nodes[node].ownershipChanged());
            return;
        }
        sync(node);
    }

    void sync(std::size_t node)
    {
        m_nodes[node].m_ownership.m_map = m_nodes[m_owner].m_ownership.m_map;
        take(node, m_nodes[node].ownershipChanged());
    }

    void take(std::size_t node, const Effects &effects)
    {
        for (const Effect &effect : effects) {
            std::visit([&](const auto &one) { on(node, one); }, effect);
        }
    }
    template <typename Other>
    void on(std::size_t, const Other &)
    {
    }
    void on(std::size_t node, const SendToTarget &effect)
    {
        const Origin &origin = originOf(effect.request);
        RC_ASSERT(m_nodes[node].m_ownership.mayAdmit(effect.shard, m_nodes[node].m_now));
        RC_ASSERT(effect.keepAnswer == !origin.key.empty());
        RC_ASSERT(origin.idempotent || (origin.runs == 0 && !isOnTarget(origin)));
        RC_ASSERT(origin.key.empty() || (m_runsOfKey[origin.key] == 0 && !isKeyOnTarget(origin.key)));
        add({node, effect.attempt, effect.request, true, 0, effect.shard, {}, {}});
    }
    void on(std::size_t node, const ForwardRequest &effect)
    {
        RC_ASSERT(effect.hops <= 2);
        add({node, effect.attempt, effect.request, false, effect.hops, ShardIndex(0), {}, {}});
    }
    void on(std::size_t node, const RefuseRequest &effect)
    {
        Origin &origin = originOf(effect.request);
        RC_ASSERT(effect.status != 503 || effect.retryAfter > Duration(0));
        const bool isCallers = origin.request == effect.request;
        const bool ran = isCallers ? origin.runs > 0 || isOnTarget(origin) : m_ran.contains(effect.request);
        RC_ASSERT(effect.outcome == Outcome::Unknown || !ran);
        AttemptNotRun notRun;
        notRun.reason = effect.reason;
        if (effect.outcome == Outcome::NotRun) {
            end(node, effect.request, notRun);
        } else {
            end(node, effect.request, AttemptUnknown{});
        }
    }
    void on(std::size_t node, const AnswerFromStore &effect) { end(node, effect.request, AttemptAnswered{}); }

    void finishAnswered(const Attempt &attempt, std::optional<StoredAnswer> answer)
    {
        if (!isCancelled(attempt.request)) {
            end(attempt.node, attempt.request, AttemptAnswered{});
        }
        take(attempt.node, m_nodes[attempt.node].answered(attempt.id, std::move(answer)));
    }
    void finishUnknown(const Attempt &attempt, bool answerBegun)
    {
        if (answerBegun && !isCancelled(attempt.request)) {
            end(attempt.node, attempt.request, AttemptUnknown{});
        }
        take(attempt.node, m_nodes[attempt.node].unknown(attempt.id, AttemptUnknown::Reason::ConnectionLost, answerBegun));
    }
    bool isCancelled(RequestId request)
    {
        const Origin &origin = originOf(request);
        if (origin.request == request) {
            return origin.ends > 0;
        }
        return std::none_of(m_attempts.begin(), m_attempts.end(), [&](const Attempt &attempt) { return attempt.delivered == request; });
    }

    /** The node has given the request's final answer. */
    template <typename Result>
    void end(std::size_t node, RequestId request, Result result)
    {
        Origin &origin = originOf(request);
        RC_ASSERT(
            std::none_of(m_attempts.begin(), m_attempts.end(), [&](const Attempt &attempt) { return attempt.request == request && attempt.node == node; }));
        if (origin.request == request) {
            RC_ASSERT(++origin.ends == 1);
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
        Origin &origin = originOf(attempt.request);
        ++origin.runs;
        m_ran.insert(attempt.request);
        m_runsOfKey[origin.key] += origin.key.empty() ? 0 : 1;
    }
    bool isOnTarget(const Origin &origin)
    {
        return std::any_of(m_attempts.begin(), m_attempts.end(), [&](const Attempt &a) { return a.toTarget && &originOf(a.request) == &origin; });
    }
    bool isKeyOnTarget(const std::string &key)
    {
        return std::any_of(m_attempts.begin(), m_attempts.end(), [&](const Attempt &a) { return a.toTarget && originOf(a.request).key == key; });
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
    std::vector<Origin> m_origins;
    std::unordered_map<RequestId, std::size_t> m_originOf;
    std::deque<Attempt> m_attempts;
    std::unordered_set<RequestId> m_ran;
    std::map<std::string, std::uint32_t> m_runsOfKey;
    std::uint64_t m_lastRequest = 0;
};

} // namespace

TEST_CASE("Under any order of failures a request runs at most once, ends once, and \"not run\" is true", "[request][property]")
{
    CHECK(rc::check([] {
        const auto step = rc::gen::tuple(rc::gen::inRange(0U, 12U), rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 1000U));
        const auto steps = *rc::gen::resize(400, rc::gen::container<std::vector<Step>>(step));
        Pair pair;
        for (const Step &one : steps) {
            pair.run(one);
        }
        pair.finish();
    }));
}
