#pragma once

#include "command.h"

#include <string>
#include <vector>

namespace nutmeghinge {

/**
 * "nutmeghingectl load": sends load to nodes, checks the answers and prints a
 * summary.
 */
class LoadCommand : public Command
{
public:
    std::string name() const override { return "load"; }
    std::string usage() const override { return "[OPTIONS]"; }
    std::string purpose() const override { return "send load and check the answers; see load --help"; }
    /**
     * Runs the command with the arguments after its name. Returns Failure if an order ran
     * twice, an order that was refused as not run did run, or an answer was wrong or
     * truncated; Success otherwise.
     */
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
