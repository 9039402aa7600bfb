#include <catch2/catch.hpp>

#include <cstdlib>

TEST_CASE("nutmeghinge --version exits with 0")
{
    CHECK(std::system(NODE_BINARY " --version >/dev/null") == 0);
}
