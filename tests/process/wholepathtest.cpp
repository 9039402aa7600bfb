#include "deskcluster.h"

#include <catch2/catch.hpp>

#include <set>

namespace {

constexpr int keys = 100;

/** Target that answers a request for the key; empty where none does. */
std::string answeringTarget(DeskCluster &desk, const TestSeat &entry, const std::string &key, const std::string &method)
{
    const BlockingAnswer answer = desk.cluster().request(entry, key, {method, "/advice", {}, "", 15});
    INFO(answer.body);
    CHECK(answer.whole);
    return answer.status == 200 ? nlohmann::json::parse(answer.body).at("target").get<std::string>() : std::string();
}

nlohmann::json mapVersion(DeskCluster &desk)
{
    return desk.cluster().status(desk.cluster().seat(0)).value("map", nlohmann::json());
}

/** Targets that answer for the key, asked through every node while the map stays the same. */
std::set<std::string> answeringTargets(DeskCluster &desk, const std::string &key, const std::string &method)
{
    std::set<std::string> answering;
    nlohmann::json before;
    do {
        answering.clear();
        before = mapVersion(desk);
        for (std::size_t index = 0; index < desk.cluster().size(); ++index) {
            answering.insert(answeringTarget(desk, desk.cluster().seat(index), key, method));
        }
    } while (mapVersion(desk) != before);
    return answering;
}

} // namespace

TEST_CASE("A request to any node is answered by the sole owner of its key")
{
    DeskCluster desk(3);
    std::set<std::string> owners;
    for (int number = 0; number < keys; ++number) {
        const std::string key = "merchant-" + std::to_string(number);
        const std::set<std::string> answering = answeringTargets(desk, key, number % 2 == 0 ? "GET" : "POST");
        CHECK(answering.size() == 1);
        CHECK(!answering.contains(""));
        owners.insert(answering.begin(), answering.end());
    }
    CHECK(owners.size() > 1);
}
