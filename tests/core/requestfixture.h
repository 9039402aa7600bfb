#pragma once

#include "cellrow.h"
#include "document.h"
#include "effectlist.h"
#include "memberload.h"
#include "ownershipmap.h"
#include "ownershipview.h"
#include "requestrouter.h"
#include "routetable.h"
#include "shardof.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmeghinge::test {

/** Ownership view whose contents the test sets. */
class FakeOwnership : public OwnershipView
{
public:
    const Document *document() const override { return m_document ? &*m_document : nullptr; }
    const Document *documentOf(const ServiceName &service) const override { return m_document && m_document->service == service ? &*m_document : nullptr; }
    const RouteTable *routes() const override { return m_routes ? &*m_routes : nullptr; }
    MemberSlot self() const override { return m_self; }
    const Member *member(MemberSlot slot) const override
    {
        for (const Member &member : m_members) {
            if (member.slot == slot) {
                return &member;
            }
        }
        return nullptr;
    }
    const std::vector<Member> &members() const override { return m_members; }
    const OwnershipMap &map() const override { return m_map; }
    bool mayAdmit(ShardIndex shard, MonotonicTime) const override
    {
        if (!m_leaseValid) {
            return false;
        }
        if (!m_document->isSharded()) {
            return true;
        }
        const ShardOwnership &entry = m_map.shards.at(shard.value());
        return entry.state == ShardOwnership::State::Owned && entry.owner == m_self;
    }
    MonotonicTime workDeadline() const override { return m_workEndsBefore; }
    const std::vector<MemberLoad> &loads() const override { return m_loads; }
    const CellRow *otherCell(const std::string &host) const override { return host == "other.example" ? &m_otherCell : nullptr; }

    void addMember(MemberSlot slot, const std::string &zone, std::uint32_t slots = 10)
    {
        Member member;
        member.slot = slot;
        member.target = TargetName("target-" + std::to_string(slot.value()));
        member.zone = ZoneName(zone);
        member.peerEndpoint = Endpoint{"10.0.0." + std::to_string(slot.value()), 8000};
        member.slots = slots;
        m_members.push_back(member);
    }
    /** Makes the member the owner of every shard, in a new version of the map. */
    void setOwner(MemberSlot owner, ShardOwnership::State state = ShardOwnership::State::Owned)
    {
        ++m_map.version.sequence;
        for (ShardOwnership &entry : m_map.shards) {
            entry = {state, owner, noMember, m_map.version};
        }
    }

    std::optional<Document> m_document;
    /** Routes of the document; empty if it has none. */
    std::optional<RouteTable> m_routes;
    MemberSlot m_self{1};
    std::vector<Member> m_members;
    OwnershipMap m_map;
    bool m_leaseValid = true;
    MonotonicTime m_workEndsBefore = MonotonicTime::max();
    std::vector<MemberLoad> m_loads;
    CellRow m_otherCell;
};

/** A router with a fake ownership view and a manual clock. Keeps the effects of the last event. */
class RouterFixture
{
public:
    explicit RouterFixture(bool sharded = true, std::uint32_t slots = 4, std::uint32_t linkMegabits = 0)
        : m_router(7, linkMegabits)
    {
        m_ownership.m_document.emplace();
        m_ownership.m_document->service = ServiceName("roster");
        m_ownership.m_document->keyHeader = sharded ? "x-roster-key" : "";
        m_ownership.m_document->shards = 4;
        m_ownership.m_document->slowStart = Duration(0);
        m_ownership.m_map.version = Fence{Term(1), 0};
        m_ownership.m_map.shards.resize(4);
        m_ownership.addMember(MemberSlot(1), "north");
        m_ownership.addMember(MemberSlot(2), "south");
        m_ownership.setOwner(MemberSlot(1));
        m_router.setOwnership(m_ownership);
        announce(slots);
        ownershipChanged();
    }

