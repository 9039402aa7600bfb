#include "deskcluster.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>

namespace {

std::string settingsOf(const TestCluster &cluster, const TestSeat &seat)
{
    return cluster.folder() + '/' + seat.name + ".yaml";
}

} // namespace

TEST_CASE("A node takes up the log level at SIGHUP, and keeps its settings where the new ones are faulty")
{
    DeskCluster desk(1);
    TestSeat &seat = desk.cluster().seat(0);
    std::ofstream(settingsOf(desk.cluster(), seat), std::ios::app) << "log: {level: debug}\n";
    seat.node->sendSignal(SIGHUP);
    CHECK(TestCluster::waitUntil([&] { return seat.node->output().find("settings reloaded: log level debug") != std::string::npos; }));
    CHECK(desk.cluster().request(seat, "teak").status == 200);

    std::ofstream(settingsOf(desk.cluster(), seat), std::ios::app) << "frob: 1\n";
    seat.node->sendSignal(SIGHUP);
    CHECK(TestCluster::waitUntil([&] { return seat.node->output().find("settings not reloaded") != std::string::npos; }));
    CHECK(desk.cluster().request(seat, "teak").status == 200);
    CHECK_FALSE(seat.node->hasEnded());
}
