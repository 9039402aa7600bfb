#pragma once

#include "command.h"

namespace nutmeghinge {

/** Prints the fields in which a document file differs from another file or a revision, and the effect of each change. */
class DocumentDiffCommand : public Command
{
public:
    std::string name() const override { return "document diff"; }
    std::string usage() const override { return "FILE [--against REVISION|FILE] [--platform ADDRESS:PORT] [--json]"; }
    std::string purpose() const override { return "show what an edit changes"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
