#include "../core/examplefile.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

using namespace nutmeghinge;

namespace {

/** Runs nutmeghingectl with its output discarded; returns the exit code. */
int exitCodeOf(const std::string &arguments)
{
    const int status = std::system((std::string(CTL_BINARY) + ' ' + arguments + " >/dev/null 2>&1").c_str());
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace

TEST_CASE("nutmeghingectl document check and diff exit with 0 for valid and 2 for invalid documents")
{
    const std::string valid = examplePath("roster.yaml");
    const std::string invalid = examplePath("node-roster-1.yaml");
    CHECK(exitCodeOf("document check " + valid) == 0);
    CHECK(exitCodeOf("document check --json " + valid) == 0);
    CHECK(exitCodeOf("document diff " + valid + " --against " + examplePath("docs.yaml")) == 0);
    CHECK(exitCodeOf("document check " + invalid) == 2);
    CHECK(exitCodeOf("document check " + valid + ".absent") == 2);
    CHECK(exitCodeOf("document diff " + valid + " --against " + invalid) == 2);
}

TEST_CASE("nutmeghingectl exits with 2 for an invalid command line")
{
    CHECK(exitCodeOf("--help") == 0);
    for (const char *arguments : {"", "document", "document frob", "document check", "document diff a", "document check --frob a"}) {
        INFO(arguments);
        CHECK(exitCodeOf(arguments) == 2);
    }
}

TEST_CASE("nutmeghingectl explain exits with 0, or with 1 for an unknown request and 2 for a missing log")
{
    const std::string log = "/tmp/nutmeghinge-explain-" + std::to_string(getpid()) + ".log";
    std::ofstream(log) << R"({"level":"info","message":"RequestRefused request=6 id=r-1 at=1470.0 this node stops","node":"a","timeMs":1470})"
                       << "\n{\"cut";
    CHECK(exitCodeOf("explain r-1 " + log) == 0);
    CHECK(exitCodeOf("explain r-1 " + log + " " + log + " --json") == 0);
    CHECK(exitCodeOf("explain r-1 " + log + " --html " + log + ".html") == 0);
    CHECK(exitCodeOf("explain r-2 " + log) == 1);
    CHECK(exitCodeOf("explain r-1 " + log + ".absent") == 2);
    CHECK(exitCodeOf("explain r-1") == 2);
    std::remove(log.c_str());
    std::remove((log + ".html").c_str());
}
