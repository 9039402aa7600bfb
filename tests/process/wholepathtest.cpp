#include "deskcluster.h"

#include <catch2/catch.hpp>

#include <set>

namespace {

constexpr int keys = 100;

/** Returns the name of the target that answers a request for the key; empty if none does. */
std::string answeringTarget(DeskCluster &desk, const VmProcesses &entry, const std::string &key, const std::string &method)
{
    const BlockingAnswer answer = desk.cluster().request(entry, key, {method, "/advice", {}, "", 15});
    INFO(answer.body);
    CHECK(answer.whole);
    return answer.status == 200 ? nlohmann::json::parse(answer.body).at("target").get<std::string>() : std::string();
}

nlohmann::json mapVersion(DeskCluster &desk)
{
    return desk.cluster().status(desk.cluster().vm(0)).value("map", nlohmann::json());
}

/** Returns the targets that answer requests for the key through every node; repeats the requests if the ownership map changes meanwhile. */
std::set<std::string> answeringTargets(DeskCluster &desk, const std::string &key, const std::string &method)
{
    std::set<std::string> answering;
    nlohmann::json before;
    do {
        answering.clear();
        before = mapVersion(desk);
        for (std::size_t index = 0; index < desk.cluster().size(); ++index) {
            answering.insert(answeringTarget(desk, desk.cluster().vm(index), key, method));
        }
    } while (mapVersion(desk) != before);
    return answering;
}

} // namespace

TEST_CASE("The sole owner of a key answers its requests, whichever node receives them")
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
