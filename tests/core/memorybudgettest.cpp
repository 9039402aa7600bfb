#include "memorybudget.h"
#include "connectionbudget.h"
#include "memorycharge.h"

#include <catch2/catch.hpp>
#include <memory>
#include <numeric>
#include <rapidcheck/catch.h>
#include <vector>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t total = 1000;
constexpr std::uint64_t small = 50;
constexpr std::uint64_t reserve = 200;
const MemoryBudget::Limits limits{.total = total, .smallReserve = reserve, .smallBytes = small, .stallTime = 1s};

/** A client whose request is being received; its memory is freed when the budget reclaims it. */
class Client
{
public:
    Client(MemoryBudget &budget, MonotonicTime now, MemoryCharge::Reclaim reclaim = MemoryCharge::Reclaim::Always)
        : m_charge(std::make_unique<MemoryCharge>(&budget, now))
    {
        m_charge->setReclaimFunction([this] { end(); }, reclaim);
    }

    bool receive(std::uint64_t bytes, MonotonicTime now)
    {
        if (ended() || !m_charge->resize(m_charge->bytes() + bytes, now)) {
            end();
            return false;
        }
        m_charge->recordProgress(now);
        return true;
    }
    /** The request is complete, so that its memory must be kept. */
    void complete()
    {
        if (!ended()) {
            m_charge->setReclaimFunction(nullptr);
        }
    }
    void end() { m_charge.reset(); }
    bool ended() const { return m_charge == nullptr; }
    std::uint64_t held() const { return ended() ? 0 : m_charge->bytes(); }

private:
    std::unique_ptr<MemoryCharge> m_charge;
};

MonotonicTime at(Duration time)
{
    return MonotonicTime(time);
}

class Connection final : public ConnectionBudget::Holder
{
public:
    Connection(ConnectionBudget &budget, bool served, Duration idleSince)
        : m_served(served)
        , m_idleSince(at(idleSince))
    {
        budget.add(*this);
    }

    bool isClosable() const override { return !busy; }
    bool hasServed() const override { return m_served; }
    MonotonicTime idleSince() const override { return m_idleSince; }
    void closeForRoom() override { closed = true; }

    bool busy = false;
    bool closed = false;

private:
    bool m_served;
    MonotonicTime m_idleSince;
};

} // namespace

TEST_CASE("What clients are charged is what they hold, never over the limit, and nothing at the end", "[memory]")
{
    rc::prop("in any order of arrivals, pauses, ends and cancellations", [] {
        MemoryBudget budget(limits);
        std::vector<std::unique_ptr<Client>> clients;
        MonotonicTime now = at(0s);
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
            const int action = *rc::gen::inRange(0, 10);
            if (clients.empty() || action == 0) {
                const bool whenStalled = *rc::gen::inRange(0, 4) == 0;
                clients.push_back(std::make_unique<Client>(budget, now, whenStalled ? MemoryCharge::Reclaim::IfStalled : MemoryCharge::Reclaim::Always));
                continue;
            }
            Client &client = *clients[*rc::gen::inRange<std::size_t>(0, clients.size())];
            if (action == 1) {
                client.end();
            } else if (action == 2) {
                client.complete();
            } else {
                client.receive(*rc::gen::inRange<std::uint64_t>(0, 400), now);
            }
            const auto held =
                std::accumulate(clients.begin(), clients.end(), std::uint64_t(0), [](std::uint64_t sum, const auto &entry) { return sum + entry->held(); });
            RC_ASSERT(budget.used() == held);
            RC_ASSERT(held <= total);
        }
        clients.clear();
        RC_ASSERT(budget.used() == 0U);
    });
}

TEST_CASE("Large bodies that each hold a part do not wait for one another", "[memory]")
{
    MemoryBudget budget(limits);
    Client first(budget, at(0s));
    Client second(budget, at(0s));
    Client third(budget, at(0s));
    for (int part = 0; part < 8 && !first.ended(); ++part) {
        CHECK(first.receive(100, at(10ms * part)));
        second.receive(100, at(10ms * part));
        third.receive(100, at(10ms * part));
    }
    CHECK(first.held() == total - reserve);
    CHECK(second.ended());
    CHECK(third.ended());
}

