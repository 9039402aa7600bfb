#pragma once

#include <string>
#include <vector>

namespace nutmeghinge {

/** Exit codes of the program. */
enum class ExitCode {
    Success = 0,
    /** The platform or a node failed, or an edit lost against another. */
    Failure = 1,
    /** The command line or a file is faulty. */
    InvalidInput = 2,
};

/** One command of the program, found by its words. */
class Command
{
public:
    virtual ~Command() = default;

    /** Words that select the command, such as "document check". */
    virtual std::string name() const = 0;
    /** Arguments as the help shows them. */
    virtual std::string usage() const = 0;
    /** What the command does; a few words. */
    virtual std::string purpose() const = 0;
    /** Runs with the arguments after the name; prints what it finds. */
    virtual ExitCode run(const std::vector<std::string> &arguments) = 0;
};

} // namespace nutmeghinge
