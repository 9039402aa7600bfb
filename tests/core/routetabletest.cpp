#include "routetable.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;

namespace {

RequestRoute route(const std::string &name, const std::string &host, const std::string &prefix)
{
    RequestRoute result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.services = {{ServiceName("roster"), 1}};
    return result;
}

std::string found(const RouteTable &table, std::string_view host, std::string_view path)
{
    const RequestRoute *match = table.find(host, path);
    return match ? match->name : std::string("none");
}

} // namespace

TEST_CASE("The route with the longest matching path prefix of the host is found")
{
    const RouteTable table({route("all", "a.example", "/"), route("shifts", "a.example", "/shifts/"), route("now", "a.example", "/shifts/now/")});
    CHECK(found(table, "a.example", "/") == "all");
    CHECK(found(table, "a.example", "/shifts") == "all");
    CHECK(found(table, "a.example", "/shifts/7") == "shifts");
    CHECK(found(table, "a.example", "/shifts/now/") == "now");
    CHECK(found(table, "a.example", "/shifts/nowhere") == "shifts");
    CHECK(found(table, "a.example", "/other?next=/shifts/now/") == "all");
}

TEST_CASE("No route is found for an unknown host or path")
{
    const RouteTable table({route("shifts", "a.example", "/shifts/")});
    CHECK(found(table, "b.example", "/shifts/1") == "none");
    CHECK(found(table, "a.example", "/claims/1") == "none");
    CHECK(found(table, "a.example", "") == "none");
    CHECK(found(table, "a.example", "shifts/") == "none");
    CHECK(found(RouteTable(), "a.example", "/shifts/1") == "none");
}

TEST_CASE("A host that contains the start of a path does not match a route of another host")
{
    const RouteTable table({route("one", "a", "/b/c/")});
    CHECK(found(table, "a/b", "/c/") == "none");
}