TEST_CASE("A body that makes no progress makes room for a new one, the largest first", "[memory]")
{
    MemoryBudget budget(limits);
    Client smaller(budget, at(0s));
    Client larger(budget, at(0s));
    REQUIRE(smaller.receive(300, at(0s)));
    REQUIRE(larger.receive(400, at(0s)));
    Client legal(budget, at(2s));
    CHECK(legal.receive(400, at(2s)));
    CHECK(larger.ended());
    CHECK_FALSE(smaller.ended());
    CHECK(legal.receive(400, at(2s)));
    CHECK(smaller.ended());
}

TEST_CASE("Small bodies find room beside large ones that must be kept", "[memory]")
{
    MemoryBudget budget(limits);
    Client large(budget, at(0s));
    REQUIRE(large.receive(total - reserve, at(0s)));
    large.complete();
    Client refused(budget, at(0s));
    CHECK_FALSE(refused.receive(100, at(0s)));
    Client ordinary(budget, at(0s));
    CHECK(ordinary.receive(small, at(0s)));
    CHECK(large.held() == total - reserve);
}

TEST_CASE("Answers on their way are reclaimed only from clients that do not read them", "[memory]")
{
    MemoryBudget budget(limits);
    Client reader(budget, at(0s), MemoryCharge::Reclaim::IfStalled);
    REQUIRE(reader.receive(800, at(0s)));
    Client body(budget, at(500ms));
    CHECK_FALSE(body.receive(300, at(500ms)));
    Client later(budget, at(2s));
    CHECK(later.receive(300, at(2s)));
    CHECK(reader.ended());
}

TEST_CASE("Answers on their way get room from bodies that are being received", "[memory]")
{
    MemoryBudget budget(limits);
    Client body(budget, at(0s));
    REQUIRE(body.receive(total - reserve, at(0s)));
    Client reader(budget, at(100ms), MemoryCharge::Reclaim::IfStalled);
    CHECK(reader.receive(reserve, at(100ms)));
    CHECK_FALSE(body.ended());
    CHECK(reader.receive(100, at(100ms)));
    CHECK(body.ended());
}

TEST_CASE("Unread answers make room for a large body", "[memory]")
{
    MemoryBudget budget(limits);
    Client unread(budget, at(0s), MemoryCharge::Reclaim::IfStalled);
    REQUIRE(unread.receive(total, at(0s)));
    Client body(budget, at(2s));
    CHECK(body.receive(total - reserve, at(2s)));
    CHECK(unread.ended());
}

TEST_CASE("Memory in use stays charged if it cannot be reclaimed", "[memory]")
{
    MemoryBudget budget(limits);
    MemoryCharge busy(&budget, at(0s));
    int asked = 0;
    busy.setReclaimFunction([&] { ++asked; });
    REQUIRE(busy.resize(700, at(0s)));
    Client body(budget, at(2s));
    CHECK_FALSE(body.receive(300, at(2s)));
    CHECK(asked == 1);
    CHECK(budget.used() == 700);
}

TEST_CASE("Connections that never served a request make room first, then those idle for longest", "[connections]")
{
    constexpr std::uint64_t descriptors = 20;
    ConnectionBudget budget(descriptors);
    REQUIRE(budget.limit() == 2);
    Connection served(budget, true, 1s);
    Connection unused(budget, false, 5s);
    REQUIRE(budget.makeRoom());
    CHECK(unused.closed);
    Connection next(budget, true, 0s);
    REQUIRE(budget.makeRoom());
    CHECK(next.closed);
    Connection busy(budget, false, 0s);
    busy.busy = true;
    served.busy = true;
    CHECK_FALSE(budget.makeRoom());
    CHECK_FALSE(served.closed);
    CHECK(budget.closed() == 3);
    budget.remove(served);
    budget.addOwn();
    CHECK_FALSE(budget.makeRoom());
    budget.removeOwn();
    CHECK(budget.makeRoom());
}
