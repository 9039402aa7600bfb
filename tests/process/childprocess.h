#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

/**
 * A process that a test starts. The destructor kills the process and waits for it.
 * Standard output and standard error go to the output file.
 */
class ChildProcess
{
public:
    ChildProcess(const std::vector<std::string> &command, std::string outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void sendSignal(int signal) const;
    /** Waits until the process has ended. Returns the exit code, or the negated number of the signal that killed it. */
    int wait();
    /** Waits for an output line that contains the text; returns the rest of that line. Throws std::runtime_error after 30 seconds. */
    std::string waitForOutput(const std::string &text) const;
    std::string output() const;
    /** Returns whether the process has ended; wait() then returns at once. */
    bool hasEnded() const;
    pid_t id() const { return m_id; }

private:
    pid_t m_id = -1;
    std::string m_outputFile;
};
