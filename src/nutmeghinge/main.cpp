#include "commandline.h"
#include "eventloop.h"
#include "hostedadapters.h"
#include "logsetup.h"
#include "node.h"
#include "nodesettingsparser.h"
#include "processlimits.h"
#include "stopschedule.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <spdlog/spdlog.h>
#include <sstream>

using namespace nutmeghinge;

namespace {

ParsedNodeSettings readNodeSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        return std::vector<DocumentError>{DocumentError{0, {}, "cannot be read"}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseNodeSettings(text.str());
}

NodeAdapters makeAdapters(const NodeSettings &settings)
{
    return settings.protocol == hosted::protocolName ? hosted::makeAdapters(settings) : makeOwnAdapters(settings);
}

/** Stops the node on SIGTERM and SIGINT, and reloads its settings on SIGHUP. */
class NodeSignals
{
public:
    NodeSignals(EventLoop &loop, Node &node, std::string settingsFile)
        : m_node(node)
        , m_settingsFile(std::move(settingsFile))
    {
        for (std::size_t index = 0; index < m_handles.size(); ++index) {
            uv_signal_init(loop.handle(), &m_handles[index]);
            m_handles[index].data = this;
            uv_signal_start(&m_handles[index], onSignal, signals[index]);
        }
    }

private:
    static constexpr std::array<int, 3> signals{SIGTERM, SIGINT, SIGHUP};

    static void onSignal(uv_signal_t *handle, int number)
    {
        auto *self = static_cast<NodeSignals *>(handle->data);
        if (number == SIGHUP) {
            self->reload();
        } else {
            self->m_node.requestStop();
        }
    }

    /** Reloads the settings file. If it is invalid, logs its errors and keeps the current settings. */
    void reload()
    {
        const ParsedNodeSettings settings = readNodeSettings(m_settingsFile);
        if (const auto *errors = std::get_if<std::vector<DocumentError>>(&settings)) {
            for (const DocumentError &error : *errors) {
                spdlog::error("settings not reloaded: {}:{}: {}: {}", m_settingsFile, error.line, error.field, error.reason);
            }
            return;
        }
        m_node.reload(std::get<NodeSettings>(settings));
    }

    Node &m_node;
    std::string m_settingsFile;
    std::array<uv_signal_t, 3> m_handles{};
};

int runNode(const CommandLine &commandLine, const NodeSettings &settings)
{
    setUpLog(commandLine.logLevel.value_or(settings.logLevel), settings.logFormat, settings.node.value());
    std::signal(SIGPIPE, SIG_IGN);
    configureAllocator();
    EventLoop loop;
    Node node(loop, settings, makeAdapters(settings));
    if (const std::optional<ListenError> error = node.start()) {
        spdlog::error("cannot listen on {}:{}: {}", error->endpoint.address, error->endpoint.port, error->reason);
        shutDownLog();
        return 1;
    }
    const NodeSignals signals(loop, node, commandLine.settingsFile);
    loop.run();
    shutDownLog();
    // Adapters may still have open handles on the loop, so the process exits without running destructors.
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
    if (const auto *errors = std::get_if<std::vector<DocumentError>>(&settings)) {
        for (const DocumentError &error : *errors) {
            std::cerr << commandLine.settingsFile << ':' << error.line << ": " << error.field << ": " << error.reason << '\n';
        }
        return 2;
    }
    if (commandLine.checkOnly) {
        std::cout << commandLine.settingsFile << ": ok\n";
        if (const Duration limit = std::get<NodeSettings>(settings).stopLimit; limit > Duration::zero()) {
            const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(StopSchedule::longestWork(limit));
            std::cout << "stopLimit: a target works at an attempt for " << longest.count() << " ms at most, also where a route's time limit is longer\n";
        }
        return 0;
    }
    return runNode(commandLine, std::get<NodeSettings>(settings));
}
