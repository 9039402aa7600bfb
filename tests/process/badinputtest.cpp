#include "deskcluster.h"

#include <catch2/catch.hpp>

TEST_CASE("A node answers invalid requests with an error status and keeps serving valid ones")
{
    DeskCluster desk(1);
    VmProcesses &vm = desk.cluster().vm(0);

    CHECK(sendBlocking(vm.callers, {"GET", "/", {{"host", "no-such-service"}}, {}, 5}).status == 404);
    const BlockingAnswer keyless = sendBlocking(vm.callers, {"GET", "/", {{"host", "advice-desk"}}, {}, 5});
    CHECK(keyless.status == 400);
    CHECK(keyless.headers.at("nutmeghinge-outcome") == "not-run");
    CHECK(desk.cluster().request(vm, "teak", {"POST", "/", {}, std::string(2'000'000, 'x'), 15}).status == 413);
    CHECK(desk.cluster().request(vm, "teak", {"POST", "/", {{"transfer-encoding", "chunked"}}, "0\r\n\r\n", 5}).status == 400);
    CHECK(desk.cluster().request(vm, "teak", {"GET", "/", {{"nutmeghinge-fence", "99999999.1"}, {"nutmeghinge-hops", "7"}}, {}, 5}).status == 200);
    CHECK(sendBlocking(vm.announce, {"POST", "/announce", {}, "{\"service\": 7}", 5}).status == 400);
    CHECK(sendBlocking(vm.operations, {"DELETE", "/status", {}, {}, 5}).status == 405);
    CHECK(desk.cluster().request(vm, "teak").status == 200);
}

TEST_CASE("nutmeghinge --check reports every error of invalid settings and exits with 2")
{
    TestCluster cluster("advice-desk");
    const std::string file = cluster.folder() + "/invalid.yaml";
    {
        ChildProcess write({"/bin/sh", "-c", "printf 'node: 7\\nzones: a\\nplatform: nowhere\\n' > " + file}, cluster.folder() + "/write.log");
        REQUIRE(write.wait() == 0);
    }
    ChildProcess node({NODE_BINARY, "--settings", file, "--check"}, cluster.folder() + "/check.log");
    CHECK(node.wait() == 2);
    CHECK(node.output().find(":2: zones") != std::string::npos);
    CHECK(node.output().find(":3: platform") != std::string::npos);
}

TEST_CASE("nutmeghinge --check says how long a stop lets a target work at an attempt")
{
    TestCluster cluster("advice-desk");
    const std::string file = cluster.folder() + "/stop.yaml";
    {
        ChildProcess write({"/bin/sh",
                            "-c",
                            "printf 'node: a\\nzone: z\\nregion: r\\nplatform: 127.0.0.1:9\\nstopLimit: 6s\\nlisten:\\n  callers: 127.0.0.1:1\\n  peers: "
                            "127.0.0.1:2\\n  control: 127.0.0.1:3\\n  target: 127.0.0.1:4\\n  operations: 127.0.0.1:5\\n' > "
                                + file},
                           cluster.folder() + "/write.log");
        REQUIRE(write.wait() == 0);
    }
    ChildProcess node({NODE_BINARY, "--settings", file, "--check"}, cluster.folder() + "/check.log");
    CHECK(node.wait() == 0);
    CHECK(node.output().find("4842 ms") != std::string::npos);
}
