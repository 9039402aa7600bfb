#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

/**
 * A program that a test has started; killed and waited for when the object ends.
 * Its output goes to a file of its own.
 */
class ChildProcess
{
public:
    ChildProcess(const std::vector<std::string> &command, std::string outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void sendSignal(int signal) const;
    /** Waits until the program has ended; exit code, or minus the signal. */
    int wait();
    /** Waits for a line that begins with, or contains, the text; returns what follows it up to the line's end. */
    std::string waitForOutput(const std::string &text) const;
    std::string output() const;
    /** The program has ended; wait() then returns at once. */
    bool hasEnded() const;
    pid_t id() const { return m_id; }

private:
    pid_t m_id = -1;
    std::string m_outputFile;
};
