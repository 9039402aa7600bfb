#include "loglimiter.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace std::chrono_literals;

TEST_CASE("The log limiter admits a limited number of lines per second and counts the suppressed ones")
{
    LogLimiter limiter(20);
    const MonotonicTime start(100s);
    int written = 0;
    for (int line = 0; line < 1000; ++line) {
        written += limiter.admit(start + line * 1ms) ? 1 : 0;
    }
    CHECK(written == 20);
    CHECK(limiter.takeSuppressed(start + 999ms) == 0);
    CHECK(limiter.takeSuppressed(start + 1s) == 980);
    CHECK(limiter.takeSuppressed(start + 1s) == 0);
    CHECK(limiter.admit(start + 1500ms));
}
