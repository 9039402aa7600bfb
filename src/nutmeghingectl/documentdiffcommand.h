#pragma once

#include "command.h"

namespace nutmeghinge {

/** Prints the fields in which a file differs from another or from a revision, and what each change does. */
class DocumentDiffCommand : public Command
{
public:
    std::string name() const override { return "document diff"; }
    std::string usage() const override { return "FILE [--against REVISION|FILE] [--platform ADDRESS:PORT] [--json]"; }
    std::string purpose() const override { return "tell what an edit changes"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
