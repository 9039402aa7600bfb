#include "deskcluster.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>

namespace {

std::string settingsOf(const TestCluster &cluster, const VmProcesses &vm)
{
    return cluster.folder() + '/' + vm.name + ".yaml";
}

} // namespace

TEST_CASE("A node applies a new log level on SIGHUP, and keeps its settings if the new ones are invalid")
{
    DeskCluster desk(1);
    VmProcesses &vm = desk.cluster().vm(0);
    std::ofstream(settingsOf(desk.cluster(), vm), std::ios::app) << "log: {level: debug}\n";
    vm.node->sendSignal(SIGHUP);
    CHECK(TestCluster::waitUntil([&] { return vm.node->output().find("settings reloaded: log level debug") != std::string::npos; }));
    CHECK(desk.cluster().request(vm, "teak").status == 200);

    std::ofstream(settingsOf(desk.cluster(), vm), std::ios::app) << "frob: 1\n";
    vm.node->sendSignal(SIGHUP);
    CHECK(TestCluster::waitUntil([&] { return vm.node->output().find("settings not reloaded") != std::string::npos; }));
    CHECK(desk.cluster().request(vm, "teak").status == 200);
    CHECK_FALSE(vm.node->hasEnded());
}
