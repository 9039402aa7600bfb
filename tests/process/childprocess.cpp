#include "childprocess.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(5);
constexpr auto waitTimeout = std::chrono::seconds(30);

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command, std::string outputFile)
    : m_outputFile(std::move(outputFile))
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_outputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int result = posix_spawn(&m_id, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
}

ChildProcess::~ChildProcess()
{
    if (m_id > 0) {
        sendSignal(SIGCONT);
        sendSignal(SIGKILL);
        wait();
    }
}

void ChildProcess::sendSignal(int signal) const
{
    kill(m_id, signal);
}

int ChildProcess::wait()
{
    int status = 0;
    waitpid(m_id, &status, 0);
    m_id = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool ChildProcess::hasEnded() const
{
    siginfo_t info{};
    return m_id < 0 || (waitid(P_PID, static_cast<id_t>(m_id), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == m_id);
}

std::string ChildProcess::output() const
{
    std::ifstream file(m_outputFile);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string ChildProcess::waitForOutput(const std::string &text) const
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (std::chrono::steady_clock::now() < end) {
        const std::string all = output();
        const std::size_t begin = all.find(text);
        const std::size_t lineEnd = begin == std::string::npos ? begin : all.find('\n', begin);
        if (lineEnd != std::string::npos) {
            return all.substr(begin + text.size(), lineEnd - begin - text.size());
        }
        std::this_thread::sleep_for(pollInterval);
    }
    throw std::runtime_error("no line with '" + text + "' in:\n" + output());
}
