#pragma once

#include "command.h"

namespace nutmeghinge {

/** Prints the status of nodes and the contradictions between them. */
class StatusCommand : public Command
{
public:
    std::string name() const override { return "status"; }
    std::string usage() const override { return "--nodes ADDRESS:PORT,... [--all] [--json]"; }
    std::string purpose() const override { return "show the status of nodes; --all also queries the members that they know"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
