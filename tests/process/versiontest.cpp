#include <catch2/catch.hpp>

#include <cstdlib>

TEST_CASE("The node prints its version")
{
    CHECK(std::system(NODE_BINARY " --version >/dev/null") == 0);
}
