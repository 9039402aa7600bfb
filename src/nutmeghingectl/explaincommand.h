#pragma once

#include "command.h"

namespace nutmeghinge {

/** Traces one request through the logs of nodes. */
class ExplainCommand : public Command
{
public:
    std::string name() const override { return "explain"; }
    std::string usage() const override { return "REQUEST-ID FILE... [--json | --html FILE]"; }
    std::string purpose() const override { return "trace a request and the reasons for its steps in the nodes' JSON logs"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
