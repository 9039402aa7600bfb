#pragma once

#include "command.h"

namespace nutmeghinge {

/** Prints the text of a service's document, either the revision in force or an earlier one. */
class DocumentGetCommand : public Command
{
public:
    std::string name() const override { return "document get"; }
    std::string usage() const override { return "SERVICE --platform ADDRESS:PORT [--revision REVISION] [--json]"; }
    std::string purpose() const override { return "print a revision of a document"; }
    ExitCode run(const std::vector<std::string> &arguments) override;
};

} // namespace nutmeghinge
