#pragma once

#include "command.h"

namespace nutmeghinge {

/** Prints the state of nodes, and where they contradict each other. */
class StatusCommand : public Command
{
public:
    std::string name() const override { return "status"; }
    std::string usage() const override { return "--nodes ADDRESS:PORT,... [--all] [--json]"; }
    std::string purpose() const override { return "show what nodes serve; --all also asks the members that they name"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
