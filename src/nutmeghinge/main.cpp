#include "commandline.h"
#include "eventloop.h"
#include "logsetup.h"
#include "node.h"
#include "nodesettingsparser.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <spdlog/spdlog.h>
#include <sstream>

using namespace nutmeghinge;

namespace {

/** Calls Node::requestStop() for SIGTERM and SIGINT. */
class StopSignals
{
public:
    StopSignals(EventLoop &loop, Node &node)
    {
        for (std::size_t index = 0; index < m_handles.size(); ++index) {
            uv_signal_init(loop.handle(), &m_handles[index]);
            m_handles[index].data = &node;
            uv_signal_start(&m_handles[index], onSignal, signals[index]);
        }
    }

private:
    static constexpr std::array<int, 2> signals{SIGTERM, SIGINT};

    static void onSignal(uv_signal_t *handle, int) { static_cast<Node *>(handle->data)->requestStop(); }

    std::array<uv_signal_t, 2> m_handles{};
};

ParsedNodeSettings readNodeSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return std::vector<DocumentFault>{DocumentFault{0, {}, "cannot be read"}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseNodeSettings(text.str());
}

int runNode(const CommandLine &commandLine, const NodeSettings &settings)
{
    setUpLog(commandLine.logLevel.value_or(settings.logLevel), settings.logFormat, settings.node.value());
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    Node node(loop, settings);
    if (const std::optional<ListenFault> fault = node.start()) {
        spdlog::error("cannot listen on {}:{}: {}", fault->endpoint.address, fault->endpoint.port, fault->reason);
        return 1;
    }
    StopSignals signals(loop, node);
    loop.run();
    spdlog::default_logger()->flush();
    // Adapters may still have handles on the loop; the process ends with them.
    std::_Exit(node.exitCode());
}

} // namespace

int main(int argc, char **argv)
{
    const std::variant<CommandLine, CommandLineEnd> parsed = parseCommandLine(argc, argv);
    if (const auto *end = std::get_if<CommandLineEnd>(&parsed)) {
        (end->exitCode == 0 ? std::cout : std::cerr) << end->text;
        return end->exitCode;
    }
    const auto &commandLine = std::get<CommandLine>(parsed);
    const ParsedNodeSettings settings = readNodeSettings(commandLine.settingsFile);
    if (const auto *faults = std::get_if<std::vector<DocumentFault>>(&settings)) {
        for (const DocumentFault &fault : *faults) {
            std::cerr << commandLine.settingsFile << ':' << fault.line << ": " << fault.field << ": " << fault.reason << '\n';
        }
        return 2;
    }
    if (commandLine.checkOnly) {
        std::cout << commandLine.settingsFile << ": ok\n";
        return 0;
    }
    return runNode(commandLine, std::get<NodeSettings>(settings));
}
