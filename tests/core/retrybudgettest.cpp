#include "retrybudget.h"
#include "pseudorandom.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

const ServiceName roster("roster");
const ServiceName documents("documents");
constexpr MonotonicTime start{100s};

} // namespace

TEST_CASE("Retries at a service are limited by its own requests, not by those for others")
{
    RetryBudget budget;
    budget.setLimits({0.2, 2, 10s});
    for (int i = 0; i < 1000; ++i) {
        budget.recordRequest(documents, start);
    }
    CHECK(budget.spend(roster, start));
    CHECK(budget.spend(roster, start));
    CHECK_FALSE(budget.spend(roster, start));
    for (int i = 0; i < 10; ++i) {
        budget.recordRequest(roster, start + 1s);
    }
    CHECK(budget.spend(roster, start + 1s));
    CHECK(budget.spend(roster, start + 1s));
    CHECK_FALSE(budget.spend(roster, start + 1s));
}

TEST_CASE("In any span of the window's length, retries stay within the ratio and the reserve, also when load rises and falls")
{
    RetryBudget budget;
    constexpr double ratio = 0.2;
    constexpr double reserve = 5;
    constexpr Duration window = 10s;
    budget.setLimits({ratio, reserve, window});
    PseudoRandom random(11);
    std::vector<MonotonicTime> requests;
    std::vector<MonotonicTime> retries;
    for (MonotonicTime now = start; now < start + 120s; now += 20ms) {
        const bool busy = (now - start) % 30s < 12s;
        for (std::uint64_t i = random.below(busy ? 8 : 2); i > 0; --i) {
            budget.recordRequest(roster, now);
            requests.push_back(now);
        }
        while (budget.spend(roster, now)) {
            retries.push_back(now);
        }
    }
    const auto within = [](const std::vector<MonotonicTime> &times, MonotonicTime from, MonotonicTime to) {
        return static_cast<double>(std::count_if(times.begin(), times.end(), [&](MonotonicTime time) { return time >= from && time < to; }));
    };
    for (MonotonicTime from = start; from < start + 110s; from += 500ms) {
        // The requests that a retry is charged to may lie up to one window before it.
        const double allowed = ratio * std::max(within(requests, from, from + window), within(requests, from - window, from)) + reserve;
        const double halfBefore = ratio * within(requests, from - window / 2, from + window / 2) + reserve;
        CHECK(within(retries, from, from + window) <= std::max(allowed, halfBefore));
    }
}
