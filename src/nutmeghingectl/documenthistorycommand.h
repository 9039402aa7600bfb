#pragma once

#include "command.h"

namespace nutmeghinge {

/** Lists the revisions of a service's document, the one in force first. */
class DocumentHistoryCommand : public Command
{
public:
    std::string name() const override { return "document history"; }
    std::string usage() const override { return "SERVICE --platform ADDRESS:PORT [--json]"; }
    std::string purpose() const override { return "list the revisions of a document"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
