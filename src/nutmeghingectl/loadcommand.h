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
    std::string usage() const override { return "--entries ADDRESS:PORT[,..] --host HOST [options]: sends load and checks every answer"; }
    /**
     * Runs with the arguments after the command's name. Exit code: 0 if no order
     * ran twice or against its refusal and no answer was wrong or truncated, 1 if
     * one did, 2 for faulty arguments.
     */
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
