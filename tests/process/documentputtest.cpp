#include "../core/examplefile.h"
#include "testcluster.h"

#include <catch2/catch.hpp>

namespace {

/** Runs nutmeghingectl against a stand-in platform, by default with the document roster.yaml; each run has its own output file. */
class PutFixture
{
public:
    std::unique_ptr<ChildProcess> start(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), CTL_BINARY);
        arguments.insert(arguments.end(), {"--platform", m_cluster.platform()});
        return std::make_unique<ChildProcess>(arguments, m_cluster.folder() + "/ctl-" + std::to_string(++m_runs) + ".log");
    }

    int run(const std::vector<std::string> &arguments)
    {
        const auto process = start(arguments);
        const int code = process->wait();
        m_output = process->output();
        return code;
    }

    int put(const std::vector<std::string> &more = {})
    {
        std::vector<std::string> arguments{"document", "put", nutmeghinge::examplePath("roster.yaml")};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return run(arguments);
    }

    std::string writeFile(const std::string &text) const
    {
        std::string file = m_cluster.folder() + "/edited.yaml";
        std::ofstream(file) << text;
        return file;
    }

    void control(const nlohmann::json &faults) { TestCluster::control(m_cluster.platform(), faults); }
    nlohmann::json row() const
    {
        const BlockingAnswer answer = sendBlocking(m_cluster.platform(), {"GET", "/table/rows/document/roster", {}, {}, 5});
        return nlohmann::json::parse(nlohmann::json::parse(answer.body).at("value").get<std::string>());
    }
    bool hasWritten(int writes) const
    {
        return TestCluster::waitUntil([&] {
            const BlockingAnswer answer = sendBlocking(m_cluster.platform(), {"GET", "/control", {}, {}, 5});
            return answer.status == 200 && nlohmann::json::parse(answer.body).at("writes") == writes;
        });
    }
    const std::string &output() const { return m_output; }
    TestCluster &cluster() { return m_cluster; }

private:
    TestCluster m_cluster{"roster"};
    std::string m_output;
    int m_runs = 0;
};

} // namespace

TEST_CASE("document put prints the accepted revision, and the row keeps earlier revisions", "[document]")
{
    PutFixture fixture;
    CHECK(fixture.put({"--editor", "ann"}) == 0);
    CHECK(fixture.output() == "roster revision 1 accepted\n");
    CHECK(fixture.put({"--editor", "bob", "--base", "1"}) == 0);
    CHECK(fixture.row().at("revision") == 2);
    CHECK(fixture.row().at("editor") == "bob");
    REQUIRE(fixture.row().at("previous").size() == 1);
    CHECK(fixture.row().at("previous")[0].at("editor") == "ann");
}

TEST_CASE("document put with a stale base prints both revisions and the editor of the newer one", "[document]")
{
    PutFixture fixture;
    REQUIRE(fixture.put() == 0);
    REQUIRE(fixture.put({"--editor", "ann"}) == 0);
    CHECK(fixture.put({"--base", "1"}) == 1);
    CHECK(fixture.output().find("edit of revision 1 conflicts: revision 2 is in force, put by ann at 20") != std::string::npos);
    CHECK(fixture.row().at("revision") == 2);
}

TEST_CASE("Of two concurrent puts with the same base exactly one is accepted", "[document]")
{
    PutFixture fixture;
    REQUIRE(fixture.put() == 0);
    // With the delay, both processes read the row before either writes it.
    fixture.control({{"delayMs", 200}});
    const std::vector<std::string> arguments{"document", "put", nutmeghinge::examplePath("roster.yaml"), "--base", "1"};
    const auto first = fixture.start(arguments);
    const auto second = fixture.start(arguments);
    const int firstCode = first->wait();
    const int secondCode = second->wait();
    CHECK(firstCode + secondCode == 1);
    CHECK((firstCode == 0 || secondCode == 0));
    CHECK(fixture.row().at("revision") == 2);
}

TEST_CASE("document put writes one revision if the platform's answer is lost", "[document]")
{
    // With 1, the answer to the write of the object is dropped; with 2, also the answer to the transaction.
    const int dropped = GENERATE(1, 2);
    PutFixture fixture;
    fixture.control({{"dropAnswers", dropped}});
    CHECK(fixture.put() == 0);
    CHECK(fixture.output() == "roster revision 1 accepted\n");
    CHECK(fixture.row().at("revision") == 1);
    CHECK(fixture.row().at("previous").empty());
}

