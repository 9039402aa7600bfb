#include "linkcapacity.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

namespace {

constexpr double bytesPerSecond = 2250000;
constexpr MonotonicTime start{100s};

/** Sends chunks as long as the capacity allows, for the given time, and returns the bytes that were sent. */
std::uint64_t sendFor(LinkCapacity &link, Duration length)
{
    std::uint64_t bytes = 0;
    for (MonotonicTime now = start; now < start + length; now += 1ms) {
        while (link.maySend(now)) {
            link.sent(link.chunkBytes(), now);
            bytes += link.chunkBytes();
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("Large answers take most of the link and never more", "[link]")
{
    LinkCapacity link(bytesPerSecond);
    const std::uint64_t bytes = sendFor(link, 10s);
    CHECK(bytes < 10 * bytesPerSecond);
    CHECK(bytes > 10 * bytesPerSecond * 0.85);
}

TEST_CASE("After a pause, no more is sent at once than the link carries in some tens of milliseconds", "[link]")
{
    LinkCapacity link(bytesPerSecond);
    CHECK(sendFor(link, 1ms) < bytesPerSecond * 0.05);
}

TEST_CASE("Bytes that are sent without asking delay the next chunk", "[link]")
{
    LinkCapacity link(bytesPerSecond);
    link.sent(static_cast<std::uint64_t>(bytesPerSecond / 2), start);
    CHECK_FALSE(link.maySend(start + 400ms));
    CHECK(link.timeUntilChunk(start) > 400ms);
    CHECK(link.maySend(start + link.timeUntilChunk(start)));
}

TEST_CASE("A small answer is due before a large one that is ready at the same time, but not before one that has waited long", "[link]")
{
    const LinkCapacity link(bytesPerSecond);
    CHECK(link.dueAt(10000, start) < link.dueAt(500000, start));
    CHECK(link.dueAt(500000, start) < link.dueAt(10000, start + 600ms));
}

TEST_CASE("Without a known bandwidth nothing is delayed", "[link]")
{
    LinkCapacity link(0);
    link.sent(1U << 30U, start);
    CHECK(link.maySend(start));
    CHECK(link.timeUntilChunk(start) == Duration(0));
}
