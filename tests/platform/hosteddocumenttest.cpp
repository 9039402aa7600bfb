#include "hosteddocumentformat.h"
#include "jsonreader.h"

#include <catch2/catch.hpp>

using namespace nutmeghinge;
using namespace nutmeghinge::hosted;
using namespace std::chrono_literals;

namespace {

nlohmann::json configuration()
{
    return {{"version", 7},
            {"routes",
             {{{"name", "r-1"},
               {"host", "d.example"},
               {"prefix", "/a/"},
               {"kind", "unsafe"},
               {"timeout", 1200},
               {"target_latency", 800},
               {"priority", 1},
               {"service", "roster"},
               {"max_attempts", 2}},
              {{"name", "r-2"},
               {"host", "d.example"},
               {"prefix", "/b/"},
               {"kind", "download"},
               {"weighted_services", {{{"service", "roster"}, {"weight", 90}}, {{"service", "docs"}, {"weight", 10}}}}}}},
            {"services", {{{"name", "roster"}, {"health_path", "/ok"}, {"sharded", true}}, {{"name", "docs"}}}},
            {"limits", {{"idle_timeout", 15000}}},
            {"unknown", true}};
}

std::variant<DocumentSet, std::vector<DocumentError>> parsed(const nlohmann::json &json)
{
    Document defaults;
    defaults.placedByRange = true;
    defaults.grantsByHeartbeat = true;
    defaults.shards = 64;
    return HostedDocumentFormat(defaults).parse(jsonToText(json));
}

} // namespace

TEST_CASE("HostedDocumentFormat converts the services and routes of a valid configuration")
{
    const auto result = parsed(configuration());
    const auto &set = std::get<DocumentSet>(result);
    REQUIRE(set.services.size() == 2);
    const Document *roster = set.find(ServiceName("roster"));
    REQUIRE(roster);
    CHECK(roster->isSharded());
    CHECK(roster->grantsByHeartbeat);
    CHECK(roster->shards == 64);
    CHECK(roster->healthPath == "/ok");
    const Document *docs = set.find(ServiceName("docs"));
    REQUIRE(docs);
    CHECK_FALSE(docs->isSharded());
    CHECK_FALSE(docs->grantsByHeartbeat);

    const RequestRoute *order = set.routes.find("d.example", "/a/7");
    REQUIRE(order);
    CHECK_FALSE(order->repeatable);
    CHECK(order->timeout == 1200ms);
    CHECK(order->objective == 800ms);
    CHECK(order->maximumAttempts == 2);
    CHECK(order->priority == 1);
    CHECK(order->services == std::vector<WeightedService>{{ServiceName("roster"), 1}});
    const RequestRoute *download = set.routes.find("d.example", "/b/");
    REQUIRE(download);
    CHECK(download->repeatable);
    CHECK(download->largeAnswers);
    CHECK(download->services == std::vector<WeightedService>{{ServiceName("roster"), 90}, {ServiceName("docs"), 10}});
}

TEST_CASE("HostedDocumentFormat returns errors instead of documents for an invalid configuration")
{
    const auto [pointer, value] = GENERATE(table<std::string, nlohmann::json>({
        {"/routes", "none"},
        {"/routes/0/host", 5},
        {"/routes/0/prefix", "a/"},
        {"/routes/0/prefix", "/a"},
        {"/routes/0/timeout", -1},
        {"/routes/0/service", nullptr},
        {"/routes/1/weighted_services", nlohmann::json::array()},
        {"/services", nlohmann::json::array()},
        {"/services/0/name", 1},
        {"/services/0/sharded", "yes"},
    }));
    nlohmann::json json = configuration();
    json[nlohmann::json::json_pointer(pointer)] = value;
    CHECK(std::holds_alternative<std::vector<DocumentError>>(parsed(json)));
}