    const Effects &announce(std::uint32_t slots, std::uint64_t incarnation = 1)
    {
        TargetAnnounced announced;
        announced.endpoint = Endpoint{"10.0.0.1", 9000};
        announced.slots = slots;
        announced.targetIncarnation = incarnation;
        return apply(&RequestRouter::targetAnnounced, announced);
    }
    static RequestArrived request(std::uint64_t id, const std::string &method = "GET", const std::string &idempotencyKey = {})
    {
        RequestArrived arrived;
        arrived.request = RequestId(id);
        arrived.host = "roster";
        arrived.method = method;
        arrived.path = "/shifts";
        arrived.headers.emplace_back("x-roster-key", "crew-1");
        if (!idempotencyKey.empty()) {
            arrived.headers.emplace_back("idempotency-key", idempotencyKey);
        }
        return arrived;
    }
    const Effects &arrive(const RequestArrived &arrived) { return apply(&RequestRouter::requestArrived, arrived); }
    const Effects &cancel(std::uint64_t id) { return apply(&RequestRouter::requestCancelled, RequestCancelled{RequestId(id)}); }
    const Effects &answering(AttemptId attempt, std::optional<RelayedStatement> relayed = {})
    {
        return apply(&RequestRouter::attemptAnswering, AttemptAnswering{attempt, 200, std::move(relayed)});
    }
    template <typename Result>
    const Effects &finish(AttemptId attempt, Result result)
    {
        apply(&RequestRouter::attemptFinished, AttemptFinished{attempt, std::move(result)});
        if (const auto checks = all<CheckTarget>(); !checks.empty()) {
            const Effects before = m_effects;
            apply(&RequestRouter::targetChecked, TargetChecked{checks.front().target, m_targetState});
            m_effects.insert(m_effects.begin(), before.begin(), before.end());
        }
        return m_effects;
    }
    const Effects &answered(AttemptId attempt, std::optional<StoredAnswer> answer = {}) { return finish(attempt, AttemptAnswered{200, std::move(answer)}); }
    const Effects &notRun(AttemptId attempt, NotRunReason reason)
    {
        AttemptNotRun result;
        result.reason = reason;
        return finish(attempt, result);
    }
    const Effects &unknown(AttemptId attempt, AttemptUnknown::Reason reason = AttemptUnknown::Reason::ConnectionLost, bool answerBegun = false)
    {
        AttemptUnknown result;
        result.reason = reason;
        result.answerBegun = answerBegun;
        return finish(attempt, result);
    }
    const Effects &targetStated(const TargetStated &stated) { return apply(&RequestRouter::targetStated, stated); }
    const Effects &targetStated(const TargetStatement &statement)
    {
        TargetStated stated;
        stated.target.incarnation = 1;
        stated.statement = statement;
        return targetStated(stated);
    }
    const Effects &ownershipChanged() { return apply(&RequestRouter::ownershipChanged, Tick{}); }
    /** Tells the node to stop; its process is ended from outside after the limit. */
    const Effects &stop(Duration limit)
    {
        m_router.setStopLimit(limit);
        return apply(&RequestRouter::stop, StopRequested{});
    }
    /** Tells the node that the member breaks off the requests of its callers after the given time. */
    const Effects &memberStops(MemberSlot member, Duration requestsEndIn, std::chrono::milliseconds onTheWay = {})
    {
        EffectList effects{HybridTime{}};
        m_router.memberStops(member, requestsEndIn, WallTime(), Event{m_now, WallTime(onTheWay), Tick{}}, effects);
        m_effects = effects.take();
        return m_effects;
    }
    const Effects &tickAfter(Duration duration)
    {
        m_now += duration;
        return apply(&RequestRouter::tick, Tick{});
    }

    /** Returns all effects of the given type from the last event. */
    template <typename Type>
    std::vector<Type> all() const
    {
        std::vector<Type> found;
        for (const Effect &effect : m_effects) {
            if (const auto *match = std::get_if<Type>(&effect)) {
                found.push_back(*match);
            }
        }
        return found;
    }
    /** Returns the only effect of the given type from the last event; throws if there is not exactly one. */
    template <typename Type>
    Type only() const
    {
        const std::vector<Type> found = all<Type>();
        if (found.size() != 1) {
            throw std::runtime_error("expected one effect, found " + std::to_string(found.size()));
        }
        return found.front();
    }

    FakeOwnership m_ownership;
    /** What a check of the target shows. */
    TargetChecked::State m_targetState = TargetChecked::State::Listening;
    RequestRouter m_router;
    MonotonicTime m_now{std::chrono::seconds(100)};
    Effects m_effects;

private:
    const Effects &apply(void (RequestRouter::*handler)(const Event &, EffectList &), EventBody body)
    {
        EffectList effects{HybridTime{}};
        const auto wallTime = WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
        (m_router.*handler)(Event{m_now, wallTime, std::move(body)}, effects);
        m_effects = effects.take();
        return m_effects;
    }
};

} // namespace nutmeghinge::test
