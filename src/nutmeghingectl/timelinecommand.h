#pragma once

#include "command.h"

namespace nutmeghinge {

/** Prints the merged timeline of nodes, or writes it as an HTML page. */
class TimelineCommand : public Command
{
public:
    std::string name() const override { return "timeline"; }
    std::string usage() const override
    {
        return "--nodes ADDRESS:PORT,... [--html FILE | --json] [--follow] [--key KEY | --shard N] [--node NAME] [--request N]";
    }
    std::string purpose() const override { return "show the merged timeline of nodes; --key does not support keys that have a shard of their own"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