TEST_CASE("document put with a failed transaction prints whether the outcome is unknown or the put can be repeated", "[document]")
{
    const bool staysDown = GENERATE(false, true);
    PutFixture fixture;
    REQUIRE(fixture.put() == 0);
    fixture.control({{"delayMs", 400}});
    const auto process = fixture.start({"document", "put", nutmeghinge::examplePath("roster.yaml")});
    // The third write stores the object of the second put; the next call is the transaction of that put.
    REQUIRE(fixture.hasWritten(3));
    fixture.control({{"failNext", 1}, {"down", staysDown}});
    CHECK(process->wait() == 1);
    const std::string output = process->output();
    INFO(output);
    CHECK((output.find("the outcome is unknown") != std::string::npos) == staysDown);
    CHECK((output.find("may be put again") != std::string::npos) == !staysDown);
    fixture.control({{"failNext", 0}, {"down", false}, {"delayMs", 0}});
    CHECK(fixture.row().at("revision") == 1);
}

TEST_CASE("document put fails while the platform is down", "[document]")
{
    PutFixture fixture;
    fixture.control({{"down", true}});
    CHECK(fixture.put() == 1);
    CHECK(fixture.output().find("not accepted") != std::string::npos);
}

TEST_CASE("document put of an invalid file prints the lines with errors and writes nothing", "[document]")
{
    PutFixture fixture;
    const std::string file = nutmeghinge::examplePath("node-roster-1.yaml");
    CHECK(fixture.run({"document", "put", file}) == 2);
    CHECK(fixture.output().find(file + ":3: zone") != std::string::npos);
    CHECK(fixture.hasWritten(0));
}

TEST_CASE("document get prints the current and earlier revisions, and document history lists them", "[document]")
{
    PutFixture fixture;
    const std::string roster = nutmeghinge::examplePath("roster.yaml");
    const std::string edited = fixture.writeFile(nutmeghinge::exampleText("roster.yaml").replace(0, 1, "# Edited."));
    CHECK(fixture.run({"document", "get", "roster"}) == 1);
    CHECK(fixture.run({"document", "history", "roster"}) == 1);
    REQUIRE(fixture.put({"--editor", "ann"}) == 0);
    REQUIRE(fixture.run({"document", "put", edited, "--editor", "bob"}) == 0);
    CHECK(fixture.run({"document", "get", "roster", "--revision", "1"}) == 0);
    CHECK(fixture.output() == nutmeghinge::exampleText("roster.yaml"));
    CHECK(fixture.run({"document", "get", "roster"}) == 0);
    CHECK(fixture.output().starts_with("# Edited."));
    CHECK(fixture.run({"document", "get", "roster", "--revision", "3"}) == 1);
    CHECK(fixture.run({"document", "history", "roster", "--json"}) == 0);
    const auto entries = nlohmann::json::parse(fixture.output());
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].at("editor") == "bob");
    CHECK(entries[1].at("revision") == 1);
}

TEST_CASE("document diff compares a file with the current revision or with a given one", "[document]")
{
    PutFixture fixture;
    std::string text = nutmeghinge::exampleText("roster.yaml");
    text.replace(text.find("queue: 64"), 9, "queue: 65");
    const std::string edited = fixture.writeFile(text);
    REQUIRE(fixture.put() == 0);
    REQUIRE(fixture.run({"document", "put", edited}) == 0);
    CHECK(fixture.run({"document", "diff", edited}) == 0);
    CHECK(fixture.output().empty());
    CHECK(fixture.run({"document", "diff", edited, "--against", "1"}) == 0);
    CHECK(fixture.output().find("queue: 64 -> 65") != std::string::npos);
    CHECK(fixture.run({"document", "diff", edited, "--against", "3"}) == 1);
}

TEST_CASE("A node applies the first revision of a document and then the next one", "[document]")
{
    PutFixture fixture;
    REQUIRE(fixture.put() == 0);
    const VmProcesses &vm = fixture.cluster().addVm("roster-1", "a");
    CHECK(TestCluster::waitUntil([&] { return fixture.cluster().status(vm).value("document", 0) == 1; }));
    REQUIRE(fixture.put() == 0);
    CHECK(TestCluster::waitUntil([&] { return fixture.cluster().status(vm).value("document", 0) == 2; }));
}
