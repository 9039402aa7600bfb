#include "eventloop.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

TEST_CASE("EventLoop calls functions in the order of their delays")
{
    EventLoop loop;
    std::vector<int> calls;
    loop.callLater(std::chrono::milliseconds(2), [&] {
        calls.push_back(2);
        loop.stop();
    });
    loop.callLater(std::chrono::milliseconds(1), [&] { calls.push_back(1); });
    loop.run();
    CHECK(calls == std::vector<int>{1, 2});
}
