#pragma once

#include <string>
#include <vector>

namespace nutmeghinge {

/** Exit codes of the program. */
enum class ExitCode {
    Success = 0,
    /** The platform or a node failed, or an edit conflicted with another one. */
    Failure = 1,
    /** The command line or a file is invalid. */
    InvalidInput = 2,
};

/** One command of the program, selected by its name. */
class Command
{
public:
    virtual ~Command() = default;

    /** Returns the words that select the command, such as "document check". */
    virtual std::string name() const = 0;
    /** Returns the synopsis of the arguments for the help text. */
    virtual std::string usage() const = 0;
    /** Returns what the command does, in a few words for the help text. */
    virtual std::string purpose() const = 0;
    /** Runs the command with the arguments after its name and prints the result. */
    virtual ExitCode run(const std::vector<std::string> &arguments) = 0;
};

} // namespace nutmeghinge
