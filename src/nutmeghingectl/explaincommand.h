#pragma once

#include "command.h"

namespace nutmeghinge {

/** Tells the story of one request from the logs of nodes. */
class ExplainCommand : public Command
{
public:
    std::string name() const override { return "explain"; }
    std::string usage() const override { return "REQUEST-ID FILE... [--json | --html FILE]"; }
    std::string purpose() const override { return "show what a request went through and why, from the nodes' JSON logs"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
